package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/store"
)

var events = prometheus.NewCounterVec(prometheus.CounterOpts{
	Namespace: "papayasail", Subsystem: "lease", Name: "events_total",
	Help: "Leases acquired, renewed, released and lost by this host.",
}, []string{"event"})

func init() { prometheus.MustRegister(events) }

const (
	eventAcquired = "acquired"
	eventRenewed  = "renewed"
	eventReleased = "released"
	eventLost     = "lost"
)

const (
	defaultTerm    = 20 * time.Second
	defaultLongest = 30 * time.Second
	// marginDivisor: a holder stops a fifth of the term before its end.
	marginDivisor = 5
	// driftDivisor: others wait a tenth longer than the term, for clocks that
	// run at different speeds.
	driftDivisor = 10
	// renewDivisor: a holder renews four times in a term.
	renewDivisor = 4
)

// Options holds what a StoreLessor may be told; zero values have defaults.
type Options struct {
	Term    time.Duration // default 20 s
	Longest time.Duration // how long an action, begun in time, may go on; default 30 s
}

// StoreLessor grants leases by conditional writes to the platform's store. No
// clocks of two machines are compared: a host may take a lease over when it
// has seen the object unchanged for the holder's term, by its own clock.
type StoreLessor struct {
	store   store.Store
	host    string
	options Options

	mu   sync.Mutex // guards seen
	seen map[string]sighting
}

// sighting is when a stored lease was first seen in a version.
type sighting struct {
	version store.Version
	at      time.Time
}

// NewStoreLessor returns a Lessor for a host.
func NewStoreLessor(store store.Store, host string, options Options) *StoreLessor {
	if options.Term <= 0 {
		options.Term = defaultTerm
	}
	if options.Longest <= 0 {
		options.Longest = defaultLongest
	}
	return &StoreLessor{store: store, host: host, options: options, seen: map[string]sighting{}}
}

// RenewEvery is how often a holder should renew.
func (s *StoreLessor) RenewEvery() time.Duration { return s.options.Term / renewDivisor }

// Acquire implements Lessor.
func (s *StoreLessor) Acquire(ctx context.Context, name string) (*Lease, error) {
	version, current, err := s.read(ctx, name)
	if err != nil {
		return nil, err
	}
	wait := s.lapsesIn(name, version, current)
	if wait > 0 {
		return nil, &HeldError{Holder: current.Holder, RetryAfter: wait}
	}
	next := record{
		Holder:        s.host,
		Acquisition:   uuid.NewString(),
		TermMillis:    s.options.Term.Milliseconds(),
		LongestMillis: s.options.Longest.Milliseconds(),
		State:         current.State,
	}
	since := time.Now()
	acquired, err := s.put(ctx, name, next, version)
	var bad *store.VersionError
	if errors.As(err, &bad) {
		return nil, &HeldError{Holder: "another host", RetryAfter: s.options.Term}
	}
	if err != nil {
		return nil, err
	}
	events.WithLabelValues(eventAcquired).Inc()
	lease := &Lease{name: name, fence: uint64(acquired), quiet: time.Now(), writing: make(chan struct{}, 1), unknown: map[uint64]time.Time{}}
	if version != 0 && !current.Released {
		// Failure: an order that the holder before gave just before its lease
		// lapsed is still being carried out by an engine that ignores fencing
		// numbers, and undoes ours. Waiting for the longest action lets it end.
		lease.quiet = lease.quiet.Add(current.longest())
	}
	next.Fence = acquired
	lease.wrote(acquired, next, since)
	return lease, nil
}

// Renew implements Lessor.
func (s *StoreLessor) Renew(ctx context.Context, lease *Lease, state json.RawMessage) error {
	err := s.update(ctx, lease, func(r *record) {
		if state != nil {
			r.State = state
		}
	})
	if err == nil {
		events.WithLabelValues(eventRenewed).Inc()
	}
	return err
}

// Release implements Lessor.
func (s *StoreLessor) Release(ctx context.Context, lease *Lease) error {
	err := s.update(ctx, lease, func(r *record) { r.Released = true })
	if err == nil {
		events.WithLabelValues(eventReleased).Inc()
	}
	return err
}

// update writes a changed record over the lease.
func (s *StoreLessor) update(ctx context.Context, lease *Lease, change func(*record)) error {
	select {
	case lease.writing <- struct{}{}:
		defer func() { <-lease.writing }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	version, current := lease.snapshot()
	if current.Released || lease.isLost() {
		return ErrLost
	}
	next := current
	next.Renewal = lease.begin()
	change(&next)
	since := time.Now()
	written, err := s.put(ctx, lease.name, next, version)
	var bad *store.VersionError
	if errors.As(err, &bad) {
		return s.recover(ctx, lease)
	}
	if errors.Is(err, store.ErrOutcomeUnknown) {
		lease.doubt(next.Renewal, since)
	}
	if err != nil {
		return err
	}
	lease.wrote(written, next, since)
	return nil
}

// recover finds out why the object has another version than the holder's last
// write: another host's, or an own earlier write whose answer never came, as
// happens again and again while the store is slow. The latter is taken in,
// valid from when it was sent, and reported as unknown so that the caller
// writes again.
func (s *StoreLessor) recover(ctx context.Context, lease *Lease) error {
	version, stored, err := s.read(ctx, lease.name)
	if err != nil {
		return err
	}
	_, current := lease.snapshot()
	if version == 0 || stored.Acquisition != current.Acquisition {
		lease.lose()
		events.WithLabelValues(eventLost).Inc()
		return ErrLost
	}
	stored.Fence = current.Fence
	lease.wrote(version, stored, lease.sentAt(stored.Renewal))
	return errors.Wrap(store.ErrOutcomeUnknown, "lease: an earlier write took effect")
}

// lapsesIn returns how long others still have to leave a stored lease alone.
func (s *StoreLessor) lapsesIn(name string, version store.Version, current record) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 || current.Released {
		return 0
	}
	now := time.Now()
	if s.seen[name].version != version {
		s.seen[name] = sighting{version: version, at: now}
	}
	term := current.term()
	return s.seen[name].at.Add(term + term/driftDivisor).Sub(now)
}

// read returns a stored lease; version zero if there is none.
func (s *StoreLessor) read(ctx context.Context, name string) (store.Version, record, error) {
	object, err := s.store.Get(ctx, Kind, name)
	if errors.Is(err, store.ErrNoObject) {
		return 0, record{}, nil
	}
	if err != nil {
		return 0, record{}, err
	}
	stored, err := decode(object.Value)
	return object.Version, stored, err
}

func (s *StoreLessor) put(ctx context.Context, name string, r record, expect store.Version) (store.Version, error) {
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	return store.PutSettled(ctx, s.store, Kind, name, value, expect)
}
