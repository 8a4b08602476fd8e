package peer

import (
	"context"

	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// doubtsHeld is the maximum number of members queued for such a probe.
	// Members beyond it are queued again by a later message or sync.
	doubtsHeld = 512
	// doubtsEvery is the number of such probes in one probe interval.
	doubtsEvery = 2
)

// doubt queues a probe of members that this host lists as suspect or gone while
// another host lists them as alive or leaving.
//
// Failure: after a network partition each part of the fleet lists the other as
// gone, and hosts stay gone for minutes after the partition heals: an alive
// record does not override a gone record of the same sequence, and the members
// concerned are not aware of it. The probe carries the gone record to the
// member, whose answer has the next sequence.
func (n *Node) doubt(members []Member) {
	for _, m := range members {
		select {
		case n.doubts <- m:
		default:
			return
		}
	}
}

func (n *Node) doubtLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-n.doubts:
			n.resolve(ctx, m)
		}
	}
}

// resolve probes a member unless its record has changed since it was queued.
func (n *Node) resolve(ctx context.Context, m Member) {
	known, ok := n.table.member(m.Host)
	if !ok || known.Incarnation != m.Incarnation || known.Sequence != m.Sequence || known.State < StateSuspect {
		return
	}
	n.tryExchange(ctx, known)
	_ = sleep.For(ctx, n.options.ProbeInterval/doubtsEvery) // ends with ctx
}
