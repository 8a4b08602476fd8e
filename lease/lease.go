// Package lease grants the exclusive right to a duty for a bounded time. Leases
// are kept in the platform's store and carry fencing numbers that increase with
// every acquisition.
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/store"
)

// Kind is the kind of the stored lease objects.
const Kind = "lease"

// Lessor grants leases to one host.
type Lessor interface {
	// Acquire acquires the lease if nobody holds it. Errors: *HeldError,
	// store.ErrUnavailable, store.ErrOutcomeUnknown, or a decoding error if the
	// stored object is malformed.
	Acquire(ctx context.Context, name string) (*Lease, error)
	// Renew extends the lease and, unless state is nil, replaces the state that
	// the duty passes from holder to holder. Errors: ErrLost,
	// store.ErrUnavailable, store.ErrOutcomeUnknown, or a decoding error if the
	// stored object is malformed; after all but ErrLost the lease remains valid
	// until it expires.
	Renew(ctx context.Context, lease *Lease, state json.RawMessage) error
	// Release ends the lease, so that the next holder need not wait. The caller
	// must make sure that the duty's last action has ended. Errors: as for Renew.
	Release(ctx context.Context, lease *Lease) error
}

// ErrLost means that the lease was released, that it was acquired again (by any
// host), or that its stored object was deleted.
var ErrLost = errors.New("lease: lost")

// HeldError means that the lease is held, or may still be held, by Holder. If
// another host has just written the lease, Holder is "another host" and RetryAfter
// is this host's own term.
type HeldError struct {
	Holder     string
	RetryAfter time.Duration // time until the lease expires unless it is renewed
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: held by %s, may expire in %v", e.Holder, e.RetryAfter)
}

// Lease is a granted lease. Its methods may be called from any goroutine.
type Lease struct {
	name          string
	fence         uint64
	firstActionAt time.Time // earliest time at which the holder may begin an action

	// writeLock serialises writes to the store: a successful send acquires it, a
	// receive releases it. It is acquired before mu. It is a channel because the
	// store may be slow and the wait must end with its context.
	writeLock     chan struct{}
	mu            sync.Mutex // guards all below
	version       store.Version
	record        record
	since         time.Time // send time of the write from which the term counts
	lost          bool
	writeAttempts uint64               // number of attempted writes; the source of renewal numbers
	unknownWrites map[uint64]time.Time // send times of writes with unknown outcome, by renewal number
}

// Fence returns the fencing number, which is higher than that of every earlier
// acquisition.
func (l *Lease) Fence() uint64 { return l.fence }

// Name returns the name of the duty.
func (l *Lease) Name() string { return l.name }

// FirstActionDelay returns how long the holder must still wait before its first action,
// because an action that the previous holder began in time may still be running.
func (l *Lease) FirstActionDelay() time.Duration { return max(0, time.Until(l.firstActionAt)) }

// Remaining returns how long the holder may still begin actions; at zero or less
// it must not begin any. It reaches zero well before others may take over the
// lease.
//
// Failure: the holder is paused until its lease has expired and then continues.
// Its actions then carry an old fencing number. The term therefore counts
// from before the write was sent, on the monotonic clock, which keeps running
// while a process is stopped. That clock may stop while the machine is suspended,
// so the larger of the monotonic and the wall clock times applies.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost || l.record.Released {
		return 0
	}
	now := time.Now()
	passed := max(now.Sub(l.since), now.Round(0).Sub(l.since.Round(0)))
	term := l.record.term()
	return term - term/safetyMarginDivisor - passed
}

// State returns the state that the duty passes from holder to holder; nil if
// there is none yet.
func (l *Lease) State() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.State
}

// snapshot returns the stored version and record of the lease.
func (l *Lease) snapshot() (store.Version, record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.record
}

// recordWrite records a write that took effect and was sent at since.
func (l *Lease) recordWrite(version store.Version, r record, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.record, l.since = version, r, since
	clear(l.unknownWrites)
}

// nextWriteNumber returns the renewal number of the next write attempt.
func (l *Lease) nextWriteNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeAttempts++
	return l.writeAttempts
}

// recordUnknown records the send time of a write whose outcome is unknown.
func (l *Lease) recordUnknown(renewal uint64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknownWrites[renewal] = since
}

// sentAt returns the send time of a write found in the store, or the start of the
// current term if the send time is not recorded.
func (l *Lease) sentAt(renewal uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.unknownWrites[renewal]; ok {
		return at
	}
	return l.since
}

func (l *Lease) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}
