// Package operatorclient provides clients of the operator API of an entry host,
// based on the generated client.
package operatorclient

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"

	operatorhttp "github.com/papayasail/papayasail/gen/http/operator/client"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/link"
)

// ErrUnauthorized means that the entry host does not accept the token.
var ErrUnauthorized = errors.New("the token is not accepted")

// New returns a client for one entry host, given as IP:port or URL. Each request
// uses a new connection. tlsConfig is used for https; nil: the default
// configuration with the system's root certificates.
func New(host string, network link.Network, tlsConfig *tls.Config) *operator.Client {
	scheme := "http"
	if parsed, err := url.Parse(host); err == nil && parsed.Host != "" {
		scheme, host = parsed.Scheme, parsed.Host
	}
	c := operatorhttp.NewClient(scheme, host, newDoer(network, tlsConfig), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(c.Put(), c.Get(), c.List(), c.History(), c.Settle(), c.Audit(), c.Status(), c.Drain(), c.Evacuate(),
		c.PutOrganisation(), c.RemoveOrganisation(), c.SettleOrganisation(), c.ListOrganisations())
}

// maxProblemBytes is the maximum size of a problem document.
const maxProblemBytes = 4 << 20

// doer sends requests and decodes all error responses itself. The generated code
// handles only the statuses in the design, but an entry host may return others,
// such as 400 for a request that could not be decoded.
type doer struct{ client *http.Client }

func newDoer(network link.Network, tlsConfig *tls.Config) doer {
	return doer{&http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		DisableKeepAlives: true,
		TLSClientConfig:   tlsConfig,
	}}}
}

// Do implements goahttp.Doer.
func (d doer) Do(request *http.Request) (*http.Response, error) {
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	return nil, refusalOf(response)
}

// refusalOf decodes an error response as ErrUnauthorized or an *operator.Problem.
// A response without a valid problem document gives another error.
func refusalOf(response *http.Response) error {
	if response.StatusCode == http.StatusUnauthorized {
		return ErrUnauthorized
	}
	var body operatorhttp.PutConflictResponseBody // all problem documents have the same fields
	err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&body)
	body.Name = cmp.Or(body.Name, body.Reason)
	body.Status = &response.StatusCode
	if err == nil {
		err = operatorhttp.ValidatePutConflictResponseBody(&body)
	}
	if err != nil {
		return errors.Newf("answer without a reason: %s", response.Status)
	}
	return operatorhttp.NewPutConflict(&body)
}

// Answered reports whether the error is a valid refusal by an entry host, so that
// there is no point in trying another host. An error response without a valid
// problem document is not one, except with status 401.
func Answered(err error) bool {
	var problem *operator.Problem
	return errors.As(err, &problem) || errors.Is(err, ErrUnauthorized)
}
