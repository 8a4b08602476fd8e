package servicetime

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Flags{"seed": "1"}) }

const (
	slots = 6
	usual = 30 * time.Millisecond
)

var start = time.Unix(1000, 0)

// nearFull is the relative service time of a server that slows down when nearly full, by
// running requests.
var nearFull = []float64{1, 1, 1, 1, 1.1, 1.5, 2}

// learn records calls at a server, one every 20 ms, and returns the time of the last one.
func learn(l *Learner, calls int, percent bool, factor func(running int) float64) time.Time {
	random, now := rand.New(rand.NewPCG(1, 1)), start
	for range calls {
		now = now.Add(20 * time.Millisecond)
		s := Sample{Running: 1 + random.IntN(slots), Slots: slots}
		if s.Running == slots {
			s.Waiting = random.IntN(12)
		}
		f := factor(s.Running)
		if percent {
			s.Percent = int(100 * f)
		}
		took := float64(usual) * f * (0.7 + 0.6*random.Float64()) * (1 + float64(s.Waiting)/slots)
		s.Took = time.Duration(took)
		l.Record(s, 0, now)
	}
	return now
}

func near(got, expected time.Duration, share float64) bool {
	return (got - expected).Abs() <= time.Duration(share*float64(expected))
}

// Guards against a server that is kept full although it completes fewer calls then.
func TestSlowdownNearFullIsFound(t *testing.T) {
	is := is.New(t)
	for _, percent := range []bool{true, false} {
		var l Learner
		now := learn(&l, 200, percent, func(running int) float64 { return nearFull[running] })
		e := l.Estimate(slots, 0, now)
		is.Equal(e.Best(), 4)
		is.True(near(e.Time(2), usual, 0.2))
		is.True(near(e.Time(slots), 2*usual, 0.25))
		is.True(near(e.End(slots+5), 4*usual, 0.25)) // after one round of the slots
	}
}

// Guards against calls kept from servers whose service time only varies by chance.
func TestServersOfConstantSpeedAreFilled(t *testing.T) {
	is := is.New(t)
	for _, percent := range []bool{true, false} {
		var l Learner
		now := learn(&l, 200, percent, func(int) float64 { return 1 })
		e := l.Estimate(slots, 0, now)
		is.Equal(e.Best(), slots)
		is.True(near(e.End(0), usual, 0.2))
	}
}

// Guards against a server that counts as slow for good after it got no calls, and against
// one call that takes very long.
func TestEvidenceExpiresAndOutliersAreLimited(t *testing.T) {
	is := is.New(t)
	var l Learner
	now := learn(&l, 100, true, func(int) float64 { return 5 })
	is.True(near(l.Estimate(slots, 0, now).Time(1), 5*usual, 0.25))
	is.True(l.Estimate(slots, 0, now.Add(time.Minute)).Time(slots) < 2*usual)

	var steady Learner
	now = learn(&steady, 100, false, func(int) float64 { return 1 })
	before := steady.Estimate(slots, 0, now).Time(1)
	steady.Record(Sample{Running: 1, Slots: slots, Took: time.Minute}, 0, now)
	is.True(steady.Estimate(slots, 0, now).Time(1) < before*5/4)
}

// Guards against an estimate whose time grows with the slots that an entry names: it is made with
// the lock of all servers held.
func TestBestIsFoundForAnyNumberOfSlots(t *testing.T) {
	is := is.New(t)
	var l Learner
	now := learn(&l, 200, true, func(running int) float64 { return nearFull[running] })
	for slots := 1; slots <= 200; slots++ {
		e := l.Estimate(slots, usual, now)
		best := 1
		for running := 1; running <= slots; running++ {
			if float64(running)/float64(e.Time(running)) > float64(best)/float64(e.Time(best)) {
				best = running
			}
		}
		is.Equal(e.Best(), best)
	}
	began := time.Now()
	is.True(l.Estimate(1<<40, usual, now).Best() > 1<<38)
	is.True(time.Since(began) < time.Second)
}

// Guards against a guess where nothing is known.
func TestNothingIsEstimatedWithoutEvidence(t *testing.T) {
	is := is.New(t)
	var l Learner
	is.True(l.Estimate(slots, 0, start) == nil)
	is.Equal(l.Estimate(slots, usual, start).End(0), usual) // as other servers of the service
	l.Record(Sample{Running: 1, Took: usual}, 0, start)     // slots not known
	is.True(l.Estimate(slots, 0, start) == nil)
}

// Guards against estimates that implausible reports make negative, endless or shorter for a
// fuller server.
func TestEstimatesAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Learner
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(t, "ms")) * time.Millisecond)
			l.Record(Sample{
				Running: rapid.IntRange(0, 40).Draw(t, "running"), Waiting: rapid.IntRange(0, 1000).Draw(t, "waiting"), Slots: rapid.IntRange(0, 24).Draw(t, "slots"),
				Percent: rapid.SampledFrom([]int{0, 1, 100, 250, 100_000}).Draw(t, "percent"), Took: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "took")),
			}, 0, now)
		}
		e := l.Estimate(slots, 0, now)
		if e == nil {
			return
		}
		if e.Best() < 1 || e.Best() > slots || e.End(0) <= 0 || e.Usual() <= 0 {
			t.Fatalf("best %d, end %v, usual %v", e.Best(), e.End(0), e.Usual())
		}
		for n := range 30 {
			if e.End(float64(n+1)) < e.End(float64(n)) {
				t.Fatalf("%d in flight end after %v, %d after %v", n, e.End(float64(n)), n+1, e.End(float64(n+1)))
			}
		}
	})
}
