package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

const (
	changeTimeout = 10 * time.Second // after which a host without the change counts as missing
	changeSeed    = 1
	// changePause lets pushes and probes of one change finish before the next
	// change.
	changePause = 200 * time.Millisecond
)

// measureChanges accepts documents one after another, each at a random host, and
// measures the time until each is in force on every host. If storeGone is set,
// the store rejects all calls from the acceptance of a change until the change
// is in force on every host.
func (f *fleet) measureChanges(ctx context.Context, changes int, storeGone bool) (InForce, error) {
	random := rand.New(rand.NewPCG(changeSeed, 0))
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	result := InForce{Changes: changes}
	for round := range changes {
		if err := sleep.For(ctx, changePause); err != nil {
			return result, err
		}
		missing, err := f.timeChange(ctx, random, round, storeGone, histogram)
		if err != nil {
			return result, err
		}
		result.Missing += missing
	}
	result.P50 = seconds(histogram.ValueAtQuantile(50))
	result.P99 = seconds(histogram.ValueAtQuantile(99))
	result.Max = seconds(histogram.Max())
	return result, nil
}

func seconds(micros int64) float64 { return float64(micros) / 1e6 }

// activations records when each host put the newest version of a service in
// force.
type activations struct {
	service string

	mu      sync.Mutex // guards at
	at      map[*host]activation
	changed chan struct{} // receives a value after each change of at
}

type activation struct {
	version store.Version
	when    time.Time
}

func (a *activations) record(h *host) {
	_, version, _ := h.table.Document(a.service)
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.at[h].version {
		a.at[h] = activation{version, time.Now()}
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// count returns the number of hosts that have this version or a newer one in
// force.
func (a *activations) count(version store.Version) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, active := range a.at {
		if active.version >= version {
			count++
		}
	}
	return count
}

func (f *fleet) timeChange(ctx context.Context, random *rand.Rand, round int, storeGone bool, histogram *hdrhistogram.Histogram) (missing int, err error) {
	index := random.IntN(len(f.documents))
	at := f.hosts[random.IntN(len(f.hosts))]
	seen := &activations{service: f.documents[index], at: make(map[*host]activation), changed: make(chan struct{}, 1)}
	record := seen.record
	for _, h := range f.hosts {
		h.inForce.Store(&record)
	}
	version, err := f.accept(ctx, at, seen.service, f.document(index, random.Int()))
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	if storeGone {
		f.memory.SetFaults(store.Faults{Outage: true})
		defer f.memory.SetFaults(store.Faults{})
	}
	f.waitInForce(ctx, seen, version)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, h := range f.hosts {
		active := seen.at[h]
		if active.version < version {
			missing++
			continue
		}
		_ = histogram.RecordValue(max(1, active.when.Sub(accepted).Microseconds()))
	}
	return missing, nil
}

func (f *fleet) waitInForce(ctx context.Context, seen *activations, version store.Version) {
	deadline := time.NewTimer(changeTimeout)
	defer deadline.Stop()
	for seen.count(version) < len(f.hosts) {
		select {
		case <-seen.changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
