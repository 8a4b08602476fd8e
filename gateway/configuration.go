package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind specifies whether requests of a route may be repeated and how they are
// answered.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests may run at most once.
	AtMostOnce
	// Generation requests run at most once and are answered by a stream of events.
	Generation
)

// Target is one of the services to which a route sends requests.
type Target struct {
	Service string
	Weight  int
}

// Route specifies to which services the requests of one host and path prefix are
// sent, and their limits.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// Goal is the latency goal for the answer or, in a stream, its first event.
	Goal time.Duration
	// Patience is how long a caller waits for the first event of a stream before it
	// gives up. A request that finds no place waits in turn for up to that time. Zero:
	// not known; the request waits for a fraction of Goal.
	Patience time.Duration
	// HonourShare is the share of the time left to its deadline for which a refused
	// caller honours a retry delay.
	HonourShare float64
	// GapGoal is the latency goal for the pause between two events.
	GapGoal  time.Duration
	Priority int // 0 is served first
	// Attempts is the maximum number of servers to which a request is sent.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable is set if callers may resume a generation that broke off, at any server,
	// after the last event that they received.
	Resumable bool
	// Regions are those in which requests may be served; nil: in all, empty: in none.
	Regions []string
	Targets []Target
	// Unreadable is set if a part of the route could not be read. It matches requests as
	// usual, so that none falls to another route, but they are refused as not run.
	Unreadable bool
}

// Engine describes the model engines of a service.
type Engine struct {
	MemoryTokens  int     // memory of one engine, in tokens
	BytesPerToken int     // bytes of memory per token
	LinkMbps      float64 // rate of an engine's link, Mbit/s
	// Moves is set if a run's memory can be copied to another engine.
	Moves bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a set of backend servers.
type Service struct {
	Name string
	// HealthPath is the path at which its servers report whether they accept
	// requests; "": none.
	HealthPath string
	// Engine is nil for plain services.
	Engine *Engine
	// ColdRate is the number of requests per second that each of its servers
	// accepts while it is cold; zero: no limit.
	ColdRate float64
}

// Organisation is a customer of the operator.
type Organisation struct {
	Name string
	// Priority overrides that of routes; nil: the route's priority applies.
	Priority *int
	// Regions are those in which its requests may be served; nil: in all, empty: in none.
	Regions []string
}

// ClientLimits are the limits on callers' requests.
type ClientLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
}

// Configuration is one version of the operator's configuration. It is immutable
// once it is in force: a request uses the same version from start to end.
type Configuration struct {
	Version  uint64 // set by the operator; increases, not always by one
	Services map[string]*Service
	Limits   ClientLimits
	// Problems are the reasons why parts of it could not be read. These parts allow
	// nothing; the others are in force.
	Problems []error

	routes map[string][]*Route // by host; longest prefix first
	keys   map[string]*Organisation
}

// NewConfiguration returns a configuration with indexed routes and keys. Keys are nil if
// it does not name any organisations, so that no request needs a key. With an empty map,
// no key is valid.
func NewConfiguration(version uint64, routes []*Route, services []*Service, keys map[string]*Organisation, limits ClientLimits) *Configuration {
	c := &Configuration{Version: version, Limits: limits, Services: map[string]*Service{}, routes: map[string][]*Route{}, keys: keys}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		c.routes[route.Host] = append(c.routes[route.Host], route)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Organisation returns the organisation to which a key belongs.
func (c *Configuration) Organisation(key string) (*Organisation, bool) {
	organisation, ok := c.keys[key]
	return organisation, ok
}

// NeedsKey reports whether requests on a route need a key.
func (c *Configuration) NeedsKey(route *Route) bool {
	return c.keys != nil && !route.Public
}

// target selects a service of the route at random by weight, or none if all weights are
// zero; draw returns a random number in [0, n).
func (r *Route) target(draw func(n int) int) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	if total == 0 {
		return ""
	}
	at := draw(total)
	for _, target := range r.Targets {
		at -= max(0, target.Weight)
		if at < 0 {
			return target.Service
		}
	}
	return ""
}
