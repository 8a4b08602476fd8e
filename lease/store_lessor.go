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
	defaultTerm          = 20 * time.Second
	defaultMaxActionTime = 30 * time.Second
	// safetyMarginDivisor is the safety margin: a holder begins no action in the
	// last fifth of the term.
	safetyMarginDivisor = 5
	// clockDriftDivisor allows for clock drift: other hosts wait a tenth longer
	// than the term, as clocks run at different rates.
	clockDriftDivisor = 10
	// renewDivisor is how many times a holder renews in one term.
	renewDivisor = 4
)

// Options configure a StoreLessor. Zero values have defaults.
type Options struct {
	Term          time.Duration // default 20 s
	MaxActionTime time.Duration // how long an action that was begun in time may run; default 30 s
}

// StoreLessor grants leases by conditional writes to the platform's store. It
// does not compare the clocks of different machines: a host may take over a lease
// once it has seen the object unchanged for 1.1 times the holder's term, by its own
// clock.
type StoreLessor struct {
	store   store.Store
	host    string
	options Options

	mu        sync.Mutex // guards the fields below
	seen      map[string]observation
	era       uint64    // newest era of the store
	eraSeenAt time.Time // when this host first saw it
}

// observation is a version of a stored lease and when it was first seen.
type observation struct {
	version store.Version
	at      time.Time
}

// NewStoreLessor returns a Lessor for a host.
func NewStoreLessor(store store.Store, host string, options Options) *StoreLessor {
	if options.Term <= 0 {
		options.Term = defaultTerm
	}
	if options.MaxActionTime <= 0 {
		options.MaxActionTime = defaultMaxActionTime
	}
	return &StoreLessor{store: store, host: host, options: options, seen: map[string]observation{}}
}

// RenewEvery returns the interval at which a holder should renew.
func (s *StoreLessor) RenewEvery() time.Duration { return s.options.Term / renewDivisor }

// Acquire implements Lessor.
func (s *StoreLessor) Acquire(ctx context.Context, name string) (*Lease, error) {
	version, current, err := s.read(ctx, name)
	if err != nil {
		return nil, err
	}
	wait := s.expiresIn(name, version, current)
	if wait > 0 {
		return nil, &HeldError{Holder: current.Holder, RetryAfter: wait}
	}
	next := record{
		Holder:          s.host,
		Acquisition:     uuid.NewString(),
		TermMillis:      s.options.Term.Milliseconds(),
		MaxActionMillis: s.options.MaxActionTime.Milliseconds(),
		State:           current.State,
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
	lease := &Lease{name: name, fence: uint64(acquired), firstActionAt: time.Now(), writeLock: make(chan struct{}, 1), unknownWrites: map[uint64]time.Time{}}
	if version != 0 && !current.Released {
		// Failure: an order that the previous holder sent just before its lease
		// expired is still being executed by an engine that ignores fencing
		// numbers, and reverts an order of this holder. Waiting for the longest
		// action lets it end first.
		lease.firstActionAt = lease.firstActionAt.Add(current.maxActionTime())
	}
	if (version == 0 || current.Released) && acquired.Era() > 0 {
		lease.firstActionAt = later(lease.firstActionAt, s.lostLeaseEndsAt(acquired.Era()))
	}
	next.Fence = acquired
	lease.recordWrite(acquired, next, since)
	return lease, nil
}

// lostLeaseEndsAt returns when the last action ends that another holder may still
// begin, whose lease the store lost when it came back from an older copy in the given
// era. This host does not know for how long the era has lasted before it saw it.
func (s *StoreLessor) lostLeaseEndsAt(era uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > s.era {
		s.era, s.eraSeenAt = era, time.Now()
	}
	term := s.options.Term
	return s.eraSeenAt.Add(term + term/clockDriftDivisor + s.options.MaxActionTime)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
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

// update writes the lease's record after applying change to it.
func (s *StoreLessor) update(ctx context.Context, lease *Lease, change func(*record)) error {
	select {
	case lease.writeLock <- struct{}{}:
		defer func() { <-lease.writeLock }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	version, current := lease.snapshot()
	if current.Released || lease.isLost() {
		return ErrLost
	}
	next := current
	next.Renewal = lease.nextWriteNumber()
	change(&next)
	since := time.Now()
	written, err := s.put(ctx, lease.name, next, version)
	var bad *store.VersionError
	if errors.As(err, &bad) {
		return s.resolveConflict(ctx, lease)
	}
	if errors.Is(err, store.ErrOutcomeUnknown) {
		lease.recordUnknown(next.Renewal, since)
	}
	if err != nil {
		return err
	}
	lease.recordWrite(written, next, since)
	return nil
}

// resolveConflict resolves a version conflict. Either the stored object is from
// another acquisition or was deleted, and the lease is lost, or it is an earlier
// write of this holder whose answer was lost, which happens repeatedly while the
// store is slow. Such a write is adopted, with the term counting from when it was
// sent, and the outcome is reported as unknown so that the caller writes again.
func (s *StoreLessor) resolveConflict(ctx context.Context, lease *Lease) error {
	version, stored, err := s.read(ctx, lease.name)
	if err != nil {
		return err
	}
	_, current := lease.snapshot()
	if version == 0 || stored.Acquisition != current.Acquisition {
		lease.markLost()
		events.WithLabelValues(eventLost).Inc()
		return ErrLost
	}
	stored.Fence = current.Fence
	lease.recordWrite(version, stored, lease.sentAt(stored.Renewal))
	return errors.Wrap(store.ErrOutcomeUnknown, "lease: the stored lease is from an earlier write of this holder; write again")
}

// expiresIn returns how long this host must still wait before it may take over a
// stored lease, counted from when it first saw the version.
func (s *StoreLessor) expiresIn(name string, version store.Version, current record) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 || current.Released {
		return 0
	}
	now := time.Now()
	if s.seen[name].version != version {
		s.seen[name] = observation{version: version, at: now}
	}
	term := current.term()
	return s.seen[name].at.Add(term + term/clockDriftDivisor).Sub(now)
}

// read returns the stored version and record of a lease; the version is zero if
// there is none.
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
