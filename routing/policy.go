package routing

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
)

// Names of the baseline policies. They always place a request at once.
const (
	PolicyRandom        = "random"
	PolicyRoundRobin    = "round_robin"
	PolicyLeastInFlight = "least_in_flight"
	PolicyPowerOfTwo    = "power_of_two" // compares the reported load
)

// PolicyForecast is the name of the policy that places by a forecast of each
// engine's memory.
const PolicyForecast = "forecast"

// policy picks a server for a request. Each service has its own instance; it is
// called with the service's mutex held.
type policy interface {
	// pick returns one of the candidates, or nil if the request has to wait.
	// There is at least one candidate.
	pick(*choice) *candidate
}

// choice is the input of one placement decision.
type choice struct {
	service    *service
	request    *Request
	candidates []*candidate
	now        time.Time
}

// ramp returns the share of its full load that a candidate may get, below 1
// during its slow start.
func (c *choice) ramp(candidate *candidate) float64 {
	return c.service.view.snapshot.Ramp(candidate.server, c.now)
}

// ablations are variants of the forecast policy, by name, each with one mechanism
// disabled. Benchmarks use them.
var ablations = map[string]func(*tuning){
	"forecast-without-herd":    func(t *tuning) { t.unreportedWeight = 0 },
	"forecast-without-aging":   func(t *tuning) { t.aging = false },
	"forecast-without-ended":   func(t *tuning) { t.ended = false },
	"forecast-without-limit":   func(t *tuning) { t.limit = false },
	"forecast-without-horizon": func(t *tuning) { t.currentOnly = true },
	"forecast-without-margin":  func(t *tuning) { t.margin = false },
	"forecast-without-shares":  func(t *tuning) { t.fairShare = 0 },
	"forecast-without-prefix":  func(t *tuning) { t.prefix = 0 },
	"forecast-without-sample":  func(t *tuning) { t.sampleSize = 0 },
}

// Ablations returns the names of the ablations, sorted. Options.Policy accepts
// them too.
func Ablations() []string {
	names := make([]string, 0, len(ablations))
	for name := range ablations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

var policies = map[string]func() policy{
	PolicyRandom:        func() policy { return randomPolicy{} },
	PolicyRoundRobin:    func() policy { return &roundRobinPolicy{} },
	PolicyLeastInFlight: func() policy { return leastInFlightPolicy{} },
	PolicyPowerOfTwo:    func() policy { return powerOfTwoPolicy{} },
	PolicyForecast:      func() policy { return newForecastPolicy() },
}

// Policies returns the names of the policies for Options.Policy, sorted.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func policyNamed(name string) (func() policy, error) {
	if change := ablations[name]; change != nil {
		tuned := defaultTuning
		change(&tuned)
		return func() policy { return &forecastPolicy{tuning: tuned} }, nil
	}
	build := policies[name]
	if build == nil {
		return nil, errors.Newf("routing: unknown policy %q, known are %v", name, Policies())
	}
	return build, nil
}

type randomPolicy struct{}

func (randomPolicy) pick(c *choice) *candidate {
	return c.candidates[c.service.random.IntN(len(c.candidates))]
}

type roundRobinPolicy struct{ next int }

func (p *roundRobinPolicy) pick(c *choice) *candidate {
	p.next++
	return c.candidates[p.next%len(c.candidates)]
}

type leastInFlightPolicy struct{}

func (leastInFlightPolicy) pick(c *choice) *candidate {
	start := c.service.random.IntN(len(c.candidates)) // random start, so that ties spread evenly
	var best *candidate
	var least float64
	for i := range c.candidates {
		cand := c.candidates[(start+i)%len(c.candidates)]
		load := float64(cand.serverLoad.running+1) / c.ramp(cand)
		if best == nil || load < least {
			best, least = cand, load
		}
	}
	return best
}

type powerOfTwoPolicy struct{}

func (powerOfTwoPolicy) pick(c *choice) *candidate {
	one := c.candidates[c.service.random.IntN(len(c.candidates))]
	other := c.candidates[c.service.random.IntN(len(c.candidates))]
	if reportedLoad(other.server)/c.ramp(other) < reportedLoad(one.server)/c.ramp(one) {
		return other
	}
	return one
}

// reportedLoad returns the share of a server's memory in use, or the number of
// requests in the server if it reports no memory.
func reportedLoad(server *backend.Server) float64 {
	if server.Load.TokenCapacity > 0 {
		return (float64(server.Load.TokensHeld) + 1) / float64(server.Load.TokenCapacity)
	}
	return float64(server.Load.Running + server.Load.Waiting + 1)
}
