package entryhost

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/record"
)

const (
	// maxHolders is the maximum number of hosts queried for the records of an
	// incarnation that has ended.
	maxHolders     = 8
	homeRetryAfter = 2 * time.Second
	// queryTimeout is the timeout of one query to another host. The other host
	// answers within replyTimeout; if the request still runs, it reports that.
	queryTimeout     = 2 * time.Second
	replyTimeout     = queryTimeout - 500*time.Millisecond
	maxQueryFailures = 2 // consecutive queries without a response
)

// peers is the part of the membership that homeRouter uses.
type peers interface {
	Members() []peer.Member
	Forward(ctx context.Context, host string, request *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error)
}

// runner runs a request whose home is this host. If this host adopted the records
// of the home, it returns the recorded answer or a refusal and runs nothing.
type runner interface {
	RunOnce(ctx context.Context, key record.Key, request *peerpb.ForwardRequest) record.Answer
}

// homeRouter forwards a request to the home of its key, the only host that may
// run it: if the home cannot be reached the outcome is "unknown"; the request never
// runs at another host. It implements relay.HomeRouter.
type homeRouter struct {
	self   string
	ledger *record.Ledger
	local  runner
	peers  peers
}

// Run implements relay.HomeRouter.
func (h *homeRouter) Run(ctx context.Context, key record.Key, request *peerpb.ForwardRequest) record.Answer {
	if h.ledger.AnswersFor(key.Home) {
		return h.local.RunOnce(ctx, key, request)
	}
	members := h.peers.Members()
	if member, ok := findMember(members, key.Home.Host); ok && h.mayBeRunning(member, key.Home) {
		answer, err := h.query(ctx, member.Host, request)
		if err != nil {
			return record.Answer{Refusal: homeUnreachable(err)}
		}
		if !notHolder(answer) {
			return answer
		}
	}
	return h.queryHolders(ctx, members, key, request)
}

// query forwards a request to another host and repeats this while the request
// runs there.
//
// Each query has a short timeout, and after one without a response the next uses
// a new connection: a connection between hosts can stop delivering data without
// being closed, so that waiting longer would not help. Repeating the query is
// safe, since the key makes it idempotent.
func (h *homeRouter) query(ctx context.Context, host string, request *peerpb.ForwardRequest) (record.Answer, error) {
	for failed := 0; ; {
		short, stop := context.WithTimeout(ctx, queryTimeout)
		response, err := h.peers.Forward(short, host, request)
		stop()
		if err != nil {
			if failed++; failed >= maxQueryFailures || ctx.Err() != nil {
				return record.Answer{}, err
			}
			continue
		}
		failed = 0
		answer := record.AnswerFromProto(response)
		if !inProgress(answer) || ctx.Err() != nil {
			return answer, nil
		}
	}
}

// mayBeRunning reports whether the incarnation in a key may still be running.
func (h *homeRouter) mayBeRunning(member peer.Member, home record.Home) bool {
	return member.Host != h.self && member.Incarnation <= home.Incarnation && member.State != peer.StateGone
}

func findMember(members []peer.Member, host string) (peer.Member, bool) {
	i := slices.IndexFunc(members, func(m peer.Member) bool { return m.Host == host })
	if i < 0 {
		return peer.Member{}, false
	}
	return members[i], true
}

// queryHolders queries the hosts that may have taken over the records of an
// incarnation that has ended. Successors are selected in the same order in which
// they are queried here, so a few queries find the holder without a directory.
func (h *homeRouter) queryHolders(ctx context.Context, members []peer.Member, key record.Key, request *peerpb.ForwardRequest) record.Answer {
	holders := ranked(members, h.self, key.Home.IncarnationID(), mayHold)
	var failed error
	for _, holder := range holders[:min(len(holders), maxHolders)] {
		answer, err := h.query(ctx, holder.Host, request)
		if err == nil && !notHolder(answer) {
			return answer
		}
		if err != nil {
			failed = err
		}
	}
	if failed != nil {
		return record.Answer{Refusal: homeUnreachable(failed)} // the host that failed may have the records
	}
	if member, ok := findMember(members, key.Home.Host); ok && member.Incarnation <= key.Home.Incarnation {
		return record.Answer{Refusal: homeUnreachable(nil)} // the home may be partitioned and return
	}
	return record.Answer{Refusal: contract.Unknown(contract.ReasonHomeGone, 0, "the entry host that could tell is gone").WithStatus(410)}
}

// successors returns the hosts that may take over the records of an incarnation,
// in order of preference.
func successors(members []peer.Member, self, incarnation string) []peer.Member {
	return ranked(members, self, incarnation, func(m peer.Member) bool { return m.State == peer.StateAlive })
}

// mayHold reports whether a host may have records that were handed over to it. A
// leaving host has them until it has handed them over to another host.
//
// If leaving hosts were not queried, the caller would receive a final "unknown"
// (home gone) while the records are being moved to the next holder.
func mayHold(member peer.Member) bool { return member.State != peer.StateGone }

// ranked returns the eligible hosts other than self, ordered by rendezvous hashing
// for the records of an incarnation.
func ranked(members []peer.Member, self, incarnation string, eligible func(peer.Member) bool) []peer.Member {
	type candidate struct {
		member peer.Member
		rank   uint64
	}
	var candidates []candidate
	for _, member := range members {
		if member.Host != self && eligible(member) {
			candidates = append(candidates, candidate{member, xxhash.Sum64String(incarnation + "/" + member.Host)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return 0
	})
	ordered := make([]peer.Member, len(candidates))
	for i, r := range candidates {
		ordered[i] = r.member
	}
	return ordered
}

func homeUnreachable(err error) *contract.Refusal {
	return contract.Unknown(contract.ReasonHomeUnreachable, homeRetryAfter, "the key's entry host cannot be reached; repeat with the same key").WithCause(err)
}

func inProgress(answer record.Answer) bool {
	return answer.Refusal != nil && answer.Refusal.Reason == contract.ReasonInProgress
}

func notHolder(answer record.Answer) bool {
	return answer.Refusal != nil && answer.Refusal.Reason == contract.ReasonNotHolder
}

// Forward serves a request that another host forwarded to this one. It implements
// peer.Handler. It never forwards the request again, so there are no forwarding
// loops.
func (h *homeRouter) Forward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardResponse {
	ctx, stop := context.WithTimeout(ctx, replyTimeout)
	defer stop()
	answer := h.handleForwarded(ctx, request)
	return answer.ToProto()
}

func (h *homeRouter) handleForwarded(ctx context.Context, request *peerpb.ForwardRequest) record.Answer {
	key, err := record.ParseKey(request.GetKey())
	if err != nil {
		return record.Answer{Refusal: contract.NotRun(contract.ReasonKeyInvalid, 0, err.Error()).WithStatus(400)}
	}
	if !h.ledger.AnswersFor(key.Home) {
		return record.Answer{Refusal: contract.Unknown(contract.ReasonNotHolder, 0, "")}
	}
	return h.local.RunOnce(ctx, key, request)
}

// HandOver adopts a page of the records of a stopping host. It implements
// peer.Handler.
func (h *homeRouter) HandOver(_ context.Context, page *peerpb.HandOverRequest) error {
	return h.ledger.Adopt(page)
}
