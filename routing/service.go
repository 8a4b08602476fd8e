package routing

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/ratemeter"
	"github.com/papayasail/papayasail/organisation"
)

const (
	grantTimeConstant  = 2 * time.Second // short: the estimate of other hosts' placements has to follow demand
	servedTimeConstant = 8 * time.Second // long: the queue is served in bursts
)

// service is the scheduling state of one service on this host.
type service struct {
	dispatcher *Dispatcher
	name       string

	mu          sync.Mutex // guards the fields below
	policy      policy
	random      *rand.Rand
	limits      *organisation.Limits
	queue       *organisation.Queue[*waiter]
	serverLoads map[string]*serverLoad // by address
	view        view
	lengths     *lengths
	prefixes    *prefixes
	lags        lagMeter
	grants      ratemeter.Meter // requests placed
	served      ratemeter.Meter // cost of the requests placed; see service.cost
	z           float64         // standard deviations for the overflow risk in the service document
	closed      bool
}

func newService(d *Dispatcher, name string) *service {
	s := &service{
		dispatcher:  d,
		name:        name,
		policy:      d.build(),
		random:      rand.New(rand.NewPCG(d.options.Seed, uint64(len(name)))),
		limits:      organisation.NewLimits(),
		serverLoads: map[string]*serverLoad{},
		prefixes:    newPrefixes(),
		grants:      ratemeter.New(grantTimeConstant),
		served:      ratemeter.New(servedTimeConstant),
	}
	s.lengths = newLengths(s.unfinished)
	s.queue = organisation.NewQueue[*waiter](s.weight)
	return s
}

// unfinished counts this host's running generations by the bucket of the tokens
// produced so far. An empty organisation selects all. Called with mu held.
func (s *service) unfinished(organisation string) (counts [lengthBuckets]float64) {
	for _, l := range s.serverLoads {
		for _, g := range l.grants {
			if produced := int(g.produced.Load()); produced > 0 && (organisation == "" || organisation == g.request.Organisation) {
				counts[bucketOf(produced)]++
			}
		}
	}
	return counts
}

// weight returns the queue weight of an organisation. Called with mu held.
func (s *service) weight(name string) float64 {
	if s.view.snapshot == nil {
		return 1
	}
	return float64(max(1, s.view.snapshot.Document.LimitOf(name).Weight))
}

// admit admits a request. It returns a grant, a queued waiter or a refusal.
func (s *service) admit(request Request) (*grant, *waiter, *contract.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.closed || !s.refresh(now) {
		return nil, nil, contract.NotRun(contract.ReasonNoConfiguration, retryNoServer, "service not in force here")
	}
	s.applyDocumentLimits(&request, now)
	limit := s.view.snapshot.Document.LimitOf(request.Organisation)
	retryAfter, ok := s.limits.Admit(limit, s.dispatcher.options.Share(), now)
	if !ok {
		refusal := contract.NotRun(contract.ReasonLimit, retryAfter, "limit of the organisation reached")
		return nil, nil, refusal.WithStatus(http.StatusTooManyRequests)
	}
	g, refusal := s.place(&request, now)
	if refusal != nil {
		s.limits.Release(request.Organisation)
		return nil, nil, refusal
	}
	if g != nil {
		return g, nil, nil
	}
	if wait, missesDeadline := s.missesDeadline(&request, now); missesDeadline {
		s.limits.Release(request.Organisation)
		return nil, nil, contract.NotRun(contract.ReasonOverloaded, wait, "no backend server will be free before the deadline")
	}
	return nil, s.enqueue(request, now), nil
}

// applyDocumentLimits applies the limits of the service document to the
// request's MaxTokens and Deadline. Called with mu held.
func (s *service) applyDocumentLimits(request *Request, now time.Time) {
	document := s.view.snapshot.Document
	if document.Model != nil && (request.MaxTokens <= 0 || request.MaxTokens > document.Model.MaxTokens) {
		request.MaxTokens = document.Model.MaxTokens
	}
	wait := document.Deadlines.Queue
	if wait <= 0 {
		wait = defaultQueueWait
	}
	if latest := now.Add(wait); request.Deadline.IsZero() || request.Deadline.After(latest) {
		request.Deadline = latest
	}
}

// place tries to place a request now. It returns nil, nil if the request has to
// wait, behind queued requests or for a server, and a refusal if no server may
// take the request, now or later. Called with mu held.
func (s *service) place(request *Request, now time.Time) (*grant, *contract.Refusal) {
	candidates, recoverable := s.candidates(request)
	if len(candidates) == 0 && !recoverable {
		return nil, contract.NotRun(contract.ReasonNoBackendServer, retryNoServer, "no backend server may take the request")
	}
	if len(candidates) == 0 || s.queue.Len() > 0 {
		return nil, nil
	}
	chosen := s.choose(request, candidates, now)
	if chosen == nil {
		return nil, nil
	}
	s.queue.Charge(request.Organisation, s.cost(request))
	return s.grant(request, chosen, now), nil
}

// choose lets the policy pick one of the candidates. It returns nil if the
// request has to wait. Called with mu held.
func (s *service) choose(request *Request, candidates []*candidate, now time.Time) *candidate {
	return s.policy.pick(&choice{service: s, request: request, candidates: candidates, now: now})
}

// cost returns the expected number of tokens to charge to the organisation for a
// request, or 1 for a plain service. Called with mu held.
func (s *service) cost(request *Request) float64 {
	if s.view.snapshot.Document.Kind != contract.KindModel {
		return 1
	}
	return s.lengths.mean(request.Organisation, request.MaxTokens) + float64(request.PromptTokens)
}
