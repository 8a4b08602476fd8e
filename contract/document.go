package contract

import (
	"slices"
	"time"
)

// Kind is the type of a service's backend servers.
type Kind string

const (
	// KindModel is a service whose backend servers are model engines.
	KindModel Kind = "model"
	// KindPlain is a service whose backend servers answer ordinary HTTP
	// calls, with one complete response.
	KindPlain Kind = "plain"
)

// Document describes one service. The team that owns the service writes it in
// YAML; ParseDocument validates it.
type Document struct {
	Service        string          `yaml:"service"`
	Owner          string          `yaml:"owner"`
	Kind           Kind            `yaml:"kind"`
	Model          *ModelSpec      `yaml:"model,omitempty"`
	BackendServers []BackendServer `yaml:"backend_servers"`
	OrderLinks     []OrderLink     `yaml:"order_links,omitempty"`
	Calls          []CallRule      `yaml:"calls,omitempty"`
	Organisations  []Limit         `yaml:"organisations,omitempty"`
	Deadlines      Deadlines       `yaml:"deadlines"`
	Retry          RetryPolicy     `yaml:"retry"`
	Placement      Placement       `yaml:"placement"`
}

// ModelSpec specifies the model of a service of KindModel.
type ModelSpec struct {
	Name       string `yaml:"name"`
	Version    string `yaml:"version"`
	MinWorkers int    `yaml:"min_workers"` // minimum number of workers (backend servers of this service) that have the model loaded
	MaxTokens  int    `yaml:"max_tokens"`  // longest output of one generation, tokens
	// Idempotent allows entry hosts to restart a generation of which no token was
	// delivered. Set it if the caller accepts a second generation, with other
	// words: narratives are idempotent, reminder letters are not.
	Idempotent bool `yaml:"idempotent"`
}

// BackendServer is one backend server of a service.
type BackendServer struct {
	Name          string `yaml:"name"`
	Address       string `yaml:"address"` // IP:port
	FailureDomain string `yaml:"failure_domain"`
	// ChecksOrders is set if the server authenticates the sender of an order.
	ChecksOrders bool `yaml:"checks_orders,omitempty"`
	// HonoursFence is set if the server refuses orders with a stale fencing number.
	HonoursFence bool `yaml:"honours_fence,omitempty"`
	// Role is the desired role of the server; empty: the role is left unchanged.
	Role string `yaml:"role,omitempty"`
}

// OrderLink allows the entry hosts of a failure domain to send orders to the named
// backend servers.
type OrderLink struct {
	From           string   `yaml:"from"`            // failure domain
	BackendServers []string `yaml:"backend_servers"` // names
}

// CallRule specifies whether calls with one method and path prefix of a plain
// service are idempotent. The rule with the longest matching prefix applies;
// without a match only GET and HEAD are idempotent.
type CallRule struct {
	Method     string `yaml:"method"`
	PathPrefix string `yaml:"path_prefix"`
	Idempotent bool   `yaml:"idempotent"`
}

// Limit holds the limits, the weight and the priority of one organisation at one
// service.
type Limit struct {
	Organisation    string `yaml:"organisation"`
	Weight          int    `yaml:"weight"`            // share under contention
	MaxInFlight     int    `yaml:"max_in_flight"`     // requests; 0: no limit
	TokensPerMinute int    `yaml:"tokens_per_minute"` // output tokens; 0: no limit
	Priority        int    `yaml:"priority"`          // higher is served first by engines
}

// Deadlines bounds the phases of a request.
type Deadlines struct {
	Queue      time.Duration `yaml:"queue"`       // longest wait for a backend server
	FirstToken time.Duration `yaml:"first_token"` // model: longest wait for the first token
	Gap        time.Duration `yaml:"gap"`         // model: silence of the engine after which its connection is abandoned
	Total      time.Duration `yaml:"total"`       // plain: longest duration of a call
}

// RetryPolicy limits retries. Only requests that are safe to repeat are retried.
type RetryPolicy struct {
	MaxRetries    int           `yaml:"max_retries"`
	Initial       time.Duration `yaml:"initial"`        // first backoff, doubled for each retry
	BudgetPercent int           `yaml:"budget_percent"` // retries as a percentage of requests
	MaxResetWait  time.Duration `yaml:"max_reset_wait"` // longest Retry-After honoured
}

// Placement configures the admission of generations to engines.
type Placement struct {
	// Risk is the highest accepted probability, 0 to 1, that the engine's memory
	// fills up while the generation runs.
	Risk float64 `yaml:"risk"`
	// TargetGap is the target for the time between tokens; it limits the number of
	// generations that run on an engine.
	TargetGap time.Duration `yaml:"target_gap"`
}

// CallIdempotent reports whether a call to a plain service may be repeated.
func (d *Document) CallIdempotent(method, path string) bool {
	best, idempotent := -1, method == "GET" || method == "HEAD"
	for _, rule := range d.Calls {
		if rule.Method != method && rule.Method != "*" {
			continue
		}
		if len(rule.PathPrefix) > best && len(path) >= len(rule.PathPrefix) && path[:len(rule.PathPrefix)] == rule.PathPrefix {
			best, idempotent = len(rule.PathPrefix), rule.Idempotent
		}
	}
	return idempotent
}

// AllowsOrders reports whether entry hosts of a failure domain may send orders to
// a backend server. A server that does not authenticate senders obeys anyone who
// can reach it, so the document must allow each link to it. A server that
// authenticates senders accepts orders from all failure domains, unless the document
// lists links to it: then only those are allowed.
func (d *Document) AllowsOrders(from string, server BackendServer) bool {
	named := false
	for _, link := range d.OrderLinks {
		if !slices.Contains(link.BackendServers, server.Name) {
			continue
		}
		if link.From == from {
			return true
		}
		named = true
	}
	return server.ChecksOrders && !named
}

// LimitOf returns the limit of an organisation. An organisation that is not in the
// document has weight 1 and no limits.
func (d *Document) LimitOf(organisation string) Limit {
	for _, limit := range d.Organisations {
		if limit.Organisation == organisation {
			return limit
		}
	}
	return Limit{Organisation: organisation, Weight: 1}
}
