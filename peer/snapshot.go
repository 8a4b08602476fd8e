package peer

import (
	"context"
	"slices"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
)

const (
	// snapshotTries is the number of hosts asked for a snapshot in one round.
	snapshotTries = 3
	// snapshotRetry is the pause between two rounds; hosts that start together with
	// this one are still reading the store.
	snapshotRetry = 200 * time.Millisecond
)

// snapshotSources returns the hosts of this failure domain that read all objects
// from the store when they start, and whether this host is one more of them: the relays
// of deliveries, or all hosts of a small domain.
//
// With n hosts in a domain, sqrt(n) read the store, and each serves about sqrt(n)
// others. When all hosts of a fleet of 985 start at once, 985 reads of 10,000
// entries take the store's link 20 seconds.
func (n *Node) snapshotSources() (sources []Member, self bool) {
	near := slices.DeleteFunc(n.table.members(), func(m Member) bool {
		return m.FailureDomain != n.options.Self.FailureDomain || m.State > StateLeaving
	})
	for _, g := range deliveryGroups(near) {
		if g.relay.Host == n.options.Self.Host {
			self = true
		} else {
			sources = append(sources, g.relay)
		}
	}
	return sources, self
}

// PullSnapshot pulls all objects from a host of this failure domain that reads them
// from the store, and reports whether this host then has all of them. If this host
// is to read the store itself, it asks others once, which have the objects unless
// they are starting too; otherwise it tries until ctx ends.
func (n *Node) PullSnapshot(ctx context.Context) bool {
	for {
		sources, self := n.snapshotSources()
		for _, source := range closest(n.options.Self, sources, snapshotTries) {
			if n.pullAll(ctx, source.PeerAddress) {
				return true
			}
		}
		if self || sleep.For(ctx, snapshotRetry) != nil {
			return false
		}
	}
}

// pullAll pulls all objects that this host lacks, whatever their versions, and
// reports whether the other host has all objects and has sent them.
func (n *Node) pullAll(ctx context.Context, address string) bool {
	table := n.options.Configuration
	for range pullPages {
		count, more, _, completeTo, err := n.pullObjects(ctx, address, &peerpb.PullRequest{Have: heldVersions(table)})
		if err != nil {
			n.counters.pulls.WithLabelValues(resultFailed).Inc()
			return false
		}
		if !more {
			n.counters.pulls.WithLabelValues(resultAdopted).Inc()
			if c, ok := table.(Completeness); ok {
				c.SetComplete()
				c.SetCompleteTo(completeTo)
			}
			return true
		}
		if count == 0 {
			return false // the other host is starting too
		}
	}
	return false
}
