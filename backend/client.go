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
	defaultMaxEventBytes  = 256 << 10
)

// ClientOptions bounds what a Client waits for and holds. Zero values take
// the defaults given.
type ClientOptions struct {
	Silence        time.Duration // longest silence on a stream: 5 s
	DialTimeout    time.Duration // longest wait for a connection: 1 s
	ControlTimeout time.Duration // whole Cancel, Load, CacheEvents, Order, State: 2 s
	// IdleTimeout is how long a connection may lie unused and still be used
	// again: 2 s. It is short, since a connection can go silent while unused.
	IdleTimeout    time.Duration
	MaxIdle        int    // unused connections kept, a server: 4
	MaxAnswerBytes int64  // body of an answer that is not a stream: 8 MiB
	MaxEventBytes  int    // one event of a stream: 256 KiB
	OrderToken     string // bearer token sent with orders; empty: none
}

func (o ClientOptions) withDefaults() ClientOptions {
	defaults.Set(&o.Silence, defaultSilence)
	defaults.Set(&o.DialTimeout, defaultDialTimeout)
	defaults.Set(&o.ControlTimeout, defaultControlTimeout)
	defaults.Set(&o.IdleTimeout, defaultIdleTimeout)
	defaults.Set(&o.MaxIdle, defaultMaxIdle)
	defaults.Set(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	defaults.Set(&o.MaxEventBytes, defaultMaxEventBytes)
	return o
}

// Client speaks with backend servers. Its methods may be called from any
// goroutine; every error they return is a *CallError. A call is sent at most
// once: Client never repeats one.
type Client struct {
	options ClientOptions
	dialer  dialer
	idle    idleConns
}

// NewClient returns a client that dials through network.
func NewClient(network link.Network, options ClientOptions) *Client {
	options = options.withDefaults()
	return &Client{
		options: options,
		dialer:  dialer{network: network, timeout: options.DialTimeout},
		idle:    newIdleConns(options.MaxIdle, options.IdleTimeout),
	}
}

// Close closes the unused connections. Calls that run go on.
func (c *Client) Close() { c.idle.closeAll() }

// Ended reports whether nothing listens at a server's address any more, as
// after a crash. One that cannot be reached has not ended, as far as is known.
func (c *Client) Ended(ctx context.Context, address string) bool {
	return link.Refused(c.dialer.dial(ctx, address))
}

// Start starts a generation on an engine and returns its stream from offset
// zero. It sends over a fresh connection, since a generation must not be lost
// to a connection that went silent while unused.
func (c *Client) Start(ctx context.Context, address string, request CompletionRequest) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &CallError{Evidence: NothingSent, Err: err}
	}
	call := outgoing{method: http.MethodPost, path: PathCompletions, body: body, fresh: true}
	return c.stream(ctx, address, call, request.GenerationID, 0)
}

// Resume attaches to a generation that an engine runs or keeps and returns
// its stream from offset from. Evidence Lost: the engine has it no longer.
func (c *Client) Resume(ctx context.Context, address, generation string, from int) (*Stream, error) {
	call := outgoing{
		method: http.MethodGet,
		path:   PathGenerations + url.PathEscape(generation) + "/events",
		query:  "from=" + strconv.Itoa(from),
		fresh:  true,
	}
	stream, err := c.stream(ctx, address, call, generation, from)
	return stream, lostIfNotFound(err)
}

// Cancel ends a generation. A generation that the engine does not have is
// evidence Lost.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	call := outgoing{method: http.MethodPost, path: PathGenerations + url.PathEscape(generation) + "/cancel"}
	return lostIfNotFound(c.control(ctx, address, call, nil))
}

// Load asks a backend server how loaded it is.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.control(ctx, address, outgoing{method: http.MethodGet, path: PathLoad}, &report)
	return report, err
}

// CacheEvents asks an engine for its cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	query := "after=" + strconv.FormatUint(after, 10)
	err := c.control(ctx, address, outgoing{method: http.MethodGet, path: PathCacheEvents, query: query}, &events)
	return events, err
}

// Order gives an order to an engine and returns its state after taking it.
// Evidence RefusedNotRun with status 409: the fencing number is an old one.
func (c *Client) Order(ctx context.Context, address string, order OrderRequest) (EngineState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return EngineState{}, &CallError{Evidence: NothingSent, Err: err}
	}
	call := outgoing{method: http.MethodPost, path: PathOrders, body: body, fresh: true, header: c.orderHeader()}
	var state EngineState
	err = c.control(ctx, address, call, &state)
	return state, err
}

// State asks an engine what it has loaded.
func (c *Client) State(ctx context.Context, address string) (EngineState, error) {
	var state EngineState
	call := outgoing{method: http.MethodGet, path: PathOrders, header: c.orderHeader()}
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

// control makes a call with a small JSON answer and decodes it into answer
// unless that is nil.
func (c *Client) control(ctx context.Context, address string, call outgoing, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	whole, err := c.whole(ctx, address, call)
	if err != nil {
		return err
	}
	if err := refusal(whole.Status, whole.Header, whole.Body); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(whole.Body, answer); err != nil {
		return &CallError{Evidence: Mismatch, Status: whole.Status, Err: errors.Wrap(err, "answer")}
	}
	return nil
}

// newRequestID returns an id for one exchange.
func newRequestID() string { return uuid.NewString() }
