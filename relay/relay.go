package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/record"
	"github.com/papayasail/papayasail/routing"
	"github.com/papayasail/papayasail/store"
)

// Headers of the caller API.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderLastEventID = "Last-Event-ID"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes = 4 << 20
	DefaultWriteTimeout = 10 * time.Second
	DefaultKeepAlive    = 5 * time.Second
	DefaultStallLimit   = 60 * time.Second
)

// Configuration gives the service documents in force.
type Configuration interface {
	Document(service string) (*contract.Document, store.Version, bool)
	Version() store.Version
}

// Organisations knows callers by their bearer tokens.
type Organisations interface {
	// Authenticate returns the organisation that a token belongs to ("" if
	// none) and whether it may use a service.
	Authenticate(token, service string) (organisation string, allowed bool)
}

// Homes runs a non-idempotent request at its home, here or at another entry
// host, and returns what became of it.
type Homes interface {
	Run(ctx context.Context, key record.Key, request *peerpb.ForwardRequest) record.Answer
}

// Options of a Relay. Zero values mean the defaults.
type Options struct {
	Configuration Configuration
	Scheduler     routing.Scheduler
	Backend       *backend.Client
	Organisations Organisations
	Signer        *Signer
	Ledger        *record.Ledger
	Quarantine    *quarantine.Table // nil: no request is quarantined
	Metrics       *Metrics
	MaxBodyBytes  int64         // of a caller's request
	WriteTimeout  time.Duration // for one write to a caller
	KeepAlive     time.Duration // silence after which a stream gets a comment
	StallLimit    time.Duration // silence of a generation after which it is given up
	// Accepting reports whether this entry host takes new work; a stopping
	// one does not.
	Accepting func() bool
	// Closing reports whether this entry host has handed over its records: it
	// cannot even tell any more what became of a request.
	Closing func() bool
	// OnLoad is told of load reports that came with a stream.
	OnLoad func(address string, report backend.LoadReport)
	// OnBackend is told how each exchange with a backend server went; err is
	// nil after a success.
	OnBackend func(address string, err error)
	// Starting reports whether this entry host has not had all of the
	// configuration yet.
	//
	// Guards against a host that answers while it still pulls: a token or
	// service that it does not know yet would be refused for good (401, 404).
	Starting func() bool
}

// Relay serves the two data routes of the caller API.
type Relay struct {
	Options
	homes      Homes
	evaluators evaluators
}

// New returns a relay. SetHomes has to be called before it serves.
func New(options Options) *Relay {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.WriteTimeout <= 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	if options.KeepAlive <= 0 {
		options.KeepAlive = DefaultKeepAlive
	}
	if options.StallLimit <= 0 {
		options.StallLimit = DefaultStallLimit
	}
	if options.Accepting == nil {
		options.Accepting = func() bool { return true }
	}
	if options.Closing == nil {
		options.Closing = func() bool { return false }
	}
	if options.Starting == nil {
		options.Starting = func() bool { return false }
	}
	if options.OnLoad == nil {
		options.OnLoad = func(string, backend.LoadReport) {}
	}
	if options.OnBackend == nil {
		options.OnBackend = func(string, error) {}
	}
	return &Relay{Options: options}
}

// SetHomes says who runs non-idempotent requests.
func (r *Relay) SetHomes(homes Homes) { r.homes = homes }

// caller authenticates a request and finds its service's document.
func (r *Relay) caller(req *http.Request, service string) (string, *contract.Document, *contract.Refusal) {
	token := BearerToken(req)
	name, allowed := r.Organisations.Authenticate(token, service)
	if name == "" && token != "" && r.Starting() {
		return "", nil, r.withoutDocument(req, name, noConfiguration())
	}
	if name == "" {
		return "", nil, contract.NotRun(contract.ReasonUnauthorized, 0, "").WithStatus(http.StatusUnauthorized)
	}
	document, refusal := r.document(service)
	if refusal == nil && !allowed {
		// The same answer as for a service that does not exist: an
		// organisation learns nothing of services that are not its own.
		return "", nil, unknownService()
	}
	if refusal != nil {
		refusal = r.withoutDocument(req, name, refusal)
	}
	return name, document, refusal
}

// withoutDocument refuses a request for a service that this host does not
// know (yet, or any more).
//
// Guards against a false "not run": a desk repeats a letter at a host that has
// just started and has no configuration. This send did not run, but the letter
// may have, at its home. Only the home, where there is no record, can tell.
func (r *Relay) withoutDocument(req *http.Request, organisation string, refusal *contract.Refusal) *contract.Refusal {
	if req.Header.Get(HeaderKey) == "" {
		return refusal
	}
	parsed, malformed := key(req)
	if malformed != nil {
		return malformed
	}
	if r.Ledger.NeverRan(organisation, parsed) {
		return refusal
	}
	unknown := *refusal
	unknown.Outcome, unknown.RetryAfter = contract.OutcomeUnknown, defaultRetryAfter
	return &unknown
}

func (r *Relay) document(service string) (*contract.Document, *contract.Refusal) {
	document, _, ok := r.Configuration.Document(service)
	if ok {
		return document, nil
	}
	if r.Configuration.Version() == 0 || r.Starting() {
		return nil, noConfiguration()
	}
	return nil, unknownService()
}

func noConfiguration() *contract.Refusal {
	return contract.NotRun(contract.ReasonNoConfiguration, time.Second, "this entry host has no configuration yet")
}

func unknownService() *contract.Refusal {
	return contract.NotRun(contract.ReasonUnknownService, 0, "no such service").WithStatus(http.StatusNotFound)
}

// BearerToken returns the token of an Authorization header, or "".
func BearerToken(req *http.Request) string {
	scheme, token, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// leaving refuses new work at a stopping host.
func leaving() *contract.Refusal {
	return contract.NotRun(contract.ReasonHostLeaving, time.Second, "the entry host is stopping; ask for addresses")
}

// closing answers requests that may have run before, at a host that has
// handed over its records.
func closing() *contract.Refusal {
	return contract.Unknown(contract.ReasonHostLeaving, time.Second, "the entry host is stopping; repeat with the same key at another address")
}

// readBody reads a request's body up to the bound.
func (r *Relay) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *contract.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, r.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, contract.NotRun(contract.ReasonBodyTooLarge, 0, "the body is over the limit").WithStatus(http.StatusRequestEntityTooLarge)
	}
	return nil, contract.NotRun(contract.ReasonBadRequest, 0, "the body could not be read").WithStatus(http.StatusBadRequest).WithCause(err)
}

// key reads the key of a request that may run at most once.
func key(req *http.Request) (record.Key, *contract.Refusal) {
	value := req.Header.Get(HeaderKey)
	if value == "" {
		return record.Key{}, contract.NotRun(contract.ReasonKeyRequired, 0,
			"this request is not idempotent: ask /v1/addresses for a home and send Idempotency-Key: HOME.UNIQUE").WithStatus(http.StatusBadRequest)
	}
	parsed, err := record.ParseKey(value)
	if err != nil {
		return record.Key{}, contract.NotRun(contract.ReasonKeyInvalid, 0, err.Error()).WithStatus(http.StatusBadRequest)
	}
	return parsed, nil
}

// asRefusal turns any error into the refusal that ends a request.
func asRefusal(err error) *contract.Refusal {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.Unknown(contract.ReasonBackendFailed, time.Second, "the backend server failed").WithCause(err)
}
