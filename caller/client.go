// Package caller is the client library of papayasail. It chooses among the entry
// hosts, resumes broken streams at another entry host, and retries a request only
// if that cannot run it twice.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/link"
)

// Defaults of Config.
const (
	DefaultSilence     = 5 * time.Second
	DefaultAttempt     = 15 * time.Second
	DefaultMaxAttempts = 8
)

const dialTimeout = 2 * time.Second

// Config configures a Client. Seeds is required; other zero values select the
// defaults.
type Config struct {
	// Seeds are the entry hosts for the first address lookup, as IP:port or URL.
	Seeds []string
	// Token is the bearer token of the organisation.
	Token string
	// FailureDomain is the failure domain nearest to the caller; empty: unknown.
	FailureDomain string
	// Network opens connections; nil: TCP.
	Network link.Network
	// TLS is used for https addresses; nil: the system's root certificates.
	TLS *tls.Config
	// Silence is the time without a complete line on a stream, keep-alives
	// included, after which its connection counts as dead.
	Silence time.Duration
	// Attempt is the timeout of one attempt of an exact call, of one address
	// lookup, and of the response header of a stream.
	Attempt time.Duration
	// MaxAttempts bounds the consecutive failed attempts and address lookups
	// without progress.
	MaxAttempts int
}

// Client sends requests to the entry hosts. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
	book   *addressBook
}

// New returns a client, which connects on first use. It returns an error if
// config has no seeds.
func New(config Config) (*Client, error) {
	if len(config.Seeds) == 0 {
		return nil, errors.New("caller: no entry host to begin with")
	}
	config = withDefaults(config)
	c := &Client{config: config, http: &http.Client{Transport: transport(config)}}
	c.book = newAddressBook(c.fetchAddresses, config.Seeds)
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func withDefaults(config Config) Config {
	if config.Network == nil {
		config.Network = link.TCP{}
	}
	if config.Silence == 0 {
		config.Silence = DefaultSilence
	}
	if config.Attempt == 0 {
		config.Attempt = DefaultAttempt
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = DefaultMaxAttempts
	}
	return config
}

func transport(config Config) *http.Transport {
	const idlePerHost = 64
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// A host that has disappeared does not answer connection attempts
			// at all; without a timeout the request would wait forever.
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return config.Network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: config.Attempt,
		DisableCompression:    true,
		// HTTP/1.1 only: over HTTP/2 all streams to a host would share one
		// connection, and a stalled connection would freeze all of them.
		TLSClientConfig: config.TLS,
	}
}

// newRequest builds a request with the bearer token.
func (c *Client) newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bodyReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "caller")
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	return request, nil
}
