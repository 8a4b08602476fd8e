package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/link"
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

// Configuration returns the service documents in force and the version of the
// configuration (0: none received yet).
type Configuration interface {
	Document(service string) (*contract.Document, store.Version, bool)
	Version() store.Version
}

// Organisations authenticates callers by their bearer tokens.
type Organisations interface {
	// Authenticate returns the organisation of a token ("" if there is none)
	// and whether that organisation may use a service.
	Authenticate(token, service string) (organisation string, allowed bool)
}

// HomeRouter runs a non-idempotent request at its home, which is this or another
// entry host, and returns the answer.
type HomeRouter interface {
	Run(ctx context.Context, key record.Key, request *peerpb.ForwardRequest) record.Answer
}

// Options configure a Relay. Zero values select the defaults.
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
	KeepAlive     time.Duration // interval of keep-alive comments in a stream
	StallLimit    time.Duration // time without a chunk after which a generation is abandoned
	// Accepting reports whether this entry host accepts new work; a stopping
	// host does not.
	Accepting func() bool
	// Closing reports whether this entry host has handed over its records. It
	// can then no longer determine the outcome of an earlier request.
	Closing func() bool
	// OnLoadReport is called with each load report received in a stream.
	OnLoadReport func(address string, report backend.LoadReport)
	// OnBackend is called after each exact call, each start of a generation and
	// each first token that missed its deadline; err is nil after a success. Failed
	// resumptions and broken streams are not reported.
	OnBackend func(address string, err error)
	// Starting reports whether this entry host has not yet received the
	// complete configuration.
	//
	// Guards against wrong permanent refusals (401, 404) while the host still
	// pulls its configuration: a valid token or service may be missing from it.
	Starting func() bool
}

// Relay serves the two data routes of the caller API: generations and exact
// calls.
type Relay struct {
	Options
	homeRouter HomeRouter
	evaluators evaluators
}

// New returns a relay. SetHomeRouter must be called before it serves requests.
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
	if options.OnLoadReport == nil {
		options.OnLoadReport = func(string, backend.LoadReport) {}
	}
	if options.OnBackend == nil {
		options.OnBackend = func(string, error) {}
	}
	return &Relay{Options: options}
}

// SetHomeRouter sets the router of non-idempotent requests.
func (r *Relay) SetHomeRouter(router HomeRouter) { r.homeRouter = router }

// authenticate authenticates a request and returns its organisation and the
// document of its service.
func (r *Relay) authenticate(req *http.Request, service string) (string, *contract.Document, *contract.Refusal) {
	token := BearerToken(req)
	name, allowed := r.Organisations.Authenticate(token, service)
	if name == "" && token != "" && r.Starting() {
		return "", nil, r.refuseWithoutDocument(req, name, noConfiguration())
	}
	if name == "" {
		return "", nil, contract.NotRun(contract.ReasonUnauthorized, 0, "").WithStatus(http.StatusUnauthorized)
	}
	document, refusal := r.document(service)
	if refusal == nil && !allowed {
		// The same refusal as for a service that does not exist, so that an
		// organisation does not learn of services that it may not use. Only for a
		// request with an idempotency key may the two differ: the refusal of an
		// absent service passes through refuseWithoutDocument.
		return "", nil, unknownService()
	}
	if refusal != nil {
		refusal = r.refuseWithoutDocument(req, name, refusal)
	}
	return name, document, refusal
}

// refuseWithoutDocument returns the refusal of a request whose service document is
// not available on this host, because it has not arrived yet or was removed.
//
// Guards against a false "not run": a caller repeats a request at a host that
// has just started and has no configuration. This attempt did not run, but an
// earlier one may have run at the key's home. The outcome stays "not run" for a
// request without a key, and if this host answers for the key's home and can rule
// out an earlier run. A malformed key is refused as such.
func (r *Relay) refuseWithoutDocument(req *http.Request, organisation string, refusal *contract.Refusal) *contract.Refusal {
	if req.Header.Get(HeaderKey) == "" {
		return refusal
	}
	parsed, malformed := requestKey(req)
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

// leavingRefusal returns the refusal of new work by a stopping host.
func leavingRefusal() *contract.Refusal {
	return contract.NotRun(contract.ReasonHostLeaving, time.Second, "the entry host is stopping; ask for addresses")
}

// closingRefusal returns the refusal by a host that has handed over its records. The
// outcome is unknown because the request may have run earlier.
func closingRefusal() *contract.Refusal {
	return contract.Unknown(contract.ReasonHostLeaving, time.Second, "the entry host is stopping; repeat with the same key at another address")
}

// readBody reads a request's body of at most MaxBodyBytes.
func (r *Relay) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *contract.Refusal) {
	body, err := link.RequestAccount(req.Context()).ReadAll(http.MaxBytesReader(w, req.Body, r.MaxBodyBytes), r.MaxBodyBytes)
	if err == nil {
		return body, nil
	}
	if errors.IsAny(err, bytebudget.ErrExhausted, link.ErrEvicted) {
		return nil, FullRefusal()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, contract.NotRun(contract.ReasonBodyTooLarge, 0, "the body is over the limit").WithStatus(http.StatusRequestEntityTooLarge)
	}
	return nil, contract.NotRun(contract.ReasonBadRequest, 0, "the body could not be read").WithStatus(http.StatusBadRequest).WithCause(err)
}

// FullRefusal returns the refusal of a request for which there is no memory.
func FullRefusal() *contract.Refusal {
	return contract.NotRun(contract.ReasonOverloaded, time.Second, "the entry host has no memory for more requests")
}

// requestKey parses the idempotency key of a request that may run at most once.
func requestKey(req *http.Request) (record.Key, *contract.Refusal) {
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

// asRefusal returns the refusal in err's chain. Any other error becomes a
// refusal with an unknown outcome.
func asRefusal(err error) *contract.Refusal {
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.Unknown(contract.ReasonBackendFailed, time.Second, "the backend server failed").WithCause(err)
}
