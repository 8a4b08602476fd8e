// Package lease grants the exclusive right to a duty for a bounded time, kept
// in the platform's store, with fencing numbers that rise with every holder.
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

// Kind is the kind of the stored leases.
const Kind = "lease"

// Lessor grants leases to one host.
type Lessor interface {
	// Acquire takes the lease if nobody holds it. Errors: *HeldError,
	// store.ErrUnavailable, store.ErrOutcomeUnknown.
	Acquire(ctx context.Context, name string) (*Lease, error)
	// Renew extends the lease and, unless it is nil, replaces the state that
	// its duty keeps from holder to holder. Errors: ErrLost,
	// store.ErrUnavailable, store.ErrOutcomeUnknown; after the last two
	// the lease runs on to its end.
	Renew(ctx context.Context, lease *Lease, state json.RawMessage) error
	// Release ends the lease, so that the next holder has nothing to wait for.
	// The caller has to be sure that the duty's last action is over. Errors as Renew.
	Release(ctx context.Context, lease *Lease) error
}

// ErrLost means that another host took the lease.
var ErrLost = errors.New("lease: lost")

// HeldError means that another host holds the lease, as far as is known.
type HeldError struct {
	Holder     string
	RetryAfter time.Duration // when it will have lapsed unless renewed
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: held by %s, may lapse in %v", e.Holder, e.RetryAfter)
}

// Lease is a granted lease. Its methods may be called from any goroutine.
type Lease struct {
	name  string
	fence uint64
	quiet time.Time // no action of the duty before

	// writing serialises writes to the store: who sends to it may write. It is
	// taken before mu, and not a mutex, since a store may be slow and the wait
	// has to end with its context.
	writing chan struct{}
	mu      sync.Mutex // guards all below
	version store.Version
	record  record
	since   time.Time // when the write that the validity counts from was sent
	lost    bool
	writes  uint64               // tries of writes so far; numbers renewals
	unknown map[uint64]time.Time // when tries with an unknown outcome were sent
}

// Fence is the fencing number: higher than that of every earlier holder.
func (l *Lease) Fence() uint64 { return l.fence }

// Name is the name of the duty.
func (l *Lease) Name() string { return l.name }

// Quiet is how long the holder still has to wait before its first action: the
// longest that an action of a holder before, begun in time, may go on.
func (l *Lease) Quiet() time.Duration { return max(0, time.Until(l.quiet)) }

// Remaining is how long the holder may still begin actions; zero or less
// means not at all. It ends well before others may take the lease.
//
// Failure: the holder is paused past its lease and goes on as if no time had
// passed. It shows as orders under an old fencing number. The validity counts
// from before the write was sent, on the monotonic clock, which goes on while
// a process is stopped. A machine that is suspended may stop that clock too,
// so the wall clock has to agree.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost || l.record.Released {
		return 0
	}
	now := time.Now()
	passed := max(now.Sub(l.since), now.Round(0).Sub(l.since.Round(0)))
	term := l.record.term()
	return term - term/marginDivisor - passed
}

// State is what the duty keeps from holder to holder; nil if nothing yet.
func (l *Lease) State() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.State
}

func (l *Lease) snapshot() (store.Version, record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.record
}

func (l *Lease) wrote(version store.Version, r record, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.record, l.since = version, r, since
	clear(l.unknown)
}

// begin numbers a try of a write.
func (l *Lease) begin() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	return l.writes
}

// doubt notes a write whose outcome is not known.
func (l *Lease) doubt(renewal uint64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknown[renewal] = since
}

// sentAt returns when a write, found in the store, was sent; if that is not
// known the start of the validity that the lease has anyway.
func (l *Lease) sentAt(renewal uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.unknown[renewal]; ok {
		return at
	}
	return l.since
}

func (l *Lease) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}
