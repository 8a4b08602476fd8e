package fleet

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func limitOf(table *Table, id string) float64 {
	for _, r := range table.RateLimits() {
		if r.Server == id {
			return r.PerSecond
		}
	}
	return 0
}

// Guards against a limit that ends because an older answer arrives after the one that named it.
func TestOlderAnswerDoesNotEndRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		sent := time.Now()
		time.Sleep(50 * time.Millisecond)
		table.SetRateLimit("a", 2, sent)
		table.SetRateLimit("a", 0, sent)
		is.Equal(limitOf(table, "a"), 2.0)
		time.Sleep(time.Millisecond)
		table.SetRateLimit("a", 0, time.Now())
		is.Equal(limitOf(table, "a"), 0.0)
		is.Equal(len(table.RateLimited("llm")), 0)
	})
}

// Guards against a limit that is forgotten because the server restarted or lost its host list entry.
func TestRateLimitSurvivesRestartAndEntryExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.SetRateLimit("a", 0.5, time.Now())
		is.True(table.Begin("a", Work{ID: "1"}, false) != nil)
		for _, born := range []int64{100, 200} {
			table.Remove("a")
			table.Put(Server{ID: "a", Born: born, Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24})
			is.True(table.Begin("a", Work{ID: "2"}, false) == nil)
			is.Equal(table.Avoided("llm"), []string{"a"})
		}
		time.Sleep(2 * time.Second)
		is.True(table.Begin("a", Work{ID: "3"}, false) != nil)
	})
}

// Guards against a run that is lost because the server that stopped it is at its limit,
// and against that run not counting.
func TestResumedRunOverdrawsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		table.SetRateLimit("a", 1, time.Now())
		is.True(table.Begin("a", Work{ID: "1"}, false) != nil)
		is.True(table.Begin("a", Work{ID: "2"}, true) != nil)
		time.Sleep(1500 * time.Millisecond)
		is.True(table.Begin("a", Work{ID: "3"}, false) == nil)
		time.Sleep(500 * time.Millisecond)
		is.True(table.Begin("a", Work{ID: "3"}, false) != nil)
	})
}

// Guards against peers' records that are older than what this host knows, malformed, or too many.
func TestMergedRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		time.Sleep(time.Minute)
		is.True(!table.MergeRateLimits([]RateLimit{{"a", 0, 0}, {"a", -1, 0}, {"a", math.NaN(), 0}, {"a", math.Inf(1), 0}}))
		is.True(table.MergeRateLimits([]RateLimit{{"a", 3, 2 * time.Second}}))
		is.True(!table.MergeRateLimits([]RateLimit{{"a", 0, 3 * time.Second}})) // older
		is.Equal(limitOf(table, "a"), 3.0)
		is.True(table.MergeRateLimits([]RateLimit{{"a", 0, time.Second}}))
		is.True(!table.MergeRateLimits([]RateLimit{{"a", 3, 1500 * time.Millisecond}}))
		is.Equal(limitOf(table, "a"), 0.0)
		for i := range 2 * maxRateLimits {
			table.MergeRateLimits([]RateLimit{{fmt.Sprint(i), 1, 0}})
		}
		is.True(len(table.RateLimits()) <= maxRateLimits)
	})
}

// Guards against rate limits of which a host hears only once, or never.
func TestAllRateLimitsAreGossipedInTurn(t *testing.T) {
	is := is.New(t)
	table := newTable()
	is.Equal(len(table.GossipRateLimits()), 0)
	const servers = 50
	for i := range servers {
		table.SetRateLimit(fmt.Sprint(i), 1, time.Now())
	}
	for range servers * rateLimitRetransmits / (maxGossipedLimits - maxRepeatedLimits) {
		is.True(len(table.GossipRateLimits()) <= maxGossipedLimits)
	}
	heard := map[string]bool{}
	for range 2*servers/maxRepeatedLimits + 1 { // two rounds, as one may be under way
		for _, r := range table.GossipRateLimits() {
			heard[r.Server] = true
		}
	}
	is.Equal(len(heard), servers)
}

// Guards against shares that add up to more than a server's limit allows, in fleets of
// any size and also when every host has saved up its share.
func TestSharesOfRateLimitAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, hosts := range []int{1, 7, 40, 390} {
			for _, limit := range []float64{0.01, 0.5, 2.9, 20, 400} {
				names := make([]string, hosts)
				for i := range names {
					names[i] = fmt.Sprintf("h%03d", i)
				}
				tables := make([]*Table, hosts)
				for i := range tables {
					tables[i] = NewTable(names[i], zap.NewNop())
					tables[i].Put(Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", Domain: "d1", Slots: 24})
					tables[i].SetHosts(names)
					tables[i].SetRateLimit("a", limit, time.Now())
				}
				const window, steps = 4 * time.Second, 400
				sent := 0
				for range steps {
					for _, table := range tables {
						for table.Begin("a", Work{}, false) != nil {
							sent++
						}
					}
					time.Sleep(window / steps)
				}
				if allowed := 1.5*limit*window.Seconds() + 5; float64(sent) > allowed {
					t.Errorf("%d hosts sent %d requests in %s, allowed %.1f", hosts, sent, window, allowed)
				}
				is.True(sent > 0)
			}
		}
	})
}

// Guards against hosts that take over the share of a host behind a partition, which
// still uses it.
func TestAbsentHostsKeepTheirShareForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		share := func() float64 {
			table.mu.Lock()
			defer table.mu.Unlock()
			own, _ := table.rateShare("a", 2)
			return own
		}
		table.SetHosts([]string{table.host, "h1", "h2", "h3"})
		table.SetRateLimit("a", 2, time.Now())
		is.Equal(share(), 0.5)
		table.SetHosts([]string{table.host, "h1"})
		is.Equal(share(), 0.5)
		time.Sleep(time.Minute)                  // until a host that is absent loses its share
		table.SetRateLimit("a", 2.5, time.Now()) // shares are checked with each answer
		is.Equal(share(), 1.0)
	})
}
