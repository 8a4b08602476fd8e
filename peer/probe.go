package peer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// Results counted for probes and suspicions.
const (
	probeAnswered        = "answered"
	probeFreshConnection = "fresh_connection" // answered only on a new connection
	probeIndirect        = "indirect"         // reached only through another host
	probeFailed          = "failed"

	suspicionRaised      = "raised"
	suspicionUnconfirmed = "unconfirmed"
	suspicionRefuted     = "refuted"
	suspicionGone        = "gone"
)

const (
	// pushFanout is the number of neighbours probed early for an urgent update.
	// If each host that receives it does the same, a fraction of
	// exp(-pushFanout) of the hosts is missed and receives it with a later
	// probe.
	pushFanout = 4
	// pushesPerInterval is the maximum number of early rounds in one probe
	// interval.
	pushesPerInterval = 5
	// maxConcurrentProbes is the maximum number of concurrent probes.
	maxConcurrentProbes = 4
	// helperExchangeIntervals is the number of probe intervals within which a
	// direct exchange makes a host a preferred helper for indirect probes.
	helperExchangeIntervals = 4
	// reconnectIntervals is the number of probe intervals between probes of a
	// gone host or of a seed that is not a member.
	reconnectIntervals = 20
)

// probeLoop starts the probe of one neighbour in each interval.
//
// Failure: many hosts die at once. If each probe had to run into its timeouts
// before the next starts, suspicions would be raised more slowly than one per
// interval. Up to maxConcurrentProbes probes therefore run concurrently.
func (n *Node) probeLoop(ctx context.Context) error {
	var probes errgroup.Group
	probes.SetLimit(maxConcurrentProbes)
	defer func() { _ = probes.Wait() }() // they end with ctx
	ticker := time.NewTicker(n.options.ProbeInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := n.checkSuperseded(); err != nil {
			return err
		}
		n.expire()
		if target, ok := n.nextTarget(); ok {
			probes.TryGo(func() error { n.probe(ctx, target); return nil })
		}
		if tick%reconnectIntervals == 0 {
			probes.TryGo(func() error { n.reconnect(ctx); return nil })
		}
	}
}

func (n *Node) checkSuperseded() error {
	if _, _, known := n.table.summary(); known != 0 {
		return &SupersededError{Known: known}
	}
	return nil
}

func (n *Node) expire() {
	now := time.Now()
	transitions := n.table.expire(now, n.options.SuspicionTimeout, n.options.GoneRetention)
	n.recordTransitions(transitions)
	for _, t := range transitions {
		n.queueChangedMembers([]Member{t.Member})
	}
	if n.leaving.expire(now) || len(transitions) > 0 {
		signal(n.notifySignal)
	}
	n.control.sweep(now)
	n.data.sweep(now)
	n.deliveries.sweep(now)
}

// recordTransitions counts and logs changes of state.
//
// Members that this host did not know share one line: each host of a fleet that
// starts learns of all others within a second.
func (n *Node) recordTransitions(transitions []transition) {
	learned := 0
	for _, t := range transitions {
		switch {
		case t.from == 0 && t.State == StateAlive:
			learned++
			continue
		case t.State == StateSuspect:
			n.counters.suspicions.WithLabelValues(suspicionRaised).Inc()
		case t.State == StateGone && t.from == StateSuspect:
			n.counters.suspicions.WithLabelValues(suspicionGone).Inc()
		case t.from == StateSuspect:
			n.counters.suspicions.WithLabelValues(suspicionRefuted).Inc()
		}
		n.logger.Info("member changed state", zap.String("host", t.Host), zap.Uint64("incarnation", t.Incarnation),
			zap.Stringer("from", t.from), zap.Stringer("to", t.State))
	}
	if learned > 0 {
		n.logger.Info("members learned", zap.Int("count", learned))
	}
}

// neighbours returns the hosts in scope that are not gone.
func (n *Node) neighbours() []Member {
	generation, _, _ := n.table.summary()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scope != nil && n.scopeAt == generation {
		return n.scope
	}
	n.scopeAt = generation
	n.scope = n.options.Scope.neighbours(n.options.Self, n.others(func(m Member) bool { return m.State != StateGone }))
	return n.scope
}

func (n *Node) others(keep func(Member) bool) []Member {
	var others []Member
	for _, m := range n.table.members() {
		if m.Host != n.options.Self.Host && keep(m) {
			others = append(others, m)
		}
	}
	return others
}

// nextTarget returns the neighbours in rounds, each in a new random order, so
// that two probes of a neighbour are at most two rounds apart.
func (n *Node) nextTarget() (Member, bool) {
	neighbours := n.neighbours()
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if len(n.order) == 0 {
			if len(neighbours) == 0 {
				return Member{}, false
			}
			for _, m := range neighbours {
				n.order = append(n.order, m.Host)
			}
			n.random.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
		}
		host := n.order[0]
		n.order = n.order[1:]
		for _, m := range neighbours {
			if m.Host == host {
				return m, true
			}
		}
	}
}

// pick returns up to k random members.
func (n *Node) pick(members []Member, k int) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	picked := make([]Member, 0, min(k, len(members)))
	for _, i := range n.random.Perm(len(members)) {
		if len(picked) == k {
			break
		}
		picked = append(picked, members[i])
	}
	return picked
}

// probe probes target directly, then over a new connection, then through other
// hosts, and marks it suspect when all fail.
func (n *Node) probe(ctx context.Context, target Member) {
	if n.tryExchange(ctx, target) {
		n.counters.probes.WithLabelValues(probeAnswered).Inc()
		return
	}
	// Failure: one connection goes silent permanently while new ones work. The
	// pool has dropped it, so a probe over a new connection distinguishes a
	// broken connection from a dead host.
	if n.tryExchange(ctx, target) {
		n.counters.probes.WithLabelValues(probeFreshConnection).Inc()
		return
	}
	if ctx.Err() != nil {
		return
	}
	reached, answered := n.probeIndirectly(ctx, target)
	if reached {
		n.counters.probes.WithLabelValues(probeIndirect).Inc()
		return
	}
	n.counters.probes.WithLabelValues(probeFailed).Inc()
	n.suspect(target, answered)
}

// suspect marks target as suspect. The suspicion is confirmed if another host
// failed to reach target too.
//
// Failure: a partitioned host suspects all others, and would gossip them as
// suspect and later gone once it is reconnected. All its probes fail and no
// helper answers. An unconfirmed suspicion is therefore neither gossiped nor
// does it expire.
func (n *Node) suspect(target Member, confirmed bool) {
	change, ok := n.table.suspect(target, confirmed, time.Now())
	if !ok {
		return
	}
	if !confirmed {
		n.counters.suspicions.WithLabelValues(suspicionUnconfirmed).Inc()
	}
	n.recordTransitions([]transition{change})
	if confirmed {
		n.queueChangedMembers([]Member{change.Member})
	}
	signal(n.notifySignal)
}

func (n *Node) tryExchange(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, n.options.ProbeTimeout)
	defer cancel()
	answered, err := n.exchange(ctx, target)
	return err == nil && answered.Host == target.Host
}

// exchange sends a probe to target and returns the member that answered.
func (n *Node) exchange(ctx context.Context, target Member) (Member, error) {
	return n.exchangeOn(ctx, n.control, target)
}

func (n *Node) exchangeOn(ctx context.Context, connections *pool, target Member) (Member, error) {
	response, err := n.sendProbe(ctx, connections, target)
	if err != nil {
		return Member{}, err
	}
	return n.receive(response), nil
}

func (n *Node) sendProbe(ctx context.Context, connections *pool, target Member) (*peerpb.ProbeResponse, error) {
	var response *peerpb.ProbeResponse
	err := connections.call(target.PeerAddress, func(client peerpb.PeerClient) (err error) {
		response, err = client.Probe(ctx, n.newProbe(target.Host))
		return err
	})
	return response, errors.Mark(err, ErrUnreachable)
}

// probeIndirectly requests indirect probes of target from helpers. It reports
// whether one reached target, and whether any helper answered. With one-way
// loss between two hosts a third still reaches both, so no suspicion is raised.
func (n *Node) probeIndirectly(ctx context.Context, target Member) (reached, answered bool) {
	helpers := n.helpers(target)
	ctx, cancel := context.WithTimeout(ctx, 3*n.options.ProbeTimeout)
	defer cancel()
	answers := make(chan *peerpb.ProbeIndirectResponse, len(helpers))
	for _, helper := range helpers {
		go func() { answers <- n.requestIndirectProbe(ctx, helper, target) }()
	}
	for range helpers {
		answer := <-answers
		if answer == nil {
			continue
		}
		answered = true
		if answer.GetReached() {
			cancel()
			n.mergeMembers([]Member{memberFromProto(answer.GetMember())})
			n.table.recordExchange(target.Host, answer.GetMember().GetIncarnation(), 0, time.Now())
			return true, true
		}
	}
	return false, answered
}

// helpers returns up to IndirectProbes hosts for an indirect probe of target.
// Hosts with a recent direct exchange come first.
//
// Failure: this host is partitioned from most of the fleet. Helpers chosen from
// all of it would be unreachable too, so that suspicions are confirmed late and
// callers receive addresses beyond the partition for longer.
func (n *Node) helpers(target Member) []Member {
	recent, others := n.table.reachable(time.Now().Add(-helperExchangeIntervals * n.options.ProbeInterval))
	isTarget := func(m Member) bool { return m.Host == target.Host }
	helpers := n.pick(slices.DeleteFunc(recent, isTarget), n.options.IndirectProbes)
	return append(helpers, n.pick(slices.DeleteFunc(others, isTarget), n.options.IndirectProbes-len(helpers))...)
}

func (n *Node) requestIndirectProbe(ctx context.Context, helper, target Member) *peerpb.ProbeIndirectResponse {
	var response *peerpb.ProbeIndirectResponse
	err := n.control.call(helper.PeerAddress, func(client peerpb.PeerClient) (err error) {
		response, err = client.ProbeIndirect(ctx, &peerpb.ProbeIndirectRequest{Host: target.Host, PeerAddress: target.PeerAddress})
		return err
	})
	if err != nil {
		return nil
	}
	return response
}

// reconnect probes a gone host or a seed that is not a member, so that two
// parts of the fleet reconnect after a partition longer than the suspicion
// timeout. Gone hosts with a successor are skipped: they left on purpose.
func (n *Node) reconnect(ctx context.Context) {
	targets := n.others(func(m Member) bool { return m.State == StateGone && m.Successor == "" })
	known := make(map[string]bool)
	for _, m := range n.table.members() {
		known[m.PeerAddress] = true
	}
	for _, seed := range n.options.Seeds {
		if !known[seed] {
			targets = append(targets, Member{PeerAddress: seed})
		}
	}
	for _, m := range n.pick(targets, 1) {
		// A host that is back is likely one of several. The sync returns the
		// others, and the members whose state is disputed.
		if n.tryExchange(ctx, m) {
			n.syncWith(ctx, m.PeerAddress)
		}
	}
}

// pushLoop probes a few neighbours early when there is an urgent update, for
// example a change of configuration, or a leaving backend server or host.
func (n *Node) pushLoop(ctx context.Context) error {
	pause := n.options.ProbeInterval / pushesPerInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.pushSignal:
			n.push(ctx)
		case <-n.pushSelfSignal:
			n.pushSelf(ctx)
		}
		if err := sleep.For(ctx, pause); err != nil {
			return err
		}
	}
}

// push probes a few neighbours concurrently, so that a dead one does not delay
// the others.
func (n *Node) push(ctx context.Context) { n.pushTo(ctx, n.pick(n.neighbours(), pushFanout)) }

// pushSelf passes this host's changed record to the distributors, which deliver it,
// or to neighbours where deliveries are not in use or no distributor answers.
func (n *Node) pushSelf(ctx context.Context) {
	n.queueChangedMembers([]Member{n.table.localMember()})
	if n.reliesOnDeliveries() && n.pushTo(ctx, n.distributors()) && !n.options.Distribution.Distributes() {
		return
	}
	n.push(ctx)
}

// pushTo probes hosts concurrently and reports whether any answered.
func (n *Node) pushTo(ctx context.Context, targets []Member) bool {
	var answered atomic.Bool
	var group sync.WaitGroup
	for _, target := range targets {
		n.counters.pushes.Inc()
		group.Go(func() {
			if n.tryExchange(ctx, target) {
				answered.Store(true)
			}
		})
	}
	group.Wait()
	return answered.Load()
}

// announceGone announces to a few neighbours that this host is gone, if it was
// leaving.
func (n *Node) announceGone() {
	self := n.table.localMember()
	if self.State != StateLeaving {
		return
	}
	n.table.setSelfState(StateGone, self.Successor)
	ctx, cancel := context.WithTimeout(context.Background(), n.options.ProbeTimeout)
	defer cancel()
	n.pushSelf(ctx)
}
