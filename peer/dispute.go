package peer

import (
	"context"

	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// maxQueuedDisputes is the maximum number of members queued for a probe
	// because hosts disagree on their state; see queueDisputes. Members beyond it
	// are queued again by a later message or sync.
	maxQueuedDisputes = 512
	// disputeProbesPerInterval is the maximum number of probes of disputed
	// members in one probe interval.
	disputeProbesPerInterval = 2
)

// queueDisputes queues a probe of members that this host lists as suspect or
// gone while another host lists them as alive or leaving.
//
// Failure: after a network partition each part of the fleet lists the other as
// gone, and hosts stay gone for minutes after the partition heals: an alive
// record does not override a gone record of the same sequence, and the members
// do not know that they are listed as gone. The probe carries the gone record to
// the member, whose answer has the next sequence.
func (n *Node) queueDisputes(members []Member) {
	for _, m := range members {
		select {
		case n.disputes <- m:
		default:
			return
		}
	}
}

func (n *Node) disputeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-n.disputes:
			n.probeDisputed(ctx, m)
		}
	}
}

// probeDisputed probes a member unless its record has changed since it was
// queued.
func (n *Node) probeDisputed(ctx context.Context, m Member) {
	known, ok := n.table.member(m.Host)
	if !ok || known.Incarnation != m.Incarnation || known.Sequence != m.Sequence || known.State < StateSuspect {
		return
	}
	n.tryExchange(ctx, known)
	_ = sleep.For(ctx, n.options.ProbeInterval/disputeProbesPerInterval) // ends with ctx
}
