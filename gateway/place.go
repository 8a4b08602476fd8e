package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/placement"
)

const (
	// retryFull is the least time after which a place may be free: short
	// generations take half a second. Up to as much again is drawn, so that
	// callers do not return together.
	retryFull = 400 * time.Millisecond
	// waitShare is the part of a route's goal for which a request waits for a
	// place; one that waited longer would rarely be answered in time, and the
	// caller is better off elsewhere.
	waitShare = 8
	// placeAgain is when to ask again for a place: short generations end at a
	// service every 50 to 100 ms.
	placeAgain = 40 * time.Millisecond
	// retryEvacuated is when to come back while all servers are in evacuated
	// failure domains; evacuations last for seconds.
	retryEvacuated = 2 * time.Second
)

// place books the request on a server, waiting a little for a place. The
// second result says why there is none.
func (t *task) place(ctx context.Context) (*fleet.Work, Reason) {
	table := t.gateway.options.Fleet
	need := t.request.Prompt.need(t.route.Kind)
	waitUntil := t.request.Arrived.Add(t.route.Goal / waitShare)
	giveUp := time.NewTimer(time.Until(waitUntil))
	defer giveUp.Stop()
	for {
		changed := table.Changed()
		candidates := table.CandidatesFor(t.query())
		if len(candidates) == 0 {
			if reason := t.whyNone(time.Until(waitUntil)); reason != "" {
				return nil, reason
			}
		}
		if id := t.choose(ctx, need, candidates); id != "" {
			work := table.Begin(id, fleet.Work{ID: t.request.ID, PromptTokens: need.PromptTokens, OutputTokens: need.OutputTokens}, false)
			if work != nil {
				t.server = work.Server()
				return work, ""
			}
		}
		select {
		case <-changed:
		case <-time.After(placeAgain):
		case <-giveUp.C:
			return nil, ReasonFull
		case <-ctx.Done():
			return nil, ReasonFull
		}
	}
}

// whyNone says why no server may get the request, or "" if one will within the
// time for which it may wait.
func (t *task) whyNone(wait time.Duration) Reason {
	table := t.gateway.options.Fleet
	if table.EvacuatedOnly(t.service.Name) {
		return ReasonEvacuated
	}
	switch rest := table.RestLeft(t.service.Name); {
	case rest == 0:
		return ReasonNoServer
	case rest > wait:
		return ReasonFull
	}
	return ""
}

// query asks for the servers that may get the request. Hosts share evenly what
// cold servers of plain services bear; generations are placed by an allocator.
func (t *task) query() fleet.Query {
	q := fleet.Query{Service: t.service.Name, Domain: t.gateway.options.Domain, Except: t.tried}
	if t.service.ColdRate > 0 {
		q.ColdShare = 1 / float64(max(1, t.gateway.options.Budget.Hosts()))
	}
	return q
}

// choose returns the server for the request, or "".
func (t *task) choose(ctx context.Context, need placement.Need, candidates []placement.Candidate) string {
	if t.service.Engine != nil && t.route.Kind == Generation {
		asked := allocation.Asked{Request: t.request.ID, Fingerprint: t.fingerprint, Need: need}
		return t.gateway.options.Allocator.Place(ctx, t.service.Name, asked, t.tried)
	}
	if i := placement.Pick(need, candidates, t.gateway.options.Limits, rand.IntN); i >= 0 {
		return candidates[i].ID
	}
	return ""
}

// unplaced is the answer when there was no place and nothing ran.
func (t *task) unplaced(ctx context.Context, reason Reason) Outcome {
	if ctx.Err() == context.Canceled {
		return abandoned()
	}
	switch reason {
	case ReasonFull:
		return refused(reason, retryFull+rand.N(retryFull))
	case ReasonEvacuated:
		return refused(reason, retryEvacuated)
	}
	return refused(reason, retryNoServer)
}
