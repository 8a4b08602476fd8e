// Package routing schedules requests: it decides which backend server runs a
// request, and when.
package routing

import (
	"context"
	"time"
)

// Request describes a request, as far as routing needs it, before it runs.
type Request struct {
	Service      string
	Organisation string
	PromptTokens int
	MaxTokens    int    // 0: the limit in the service document
	PrefixHash   uint64 // hash of the prompt's prefix, for cache affinity
	Priority     int
	Deadline     time.Time // latest time to wait for a backend server
	Exclude      []string  // backend servers that already failed this request
}

// Result is the outcome of a granted request, as reported back to routing.
type Result struct {
	Tokens    int  // output tokens
	Complete  bool // the generation ended by itself, so Tokens is its full length
	Failed    bool // the backend server failed or refused the request
	NotRun    bool // the server refused the request and ran none of it
	Preempted int  // number of preemptions seen in the stream
}

// Grant is the permission to run one request on one backend server. Progress
// and Done may be called from any goroutine; Done must be called exactly once.
type Grant interface {
	// Server returns the name of the backend server, Address its IP:port.
	Server() string
	Address() string
	// Model returns the version of the service's model that the server runs,
	// as name@version; it is empty for plain services.
	Model() string
	// Progress reports the number of tokens produced so far and the gap since
	// the previous token (zero for the first).
	Progress(tokens int, gap time.Duration)
	// Done reports the outcome and releases the grant.
	Done(Result)
}

// Scheduler places requests on backend servers. Acquire blocks in the
// organisation's queue until a backend server can run the request. It returns a
// *contract.Refusal at once if the request cannot be placed before its deadline.
type Scheduler interface {
	Acquire(ctx context.Context, request Request) (Grant, error)
}
