package domain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer"
)

// awayAfter is how many checks in a row fail before others are told: a store
// that is slow for a moment must not change all watchers.
const awayAfter = 2

// Fleet is the membership as WatchDuty needs it; *peer.Node is one.
type Fleet interface {
	Members() []peer.Member
	Generation() uint64
	SetStoreAway(away bool)
}

// WatchDuty is one host's part in watching the platform's store for the fleet.
// All fields but Active are required.
type WatchDuty struct {
	Host  string
	Fleet Fleet
	// Check makes a cheap call that shows whether the store answers.
	Check func(ctx context.Context) error
	// Returned is called when the store answers again after a check that
	// failed. It must not block.
	Returned func()
	// Active says whether this host may watch yet; nil: always.
	Active func() bool
	// Interval spaces the checks, Timeout bounds one.
	Interval, Timeout time.Duration

	known atomic.Pointer[watching]
}

// watching says whether a host follows the store, for a generation of members.
type watching struct {
	generation uint64
	is         bool
}

// Watches reports whether this host watches the store now; the others learn
// from their peers.
func (d *WatchDuty) Watches() bool {
	if d.Active != nil && !d.Active() {
		return false
	}
	generation := d.Fleet.Generation()
	if known := d.known.Load(); known != nil && known.generation == generation {
		return known.is
	}
	next := &watching{generation, Watches(d.Fleet.Members(), d.Host)}
	d.known.Store(next)
	return next.is
}

// Run checks the store while this host watches it, until ctx ends.
//
// Failure: the store takes calls and never answers them. A watch that began
// meanwhile waits for its whole time after the store is back, and hears nothing
// of servers that were replaced. After a check that failed everything is
// therefore to be listed anew.
//
// Failure: the store turns this host away and serves others. It is told to the
// fleet after awayAfter checks in a row, so that another host watches in its
// place, and this one goes on checking until the store answers.
func (d *WatchDuty) Run(ctx context.Context) error {
	failed := 0
	for sleep.For(ctx, d.Interval) == nil {
		before := failed
		if (before > 0 || d.Watches()) && !d.answers(ctx) {
			failed++
		} else {
			failed = 0
		}
		d.Fleet.SetStoreAway(failed >= awayAfter)
		if before > 0 && failed == 0 {
			d.Returned()
		}
	}
	return ctx.Err()
}

// answers reports whether the store answers a cheap call.
func (d *WatchDuty) answers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	return d.Check(ctx) == nil
}
