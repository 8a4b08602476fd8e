package peer

import (
	"context"
	"slices"
	"sync"
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
	probeIndirect        = "indirect"         // reached only by another host
	probeFailed          = "failed"

	suspicionRaised      = "raised"
	suspicionUnconfirmed = "unconfirmed"
	suspicionRefuted     = "refuted"
	suspicionGone        = "gone"
)

const (
	// pushFanout is how many neighbours are probed early because of news. When
	// each host that hears of it does the same, exp(-pushFanout) of the hosts
	// are missed and hear of it with the next probe.
	pushFanout = 4
	// pushEvery, in probe intervals over this number, spaces early probes.
	pushEvery = 5
	// overlappingProbes bounds the probes under way.
	overlappingProbes = 4
	// lately is within how many intervals a host was heard to be a helper first.
	lately = 4
	// strayEvery is in how many intervals a host outside the scope or one
	// that is gone is probed.
	strayEvery = 20
)

// probeLoop begins to probe one neighbour in each interval.
//
// Failure: many hosts die at once and each probe waits for its timeouts, so
// the deaths are found one after another. It shows as suspicions that come
// slower than one an interval. A few probes may therefore overlap.
func (n *Node) probeLoop(ctx context.Context) error {
	var probes errgroup.Group
	probes.SetLimit(overlappingProbes)
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
		if tick%strayEvery == 0 {
			probes.TryGo(func() error { n.probeStray(ctx); return nil })
		}
	}
}

func (n *Node) checkSuperseded() error {
	if _, _, known := n.table.state(); known != 0 {
		return &SupersededError{Known: known}
	}
	return nil
}

func (n *Node) expire() {
	now := time.Now()
	moved := n.table.expire(now, n.options.SuspicionTimeout, n.options.GoneRetention)
	n.report(moved)
	if n.leaving.expire(now) || len(moved) > 0 {
		signal(n.notices)
	}
	n.control.sweep(now)
	n.data.sweep(now)
}

// report counts and logs changes of state.
func (n *Node) report(moved []transition) {
	for _, t := range moved {
		switch {
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
}

// neighbours returns the hosts in scope that are not gone.
func (n *Node) neighbours() []Member {
	generation, _, _ := n.table.state()
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

// nextTarget goes through the neighbours in random order, round by round, so
// that each is probed within two rounds at most.
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

// probe asks target whether it lives; directly, over a fresh connection, by
// way of others; and suspects it when all fail.
func (n *Node) probe(ctx context.Context, target Member) {
	if n.tryExchange(ctx, target) {
		n.counters.probes.WithLabelValues(probeAnswered).Inc()
		return
	}
	// Failure: a connection goes silent for good while new ones work. It
	// shows as probes without an answer on one connection only. The pool has
	// dropped that one, and a fresh connection tells the link from the host.
	if n.tryExchange(ctx, target) {
		n.counters.probes.WithLabelValues(probeFreshConnection).Inc()
		return
	}
	if ctx.Err() != nil {
		return
	}
	reached, asked := n.probeByOthers(ctx, target)
	if reached {
		n.counters.probes.WithLabelValues(probeIndirect).Inc()
		return
	}
	n.counters.probes.WithLabelValues(probeFailed).Inc()
	n.suspect(target, asked)
}

// suspect marks target. Without the word of another host it stays unconfirmed.
//
// Failure: a host that is itself cut off suspects everybody; on its return it
// would tell the fleet that all are suspect, and later gone. It shows as
// probes that all fail, with no helper that answers. An unconfirmed suspicion
// is kept to ourselves and never runs out, so nothing wrong is passed on.
func (n *Node) suspect(target Member, confirmed bool) {
	moved, ok := n.table.suspect(target, confirmed, time.Now())
	if !ok {
		return
	}
	if !confirmed {
		n.counters.suspicions.WithLabelValues(suspicionUnconfirmed).Inc()
	}
	n.report([]transition{moved})
	signal(n.notices)
}

func (n *Node) tryExchange(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, n.options.ProbeTimeout)
	defer cancel()
	answered, err := n.exchange(ctx, target)
	return err == nil && answered.Host == target.Host
}

// exchange swaps one probe with target and returns who answered.
func (n *Node) exchange(ctx context.Context, target Member) (Member, error) {
	return n.exchangeOn(ctx, n.control, target)
}

func (n *Node) exchangeOn(ctx context.Context, connections *pool, target Member) (Member, error) {
	var response *peerpb.ProbeResponse
	err := connections.call(target.PeerAddress, func(client peerpb.PeerClient) (err error) {
		response, err = client.Probe(ctx, n.message(target.Host))
		return err
	})
	if err != nil {
		return Member{}, errors.Mark(err, ErrUnreachable)
	}
	return n.receive(response), nil
}

// probeByOthers asks helpers to probe target. One-way loss between two hosts
// leaves a way round through a third, so it raises no suspicion.
func (n *Node) probeByOthers(ctx context.Context, target Member) (reached, asked bool) {
	helpers := n.helpers(target)
	ctx, cancel := context.WithTimeout(ctx, 3*n.options.ProbeTimeout)
	defer cancel()
	answers := make(chan *peerpb.ProbeIndirectResponse, len(helpers))
	for _, helper := range helpers {
		go func() { answers <- n.askHelper(ctx, helper, target) }()
	}
	for range helpers {
		answer := <-answers
		if answer == nil {
			continue
		}
		asked = true
		if answer.GetReached() {
			cancel()
			n.take([]Member{memberFromProto(answer.GetMember())})
			n.table.heard(target.Host, answer.GetMember().GetIncarnation(), 0, time.Now())
			return true, true
		}
	}
	return false, asked
}

// helpers chooses hosts to probe target for us: those heard of late first.
//
// Failure: most of the fleet is cut off. Helpers chosen from all of it are cut
// off too and do not answer, so suspicions are confirmed late, and callers are
// given addresses beyond the cut for longer.
func (n *Node) helpers(target Member) []Member {
	heard, others := n.table.reachable(time.Now().Add(-lately * n.options.ProbeInterval))
	isTarget := func(m Member) bool { return m.Host == target.Host }
	helpers := n.pick(slices.DeleteFunc(heard, isTarget), n.options.IndirectProbes)
	return append(helpers, n.pick(slices.DeleteFunc(others, isTarget), n.options.IndirectProbes-len(helpers))...)
}

func (n *Node) askHelper(ctx context.Context, helper, target Member) *peerpb.ProbeIndirectResponse {
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

// probeStray probes a host that is gone, or a seed, so that two parts of the
// fleet that lost each other for longer than the suspicion timeout find each
// other again. Hosts that said goodbye are left alone.
func (n *Node) probeStray(ctx context.Context) {
	strays := n.others(func(m Member) bool { return m.State == StateGone && m.Successor == "" })
	known := make(map[string]bool)
	for _, m := range n.table.members() {
		known[m.PeerAddress] = true
	}
	for _, seed := range n.options.Seeds {
		if !known[seed] {
			strays = append(strays, Member{PeerAddress: seed})
		}
	}
	for _, m := range n.pick(strays, 1) {
		// A host that is back likely comes with others: its membership tells
		// which, and whom to doubt.
		if n.tryExchange(ctx, m) {
			n.syncWith(ctx, m.PeerAddress)
		}
	}
}

// pushLoop probes a few neighbours early when there is news that should not
// wait: a change of configuration, a leaving backend server or host.
func (n *Node) pushLoop(ctx context.Context) error {
	pause := n.options.ProbeInterval / pushEvery
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.kick:
		}
		n.push(ctx)
		if err := sleep.For(ctx, pause); err != nil {
			return err
		}
	}
}

// push probes a few neighbours at once; a dead one does not hold up the others.
func (n *Node) push(ctx context.Context) {
	var group sync.WaitGroup
	for _, target := range n.pick(n.neighbours(), pushFanout) {
		n.counters.pushes.Inc()
		group.Go(func() { n.tryExchange(ctx, target) })
	}
	group.Wait()
}

// sayGoodbye tells a few neighbours that this host is gone, if it was leaving.
func (n *Node) sayGoodbye() {
	self := n.table.me()
	if self.State != StateLeaving {
		return
	}
	n.table.leave(StateGone, self.Successor)
	ctx, cancel := context.WithTimeout(context.Background(), n.options.ProbeTimeout)
	defer cancel()
	n.push(ctx)
}
