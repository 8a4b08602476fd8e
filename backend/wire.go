// Package backend contains the client for the backend servers of a service and
// the pool that tracks their load, failures and leaving state.
package backend

// Paths of the engine interface; docs/ENGINE.md describes them.
const (
	PathCompletions = "/v1/completions"          // POST: start a generation; the response is a stream of server-sent events
	PathGenerations = "/v1/generations/"         // GET {id}/events?from=N: resume; POST {id}/cancel
	PathLoad        = "/v1/load"                 // GET: LoadReport
	PathCacheEvents = "/v1/cache_events"         // GET ?after=N: CacheEvents
	PathOrders      = "/v1/orders"               // POST: OrderRequest; GET: EngineState
	HeaderRequestID = "X-Request-Id"             // echoed by every backend server
	HeaderNotRun    = "X-Not-Run"                // "true" on a refusal of a request that did not run
	HeaderKey       = "Idempotency-Key"          // sent to plain services
	DoneMarker      = "[DONE]"                   // data of the last event of a completion stream
	ContentTypeSSE  = "text/event-stream"        // of completion streams
	ContentTypeJSON = "application/json"         // of every other engine response
	ProblemJSON     = "application/problem+json" // RFC 9457
)

// CompletionRequest is the request that starts a generation on an engine. Field
// names follow the common completions API; the last three are extensions.
type CompletionRequest struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"` // tokens; 0: the engine's limit
	Stream       bool   `json:"stream"`
	GenerationID string `json:"generation_id"`
	Priority     int    `json:"priority"` // higher is served first and preempted last
	// StopAfter makes the simulated engine end the generation after this many
	// tokens; real engines ignore it. Zero: drawn from the engine's own
	// distribution.
	StopAfter int `json:"x_stop_after,omitempty"`
}

// CompletionChunk is the data of one event of a completion stream.
type CompletionChunk struct {
	ID      string   `json:"id"`    // generation ID
	Index   int      `json:"index"` // offset of the token in its generation, from 0
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"` // in the last chunk
	// Preempted is the number of times this generation has been preempted so far.
	Preempted int `json:"x_preempted,omitempty"`
	// Load is the engine's load report. Engines that support it send it in some
	// chunks.
	Load *LoadReport `json:"x_load,omitempty"`
}

// Choice carries one token, or the reason why the generation ended.
type Choice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length", "cancelled"; empty if more chunks follow
}

// Usage is the number of tokens of a generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// LoadReport is the load that an engine or plain service reports about itself.
// It lags behind the actual load.
type LoadReport struct {
	Sequence      uint64   `json:"sequence"`
	Running       int      `json:"running"`                   // generations in the batch
	Waiting       int      `json:"waiting"`                   // generations queued in the engine
	TokensHeld    int      `json:"tokens_held"`               // tokens in memory, prompt and generated
	TokenCapacity int      `json:"token_capacity"`            // maximum tokens in memory
	Preemptions   uint64   `json:"preemptions"`               // since start
	Leaving       bool     `json:"leaving"`                   // accepts no new work
	LeaveInMillis int64    `json:"leave_in_millis,omitempty"` // milliseconds until the server stops; 0: not known
	Models        []string `json:"models"`                    // loaded, as name@version
}

// CacheEvent reports that a prompt prefix was added to or evicted from an
// engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // gaps mean lost events
	Prefix   uint64 `json:"prefix"`   // hash of the prefix
	Tokens   int    `json:"tokens"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the action that an order requests from an engine.
type OrderKind string

const (
	OrderLoad   OrderKind = "load"   // load a model, adapter or version
	OrderUnload OrderKind = "unload" // unload it
	OrderRole   OrderKind = "role"   // change the role
)

// OrderRequest is an order to an engine.
type OrderRequest struct {
	OrderID string    `json:"order_id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"` // name@version
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"` // fencing number of the lease under which the order is sent
}

// EngineState contains the loaded models, the role and the last order of an
// engine.
type EngineState struct {
	Models    []string `json:"models"`
	Role      string   `json:"role"`
	LastOrder string   `json:"last_order"` // ID of the last order that took effect
	LastFence uint64   `json:"last_fence"` // highest fencing number seen
}
