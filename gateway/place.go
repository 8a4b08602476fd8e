package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/placement"
)

const (
	// retryFull is the minimum retry delay while all servers are full: short
	// generations take half a second. Jitter of up to the same amount is added
	// so that callers do not retry at the same time.
	retryFull = 400 * time.Millisecond
	// waitDivisor divides a route's latency goal; the quotient is how long a
	// request waits for capacity. After a longer wait it would rarely be answered
	// in time, and the caller is better served by another host.
	waitDivisor = 8
	// placementInterval is the interval between placement attempts of a waiting
	// request. On one service, a short generation ends every 50 to 100 ms, and
	// the interval is a little shorter.
	placementInterval = 40 * time.Millisecond
	// retryFullMax bounds the retry delay while all servers want no requests of this
	// host: other hosts may be able to send one.
	retryFullMax = 2 * time.Second
	// retryEvacuated is the retry delay while all servers are in evacuated failure
	// domains; evacuations last several seconds.
	retryEvacuated = 2 * time.Second
)

// errStopping is the cause of the end of a wait at a host that stops.
var errStopping = errors.New("gateway: host is stopping")

// place reserves capacity for the request on a server and waits until there is
// some: for a short time, or, if the route says how long callers wait, for as long as
// that. If it returns nil, the second result is the reason.
func (t *task) place(ctx context.Context) (*fleet.Work, Reason) {
	if t.route.Patience > 0 && t.service.Engine != nil && t.route.Kind == Generation {
		return t.placeInTurn(ctx)
	}
	table := t.gateway.options.Fleet
	need := t.request.Prompt.need(t.route.Kind)
	waitUntil := t.request.Arrived.Add(t.route.Goal / waitDivisor)
	giveUp := time.NewTimer(time.Until(waitUntil))
	defer giveUp.Stop()
	for {
		changed := table.Changed()
		candidates := table.CandidatesFor(t.candidateQuery())
		if len(candidates) == 0 {
			if reason := t.noCandidateReason(time.Until(waitUntil)); reason != "" {
				return nil, reason
			}
		}
		if took := shortestCallTime(candidates); took > 0 && t.queuesCalls() {
			return t.placeCall(ctx, took)
		}
		if t.route.Kind != Generation {
			need.Within = max(0, time.Until(t.request.Arrived.Add(t.route.Goal)))
		}
		if work := t.reserve(ctx, need, candidates); work != nil {
			return work, ""
		}
		select {
		case <-changed:
		case <-time.After(placementInterval):
		case <-giveUp.C:
			t.recordShortage(need, candidates)
			return nil, ReasonFull
		case <-ctx.Done():
			t.recordShortage(need, candidates)
			return nil, ReasonFull
		}
	}
}

// placeInTurn reserves capacity for a generation, and waits for its turn at the
// allocator until shortly before its caller gives up. Each call to the allocator is
// held for a short time only, so that the request is soon queued again if the
// allocator dies.
func (t *task) placeInTurn(ctx context.Context) (*fleet.Work, Reason) {
	gateway, need := t.gateway, t.request.Prompt.need(t.route.Kind)
	began := time.Now()
	defer func() { t.waited += time.Since(began) }()
	ctx, stopWaiting := gateway.waitContext(ctx, t.deadline)
	defer stopWaiting()
	holdUntil := t.holdUntil()
	if !gateway.held.add(t.organisation) {
		holdUntil = began
	}
	defer gateway.held.remove(t.organisation)
	for {
		asked := time.Now()
		if len(gateway.options.Fleet.CandidatesFor(t.candidateQuery())) == 0 {
			if reason := t.noCandidateReason(time.Until(holdUntil)); reason != "" {
				return nil, reason
			}
		}
		placed := gateway.options.Allocator.Place(ctx, t.service.Name, t.placementRequest(need, min(time.Until(holdUntil), allocation.MaxHold)), t.tried)
		t.askedBefore = true
		if work := t.begin(placed.Server, need); work != nil {
			return work, ""
		}
		switch {
		case placed.Refused:
			t.retryAfter, t.refusal = placed.RetryAfter, placed.Reason
			return nil, ReasonFull
		case context.Cause(ctx) == errStopping:
			return nil, ReasonStopping
		case !time.Now().Before(holdUntil), sleep.For(ctx, placementInterval-time.Since(asked)) != nil:
			return nil, ReasonFull
		}
	}
}

// begin reserves capacity on the chosen server; it returns nil if there is none or if
// the server accepts nothing now.
func (t *task) begin(server string, need placement.Need) *fleet.Work {
	if server == "" {
		return nil
	}
	work := t.gateway.options.Fleet.Begin(server, fleet.Work{ID: t.request.ID, PromptTokens: need.PromptTokens, OutputTokens: need.OutputTokens}, false)
	if work != nil {
		t.server, t.expected = work.Server(), 0
	}
	return work
}

// holdUntil returns until when the request may wait for a place.
func (t *task) holdUntil() time.Time {
	until := t.request.Arrived.Add(t.route.Patience)
	if t.deadline.Before(until) {
		until = t.deadline
	}
	return until.Add(-allocation.PatienceMargin)
}

// placementRequest returns the request for a place, which may wait at the allocator
// for the given time.
func (t *task) placementRequest(need placement.Need, hold time.Duration) allocation.PlacementRequest {
	req := allocation.PlacementRequest{
		Request: t.request.shortID(), Fingerprint: t.fingerprint, Need: need, Domains: t.allowedDomains(),
		Organisation: t.organisation, Rank: t.priority, Arrived: t.request.Arrived, Hold: max(0, hold), AskedBefore: t.askedBefore,
	}
	if t.route.Patience > 0 {
		req.GiveUp, req.Goal = t.request.Arrived.Add(t.route.Patience), t.request.Arrived.Add(t.route.Goal)
		req.Deadline, req.HonourShare = t.deadline, t.route.HonourShare
	}
	return req
}

// reserve chooses a server and reserves capacity there; it returns nil if there is none.
func (t *task) reserve(ctx context.Context, need placement.Need, candidates []placement.Candidate) *fleet.Work {
	id := t.chooseServer(ctx, need, candidates)
	work := t.begin(id, need)
	if work == nil {
		return nil
	}
	if i := slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.ID == id }); i >= 0 && candidates[i].Time != nil {
		t.expected = candidates[i].Time.End(candidates[i].InFlight)
	}
	return work
}

// recordShortage records why a call was not placed, for its log line. Allocators log why
// they place no generation.
func (t *task) recordShortage(need placement.Need, candidates []placement.Candidate) {
	if t.service.Engine != nil && t.route.Kind == Generation {
		return
	}
	shortage := placement.ShortageOf(need, candidates, t.gateway.options.Limits)
	t.shortage = &callShortage{len(candidates), shortage}
}

// callShortage is why no server had a place for a call.
type callShortage struct {
	candidates int
	placement.Shortage
}

// noCandidateReason returns the reason why there is no candidate server, or "" if
// one will accept requests again within the given wait.
func (t *task) noCandidateReason(wait time.Duration) Reason {
	table := t.gateway.options.Fleet
	if table.EvacuatedOnly(t.service.Name, t.allowedDomains()) {
		return ReasonEvacuated
	}
	switch rest := table.AcceptsIn(t.service.Name, t.allowedDomains()); {
	case rest == 0:
		return ReasonNoServer
	case rest > wait:
		return ReasonFull
	}
	return ""
}

// candidateQuery returns the query for candidate servers. Each host uses an equal
// share of the request rate that cold servers of plain services accept;
// generations are placed by the allocator.
func (t *task) candidateQuery() fleet.Query {
	q := fleet.Query{Service: t.service.Name, Domain: t.gateway.options.Domain, Domains: t.allowedDomains(), Except: t.tried}
	if t.service.ColdRate > 0 {
		q.ColdShare = 1 / float64(t.gateway.options.Fleet.Sharers().Count())
	}
	return q
}

// chooseServer returns the ID of the server for the request, or "" if none has
// capacity.
func (t *task) chooseServer(ctx context.Context, need placement.Need, candidates []placement.Candidate) string {
	if t.service.Engine != nil && t.route.Kind == Generation {
		req := t.placementRequest(need, 0)
		t.askedBefore = true
		return t.gateway.options.Allocator.Place(ctx, t.service.Name, req, t.tried).Server
	}
	if i := placement.Pick(need, candidates, t.gateway.options.Limits, rand.IntN); i >= 0 {
		return candidates[i].ID
	}
	return ""
}

// unplacedOutcome returns the outcome of a request that was not placed and did
// not run.
func (t *task) unplacedOutcome(ctx context.Context, reason Reason) Outcome {
	if ctx.Err() == context.Canceled {
		return abandoned()
	}
	switch reason {
	case ReasonStopping:
		return t.gateway.stoppingOutcome()
	case ReasonFull:
		if t.retryAfter > 0 {
			return refused(reason, t.retryAfter)
		}
		wait := min(t.gateway.options.Fleet.AcceptsIn(t.service.Name, t.allowedDomains()), retryFullMax)
		return refused(reason, max(retryFull, wait)+rand.N(retryFull))
	case ReasonEvacuated:
		return refused(reason, retryEvacuated)
	}
	return refused(reason, retryNoServer)
}
