package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/link"
)

// Client is the Store behind the platform's HTTP interface. It counts each
// call and keeps to its host's budget.
type Client struct {
	*Limited
	http *httpStore
}

// ClientOptions holds what a Client may be told; zero values have defaults.
type ClientOptions struct {
	Budget Budget
	// Timeout bounds a call, without the wait of a watch. Default 5 s.
	Timeout time.Duration
	// WatchTimeout bounds a waiting watch; it has to be longer than the
	// server's limit. Default 60 s.
	WatchTimeout time.Duration
}

const (
	defaultTimeout      = 5 * time.Second
	defaultWatchTimeout = time.Minute
	// maxAnswerBytes bounds an answer that is read into memory.
	maxAnswerBytes = 256 << 20
	maxIdleConns   = 4
	idleTimeout    = 90 * time.Second
)

// NewClient returns a client of the object API at address, an IP:port.
func NewClient(network link.Network, address string, options ClientOptions) *Client {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	if options.WatchTimeout <= 0 {
		options.WatchTimeout = defaultWatchTimeout
	}
	store := &httpStore{address: address, options: options, client: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}}}
	return &Client{Limited: NewLimited(store, options.Budget), http: store}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.client.CloseIdleConnections() }

// httpStore speaks the object API over HTTP.
type httpStore struct {
	address string
	options ClientOptions
	client  *http.Client
}

func (s *httpStore) Get(ctx context.Context, kind, name string) (Object, error) {
	answer, err := s.do(ctx, s.options.Timeout, http.MethodGet, ObjectPath(kind, name), nil, nil)
	if err != nil {
		return Object{}, err
	}
	if answer.status == http.StatusNotFound {
		return Object{}, ErrNoObject
	}
	version, ok := ParseETag(answer.header.Get("ETag"))
	if answer.status != http.StatusOK || !ok {
		return Object{}, answer.unexpected()
	}
	return Object{Kind: kind, Name: name, Version: version, Value: answer.body}, nil
}

func (s *httpStore) Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Newf("platform: value of %d bytes is over the limit of %d", len(value), MaxValueBytes)
	}
	header := http.Header{}
	if expect == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", ETag(expect))
	}
	answer, err := s.do(ctx, s.options.Timeout, http.MethodPut, ObjectPath(kind, name), header, value)
	if err != nil {
		return 0, err
	}
	version, ok := ParseETag(answer.header.Get("ETag"))
	switch {
	case answer.status == http.StatusPreconditionFailed:
		return 0, &VersionError{Current: version}
	case answer.status/100 == 2 && ok:
		return version, nil
	case answer.status/100 == 4:
		return 0, answer.unexpected()
	}
	// Any other answer, such as a gateway's 502, does not say whether the
	// write took effect. Only a read settles it.
	return 0, errors.Mark(answer.unexpected(), ErrOutcomeUnknown)
}

func (s *httpStore) List(ctx context.Context, kind string) ([]Object, Version, error) {
	answer, err := s.do(ctx, s.options.Timeout, http.MethodGet, ObjectPath(kind, ""), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	return answer.objects(kind)
}

func (s *httpStore) Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	path := ObjectPath(kind, "") + "?" + ParamAfter + "=" + strconv.FormatUint(uint64(after), 10)
	answer, err := s.do(ctx, s.options.WatchTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	if answer.status == http.StatusGone {
		return nil, 0, ErrCompacted
	}
	return answer.objects(kind)
}

// httpAnswer is a whole answer.
type httpAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *httpAnswer) unexpected() error {
	const shown = 200
	return errors.Newf("platform: unexpected answer %d: %s", a.status, a.body[:min(len(a.body), shown)])
}

func (a *httpAnswer) objects(kind string) ([]Object, Version, error) {
	if a.status != http.StatusOK {
		return nil, 0, a.unexpected()
	}
	var list ObjectList
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, 0, errors.Wrap(err, "platform: list answer")
	}
	objects := make([]Object, len(list.Objects))
	for i, o := range list.Objects {
		objects[i] = Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
	}
	return objects, list.Revision, nil
}

// do sends one request and reads its whole answer. Its errors say what is
// known of a write: ErrUnavailable, it did not happen; ErrOutcomeUnknown, it
// may have. A 503 is the API's word that it took no request.
func (s *httpStore) do(ctx context.Context, timeout time.Duration, method, path string, header http.Header, body []byte) (*httpAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "platform: request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	answer, err := s.roundTrip(request)
	if err != nil {
		return nil, markOutcome(err, method, connected.Load())
	}
	if answer.status == http.StatusServiceUnavailable {
		return nil, errors.Mark(answer.unexpected(), ErrUnavailable)
	}
	return answer, nil
}

func (s *httpStore) roundTrip(request *http.Request) (*httpAnswer, error) {
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return &httpAnswer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// markOutcome says what a failed exchange leaves known. Without a connection
// no byte of the request left this host; with one, a write may have taken
// effect although its answer was lost.
func markOutcome(err error, method string, connected bool) error {
	err = errors.Wrap(err, "platform")
	if connected && method == http.MethodPut {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	return errors.Mark(err, ErrUnavailable)
}
