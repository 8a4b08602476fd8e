package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what of a route's requests may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests may run once at most.
	AtMostOnce
	// Generation requests run once at most and are answered by a stream of events.
	Generation
)

// Target is one of the services that a route's requests go to.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests of one host and path go, and within which limits.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer, or its first event, is on time.
	Goal time.Duration
	// GapGoal is the longest pause between events that is on time.
	GapGoal  time.Duration
	Priority int // 0: first
	// Attempts is how many servers a request may be sent to.
	Attempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Engine describes the model engines of a service.
type Engine struct {
	MemoryTokens  int
	BytesPerToken int
	LinkMbps      float64
	// Moves says that a run's memory can be copied to another engine.
	Moves bool
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Service is a set of backend servers.
type Service struct {
	Name string
	// HealthPath is where its servers say whether they take requests; "": nowhere.
	HealthPath string
	// Engine is nil for plain services.
	Engine *Engine
	// ColdRate is how many requests a second each of its servers takes while it
	// is cold; zero: there is no bound.
	ColdRate float64
}

// Organisation is a customer of the operator.
type Organisation struct {
	Name string
	// Priority goes before that of routes; nil: the route's counts.
	Priority *int
}

// ClientLimits bound what a caller may send.
type ClientLimits struct {
	MaxBodyBytes int64
}

// Configuration is one version of the operator's configuration. It is never
// changed once it is in force: a request keeps the one that it began with.
type Configuration struct {
	Version  uint64 // the operator's, rising in uneven steps
	Services map[string]*Service
	Limits   ClientLimits

	routes map[string][]*Route // by host; longest prefix first
	keys   map[string]*Organisation
}

// NewConfiguration indexes routes and keys. Without any organisation no
// request needs a key.
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

// Organisation returns who holds a key.
func (c *Configuration) Organisation(key string) (*Organisation, bool) {
	organisation, ok := c.keys[key]
	return organisation, ok
}

// NeedsKey reports whether requests on a route need a key.
func (c *Configuration) NeedsKey(route *Route) bool {
	return len(c.keys) > 0 && !route.Public
}

// target chooses a service of the route by weight; draw returns a number
// below n.
func (r *Route) target(draw func(n int) int) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	at := draw(total)
	for _, target := range r.Targets {
		at -= max(0, target.Weight)
		if at < 0 {
			return target.Service
		}
	}
	return r.Targets[0].Service
}
