package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/internal/defaults"
	"github.com/papayasail/papayasail/link"
)

const (
	defaultSilence        = 5 * time.Second
	defaultDialTimeout    = time.Second
	defaultControlTimeout = 2 * time.Second
	defaultIdleTimeout    = 2 * time.Second
	defaultMaxIdle        = 4
	defaultMaxAnswerBytes = 8 << 20
	defaultAnswerMemory   = 32 << 20
	defaultMaxEventBytes  = 256 << 10
)

// ClientOptions sets the timeouts and size limits of a Client. Zero values
// take the defaults noted on each field.
type ClientOptions struct {
	// StreamReadTimeout limits the time until the response header of a stream and
	// until each further event or comment is complete: 5 s.
	StreamReadTimeout time.Duration
	DialTimeout       time.Duration // maximum time to establish a connection: 1 s
	ControlTimeout    time.Duration // total time of Cancel, Load, CacheEvents, Order and ReadState: 2 s
	// IdleTimeout is how long a connection may stay idle and still be reused:
	// 2 s. It is short, since an idle connection can stop delivering data
	// without being closed.
	IdleTimeout    time.Duration
	MaxIdle        int    // idle connections kept per server: 4
	MaxAnswerBytes int64  // body of a non-streaming response: 8 MiB
	AnswerMemory   int64  // memory for all bodies of non-streaming responses that are read at a time: 32 MiB
	MaxEventBytes  int    // one server-sent event: 256 KiB
	OrderToken     string // bearer token sent with orders; empty: none
}

func (o ClientOptions) withDefaults() ClientOptions {
	defaults.Set(&o.StreamReadTimeout, defaultSilence)
	defaults.Set(&o.DialTimeout, defaultDialTimeout)
	defaults.Set(&o.ControlTimeout, defaultControlTimeout)
	defaults.Set(&o.IdleTimeout, defaultIdleTimeout)
	defaults.Set(&o.MaxIdle, defaultMaxIdle)
	defaults.Set(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	defaults.Set(&o.AnswerMemory, defaultAnswerMemory)
	defaults.Set(&o.MaxEventBytes, defaultMaxEventBytes)
	return o
}

// Client sends requests to backend servers. Its methods are safe for
// concurrent use; every error they return is a *CallError. A call is sent at
// most once: Client never retries.
type Client struct {
	options ClientOptions
	dialer  dialer
	idle    idleConns
	answers *bytebudget.Budget // memory of bodies being read
}

// NewClient returns a client that dials through network.
func NewClient(network link.Network, options ClientOptions) *Client {
	options = options.withDefaults()
	c := &Client{
		options: options,
		dialer:  dialer{network: network, timeout: options.DialTimeout},
		idle:    newIdleConns(options.MaxIdle, options.IdleTimeout),
		answers: bytebudget.New(options.AnswerMemory),
	}
	if reporter, ok := network.(link.SilenceReporter); ok {
		reporter.OnSilent(c.idle.drop)
	}
	return c
}

// Close closes the idle connections. Calls in flight continue.
func (c *Client) Close() { c.idle.closeAll() }

// RefusesConnection reports whether a connection to a server's address is refused because
// nothing listens there, as after a crash. It returns false for a server that
// is unreachable, since that server may still be running.
func (c *Client) RefusesConnection(ctx context.Context, address string) bool {
	return link.Refused(c.dialer.dial(ctx, address))
}

// Start starts a generation on an engine and returns its stream from offset
// zero. It uses a new connection, since a generation must not be lost on an
// idle connection that no longer delivers data.
func (c *Client) Start(ctx context.Context, address string, request CompletionRequest) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &CallError{Evidence: NothingSent, Err: err}
	}
	call := outgoingRequest{method: http.MethodPost, path: PathCompletions, body: body, fresh: true}
	return c.stream(ctx, address, call, request.GenerationID, 0)
}

// Resume attaches to a generation that an engine is running or has retained,
// and returns its stream starting at offset from. The error has evidence Lost
// if the engine no longer has the generation.
func (c *Client) Resume(ctx context.Context, address, generation string, from int) (*Stream, error) {
	call := outgoingRequest{
		method: http.MethodGet,
		path:   PathGenerations + url.PathEscape(generation) + "/events",
		query:  "from=" + strconv.Itoa(from),
		fresh:  true,
	}
	stream, err := c.stream(ctx, address, call, generation, from)
	return stream, lostIfNotFound(err)
}

// Cancel cancels a generation. The error has evidence Lost if the engine does
// not have the generation.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	call := outgoingRequest{method: http.MethodPost, path: PathGenerations + url.PathEscape(generation) + "/cancel"}
	return lostIfNotFound(c.control(ctx, address, call, nil))
}

// Load requests the load report of a backend server.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.control(ctx, address, outgoingRequest{method: http.MethodGet, path: PathLoad}, &report)
	return report, err
}

// CacheEvents requests the cache events of an engine that follow sequence
// number after.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	query := "after=" + strconv.FormatUint(after, 10)
	err := c.control(ctx, address, outgoingRequest{method: http.MethodGet, path: PathCacheEvents, query: query}, &events)
	return events, err
}

// Order sends an order to an engine and returns the engine's state after it
// accepted the order. Evidence RefusedNotRun with status 409 means that the
// fencing number is stale.
func (c *Client) Order(ctx context.Context, address string, order OrderRequest) (EngineState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return EngineState{}, &CallError{Evidence: NothingSent, Err: err}
	}
	call := outgoingRequest{method: http.MethodPost, path: PathOrders, body: body, fresh: true, header: c.orderHeader()}
	var state EngineState
	err = c.control(ctx, address, call, &state)
	return state, err
}

// ReadState requests the models and the role of an engine.
func (c *Client) ReadState(ctx context.Context, address string) (EngineState, error) {
	var state EngineState
	call := outgoingRequest{method: http.MethodGet, path: PathOrders, header: c.orderHeader()}
	err := c.control(ctx, address, call, &state)
	return state, err
}

func (c *Client) orderHeader() http.Header {
	header := http.Header{}
	if c.options.OrderToken != "" {
		header.Set("Authorization", "Bearer "+c.options.OrderToken)
	}
	return header
}

// control makes a call with a small JSON response and decodes the response
// into answer unless answer is nil.
func (c *Client) control(ctx context.Context, address string, call outgoingRequest, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	response, err := c.do(ctx, address, call)
	if err != nil {
		return err
	}
	if err := refusal(response.Status, response.Header, response.Body); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body, answer); err != nil {
		return &CallError{Evidence: Mismatch, Status: response.Status, Err: errors.Wrap(err, "answer")}
	}
	return nil
}

// newRequestID returns a unique ID for one exchange.
func newRequestID() string { return uuid.NewString() }
