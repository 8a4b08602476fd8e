package domain

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer"
)

// failedChecksBeforeReport is the number of consecutive failed checks after
// which the fleet is notified, so that a short slowdown of the store does not
// replace all watchers.
const failedChecksBeforeReport = 2

// Fleet is the membership as needed by WatchDuty. *peer.Node implements it.
type Fleet interface {
	Members() []peer.Member
	Generation() uint64
	SetStoreUnreachable(unreachable bool)
}

// WatchDuty decides whether this host watches the platform's store for the
// fleet, and checks the store while it does. All fields but Active are
// required.
type WatchDuty struct {
	Host  string
	Fleet Fleet
	// Check makes a cheap call to the store and returns an error if it fails.
	Check func(ctx context.Context) error
	// OnStoreRecovered is called when the store answers again after a failed check. It
	// must not block.
	OnStoreRecovered func()
	// Active reports whether this host may watch yet; nil: always.
	Active func() bool
	// Interval is the time between checks; Timeout is the maximum duration of one
	// check.
	Interval, Timeout time.Duration

	cached atomic.Pointer[watcherList]
}

// watcherList is the list of watchers for one generation of the membership.
type watcherList struct {
	generation uint64
	hosts      []string // ordered by name
}

// Watches reports whether this host currently watches the store. Other hosts
// receive changes from their peers.
func (d *WatchDuty) Watches() bool {
	if d.Active != nil && !d.Active() {
		return false
	}
	_, found := slices.BinarySearch(d.Watchers(), d.Host)
	return found
}

// Watchers returns the hosts that watch the store, ordered by name; see the function
// Watchers. It computes them once for each generation of the membership. The caller
// must not modify the slice.
func (d *WatchDuty) Watchers() []string {
	generation := d.Fleet.Generation()
	if known := d.cached.Load(); known != nil && known.generation == generation {
		return known.hosts
	}
	list := &watcherList{generation, Watchers(d.Fleet.Members())}
	d.cached.Store(list)
	return list.hosts
}

// Run checks the store while this host watches it, until ctx ends.
//
// Failure: the store accepts calls and never answers them. A watch started in
// that time blocks until its own timeout even when the store is back, and
// misses servers that were replaced. After a failed check OnStoreRecovered must
// therefore start a new list of all objects.
//
// Failure: the store rejects this host and serves others. After
// failedChecksBeforeReport consecutive failed checks the fleet is notified, so
// that another host watches instead, and this one continues to check until the
// store answers.
func (d *WatchDuty) Run(ctx context.Context) error {
	failed := 0
	for sleep.For(ctx, d.Interval) == nil {
		before := failed
		if (before > 0 || d.Watches()) && !d.answers(ctx) {
			failed++
		} else {
			failed = 0
		}
		d.Fleet.SetStoreUnreachable(failed >= failedChecksBeforeReport)
		if before > 0 && failed == 0 {
			d.OnStoreRecovered()
		}
	}
	return ctx.Err()
}

// answers reports whether Check succeeds within Timeout.
func (d *WatchDuty) answers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	return d.Check(ctx) == nil
}
