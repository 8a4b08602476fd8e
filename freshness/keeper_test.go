package freshness

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

var errAway = errors.New("away")

// scriptedFleet is a fleet of hosts of one failure domain that answer by script.
type scriptedFleet struct {
	self  string
	hosts []string

	mu     sync.Mutex // guards all below
	asked  []string
	answer func(host string, request peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) // with the time that it takes
}

func (f *scriptedFleet) Self() peer.Member { return f.member(f.self) }

func (f *scriptedFleet) member(host string) peer.Member {
	return peer.Member{Host: host, FailureDomain: "d", State: peer.StateAlive, Incarnation: 1, Capacity: 1}
}

func (f *scriptedFleet) Members() (members []peer.Member) {
	for _, host := range f.hosts {
		members = append(members, f.member(host))
	}
	return members
}

func (f *scriptedFleet) Generation() uint64 { return 1 }

func (f *scriptedFleet) RequestView(ctx context.Context, host string, request peer.ViewRequest) (peer.ViewAnswer, error) {
	f.mu.Lock()
	f.asked = append(f.asked, host)
	answer, takes, err := f.answer(host, request)
	f.mu.Unlock()
	select {
	case <-time.After(takes):
		return answer, err
	case <-ctx.Done():
		return peer.ViewAnswer{}, ctx.Err()
	}
}

// takeAsked returns the hosts that were asked since the last call, in order.
func (f *scriptedFleet) takeAsked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.asked
	f.asked = nil
	return asked
}

// newKeeper returns the keeper of one host of a fleet, whose reads of the store fail.
func newKeeper(f *scriptedFleet) (*Keeper, *replica.Table) {
	table := replica.New(func(store.Object) error { return nil })
	return &Keeper{
		Host: f.self, Fleet: f, Table: table, Active: func() bool { return true },
		Adopt:  func(objects []store.Object) { table.Adopt(objects) },
		Read:   func(context.Context, store.Version) (store.Version, error) { return 0, errAway },
		Logger: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	}, table
}

func hostsOf(count int) (hosts []string) {
	for i := range count {
		hosts = append(hosts, "h"+string(rune('a'+i)))
	}
	return hosts
}

// Guards against an answer that was held back on its way and makes a view look newer than it is.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "ha", hosts: hostsOf(2)}
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			return peer.ViewAnswer{CompleteTo: 7, Age: 100 * time.Millisecond}, 500 * time.Millisecond, nil
		}
		k, table := newKeeper(f)
		is.NoErr(k.askInTurn(t.Context(), []source{{host: "hb", relay: false, maxAge: maxSourceAge}}))
		is.Equal(k.Age(), 600*time.Millisecond)
		is.Equal(table.CompleteTo(), store.Version(7))
		k.record(3, time.Now().Add(-time.Second)) // an older view
		is.Equal(k.Age(), 600*time.Millisecond)
		is.Equal(table.CompleteTo(), store.Version(7))
	})
}

// Guards against a refresh that waits for silent hosts, each time again.
func TestSilentHostsAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "none", hosts: hostsOf(6)}
		silent := map[string]bool{}
		f.answer = func(host string, _ peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			if silent[host] {
				return peer.ViewAnswer{}, time.Hour, nil
			}
			return peer.ViewAnswer{CompleteTo: 7}, time.Millisecond, nil
		}
		k, _ := newKeeper(f)
		hosts := k.viewSources().Readers
		is.Equal(len(hosts), 6)
		for _, host := range hosts[:3] {
			silent[host] = true
		}
		began := time.Now()
		is.NoErr(k.refresh(t.Context()))
		is.Equal(time.Since(began), 3*readerPatience+time.Millisecond)
		is.Equal(f.takeAsked(), hosts[:4])
		is.NoErr(k.refresh(t.Context()))
		is.Equal(f.takeAsked(), hosts[3:4]) // the silent ones come last
		time.Sleep(avoidFor + askTimeout)
		silent = map[string]bool{}
		is.NoErr(k.refresh(t.Context()))
		is.Equal(f.takeAsked(), hosts[:1])
	})
}

// Guards against each host of a domain causing a read of the store, and against reads without a pause
// of a store that does not answer.
func TestOneReadForAllThatAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, _ := newKeeper(&scriptedFleet{self: "ha", hosts: hostsOf(1)})
		reads, fails := 0, false
		k.Read = func(context.Context, store.Version) (store.Version, error) {
			reads++
			time.Sleep(10 * time.Millisecond)
			if fails {
				return 0, errAway
			}
			return 9, nil
		}
		ask := func() {
			var group sync.WaitGroup
			for range 20 {
				group.Go(func() { k.AnswerView(t.Context(), peer.ViewRequest{MaxAge: maxSourceAge}) })
			}
			group.Wait()
		}
		ask()
		is.Equal(reads, 1)
		is.Equal(k.Age(), 10*time.Millisecond)
		ask()
		is.Equal(reads, 1) // the view is new enough
		fails = true
		time.Sleep(time.Second)
		for range 100 {
			ask()
			time.Sleep(100 * time.Millisecond)
		}
		is.True(reads < 25) // about one and a third a second
		is.True(k.Age() > 10*time.Second)
		fails = false
		time.Sleep(readBackoffMax)
		ask()
		is.Equal(k.Age(), 10*time.Millisecond)
	})
}

// Guards against hosts that ask the store during an outage although they are no source, and against a
// host that is cut off from all others and does not ask it.
func TestOnlySourcesReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{hosts: hostsOf(16)}
		f.self = "none"
		var err error
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			return peer.ViewAnswer{CompleteTo: 7, Age: time.Hour}, 0, err
		}
		k, _ := newKeeper(f)
		reads := 0
		k.Read = func(context.Context, store.Version) (store.Version, error) {
			reads++
			return 9, nil
		}
		is.True(errors.Is(k.refresh(t.Context()), errOld))
		is.Equal(reads, 0)
		err = errAway
		is.NoErr(k.refresh(t.Context()))
		is.Equal(reads, 1)
	})
}

// Guards against a host that takes the first page of an answer for all of it.
func TestViewOfSeveralPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "ha", hosts: hostsOf(2)}
		object := func(name string, version store.Version) store.Object {
			return store.Object{Kind: "k", Name: name, Version: version, Value: []byte("v")}
		}
		var after []store.Version
		f.answer = func(_ string, request peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			after = append(after, request.After)
			if request.After < 5 {
				return peer.ViewAnswer{Objects: []store.Object{object("a", 4), object("b", 5)}, CompleteTo: 5, More: true}, 0, nil
			}
			return peer.ViewAnswer{Objects: []store.Object{object("c", 8)}, CompleteTo: 9}, 0, nil
		}
		k, table := newKeeper(f)
		is.NoErr(k.askInTurn(t.Context(), []source{{host: "hb", relay: false, maxAge: maxSourceAge}}))
		is.Equal(after, []store.Version{0, 5})
		is.Equal(table.CompleteTo(), store.Version(9))
		is.Equal(len(table.Since(0)), 3)
	})
}

// Guards against a view that grows old while refreshes work, and against more of them than needed.
func TestViewStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "none", hosts: hostsOf(5)}
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			return peer.ViewAnswer{CompleteTo: 7}, time.Millisecond, nil
		}
		k, _ := newKeeper(f)
		is.Equal(k.Age(), moment.Never)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = k.Run(ctx) }()
		var ages []time.Duration
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			ages = append(ages, k.Age())
		}
		is.True(slices.Max(ages) <= refreshAge+time.Millisecond)
		is.True(len(f.takeAsked()) <= 18) // in 10 s
		stop()
		synctest.Wait()
	})
}

// Guards against an outage of the store that is not noticed, and against one that is believed because
// the store rejects this host, or because this host has just started.
func TestOutageIsWhenNobodyReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "ha", hosts: hostsOf(3)}
		var othersAge atomic.Int64 // in ns
		var active atomic.Bool
		f.answer = func(string, peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			return peer.ViewAnswer{CompleteTo: 7, Age: time.Duration(othersAge.Load())}, time.Millisecond, nil
		}
		k, _ := newKeeper(f) // the store rejects it
		k.Active = func() bool { return active.Load() }
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = k.Run(ctx) }()
		k.Confirm(0, time.Now())
		time.Sleep(5 * time.Second) // it is starting
		active.Store(true)
		time.Sleep(10 * time.Second)
		is.Equal(k.SinceOutage(), moment.Never)
		othersAge.Store(int64(time.Hour))
		time.Sleep(3 * time.Second)
		is.Equal(k.SinceOutage(), time.Duration(0))
		othersAge.Store(0)
		time.Sleep(readBackoffMax + time.Second)
		is.True(k.SinceOutage() >= time.Second)
		is.True(k.SinceOutage() <= readBackoffMax+time.Second)
		stop()
		synctest.Wait()
	})
}

// Guards against a host of a large domain that waits for the time-outs of its relays.
func TestSilentRelaysAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &scriptedFleet{self: "hz", hosts: hostsOf(26)}
		var relaysOld atomic.Bool
		f.answer = func(_ string, request peer.ViewRequest) (peer.ViewAnswer, time.Duration, error) {
			if request.AskOthers && relaysOld.Load() {
				return peer.ViewAnswer{Age: time.Hour}, 0, nil
			}
			if request.AskOthers {
				return peer.ViewAnswer{}, time.Hour, nil
			}
			return peer.ViewAnswer{CompleteTo: 7}, time.Millisecond, nil
		}
		for k, _ := newKeeper(f); k.viewSources().Role != domain.NoSource; k, _ = newKeeper(f) {
			f.self = f.hosts[slices.Index(f.hosts, f.self)-1]
		}
		k, _ := newKeeper(f)
		began := time.Now()
		is.NoErr(k.refresh(t.Context()))
		is.Equal(time.Since(began), relaysAsked*relayPatience+time.Millisecond)
		time.Sleep(2 * (avoidFor + askTimeout))
		relaysOld.Store(true)
		f.takeAsked()
		for range 3 { // during an outage
			is.True(errors.Is(k.refresh(t.Context()), errOld))
			is.Equal(len(f.takeAsked()), relaysAsked)
		}
	})
}
