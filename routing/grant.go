package routing

import (
	"sync/atomic"
	"time"
)

// grant implements Grant for a Dispatcher.
type grant struct {
	service    *service
	request    Request
	server     string
	address    string
	model      string
	serverLoad *serverLoad
	cost       float64 // tokens charged to the organisation in advance

	produced atomic.Int64 // tokens so far
	done     atomic.Bool

	index  int      // position in serverLoad.grants; guarded by the service's mutex
	demand forecast // this request's part of serverLoad.own; guarded by the service's mutex
}

// grant places a request on the chosen server. Called with mu held.
func (s *service) grant(request *Request, chosen *candidate, now time.Time) *grant {
	g := &grant{
		service:    s,
		request:    *request,
		server:     chosen.server.Name,
		address:    chosen.server.Address,
		model:      chosen.server.Model,
		serverLoad: chosen.serverLoad,
		cost:       s.cost(request),
	}
	chosen.serverLoad.add(g, s.lengths.forOrganisation(request.Organisation))
	s.grants.Add(1, now)
	s.served.Add(g.cost, now)
	s.prefixes.addHolder(request.PrefixHash, chosen.serverLoad, now)
	return g
}

// Server implements Grant.
func (g *grant) Server() string { return g.server }

// Address implements Grant.
func (g *grant) Address() string { return g.address }

// Model implements Grant.
func (g *grant) Model() string { return g.model }

// Progress implements Grant. It acquires no lock, since it is called for each
// token.
func (g *grant) Progress(tokens int, gap time.Duration) {
	g.produced.Store(int64(tokens))
	g.serverLoad.gaps.add(gap)
}

// Done implements Grant. A second call is ignored: it would release a slot that
// another request may already use.
func (g *grant) Done(result Result) {
	if g.done.Swap(true) {
		return
	}
	preemptionsTotal.Add(float64(result.Preempted))
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	g.serverLoad.remove(g)
	s.limits.Release(g.request.Organisation)
	s.limits.Spend(g.request.Organisation, result.Tokens)
	s.queue.Charge(g.request.Organisation, g.tokensUsed(result)-g.cost)
	if g.lengthKnown(result) {
		s.lengths.add(g.request.Organisation, g.request.PromptTokens, result.Tokens)
	}
	s.serve(time.Now())
}

// tokensUsed returns the number of tokens that the request used.
func (g *grant) tokensUsed(result Result) float64 {
	if result.NotRun {
		return 0
	}
	return float64(g.request.PromptTokens + result.Tokens)
}

// lengthKnown reports whether the output length may be added to the length
// distribution. Generations that ended at their token limit are included:
// without them long outputs would look rare.
func (g *grant) lengthKnown(result Result) bool {
	atLimit := g.request.MaxTokens > 0 && result.Tokens >= g.request.MaxTokens
	return result.Tokens > 0 && (result.Complete || atLimit)
}
