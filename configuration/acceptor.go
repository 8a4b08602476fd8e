package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/store"
)

// Outcome is the outcome of a change.
type Outcome string

const (
	Accepted    Outcome = "accepted"
	NotAccepted Outcome = "not_accepted" // nothing was put in force; final for this change id if there is no error
	Unknown     Outcome = "unknown"      // Settle resolves it later
)

// Change is a request to put a service document in force.
type Change struct {
	Service  string
	Document []byte        // YAML
	Expect   store.Version // version to replace; 0: the service must be new
	ChangeID string        // idempotency key: retries with the same id are one change
	Who      string
}

// Result is the result of a change.
type Result struct {
	Outcome Outcome
	// Version is the version that an accepted change made; otherwise the
	// current version, zero if it is not known. After a change to an
	// organisation, the current version is the organisation's if Expect did not
	// match, and that of its whole shard in all other cases.
	Version store.Version
	// Winner is the change that made the current version, if a conditional
	// write failed because of it.
	Winner *audit.Entry
	Detail string // for operators; may be empty
}

var (
	// ErrChangeIDReused means that the id was already used for another change.
	ErrChangeIDReused = errors.New("configuration: change id names another change")
	// ErrNoChangeID means that a change carries no id.
	ErrNoChangeID = errors.New("configuration: change id required")
	// ErrWrongService means that a document names a service other than the one
	// it is submitted for.
	ErrWrongService = errors.New("configuration: document names another service")
	// ErrNoFailureDomain means that an evacuation names no failure domain.
	ErrNoFailureDomain = errors.New("configuration: failure domain required")
)

// Acceptor accepts configuration changes. A change is accepted when its
// conditional write to the platform's store has taken effect. It is safe for
// concurrent use once its fields are set.
type Acceptor struct {
	store store.Store
	parse Parser
	// SettleTimeout bounds how long a change is retried and its outcome settled
	// while the store fails. It must be set before first use.
	SettleTimeout time.Duration
	// OnObject is called with each object that was read or written; nil: no call.
	// It puts this host's own writes in force on this host.
	//
	// Failure: the store becomes unavailable right after a write. If the host
	// waited for its watch, neither it nor its peers would learn of the change,
	// although the operator was told that it was accepted.
	OnObject func(store.Object)
	// CheckConflict returns an error if an organisation must not be put in force
	// because another one has its name or one of its tokens; nil: no check.
	CheckConflict func(Organisation) error
}

const (
	defaultSettleTimeout = 10 * time.Second
	maxTrail             = 1000 // entries that Trail returns
)

// NewAcceptor returns an Acceptor that validates documents with parse.
func NewAcceptor(store store.Store, parse Parser) *Acceptor {
	return &Acceptor{store: store, parse: parse, SettleTimeout: defaultSettleTimeout}
}

// Put puts a document in force if the service's version is the expected one.
// The outcome Unknown is returned without an error: call Settle, or Put again
// with the same change id. Errors: those of the parser, ErrWrongService,
// ErrNoChangeID, ErrChangeIDReused, store.ErrUnavailable; all mean NotAccepted.
func (a *Acceptor) Put(ctx context.Context, change Change) (Result, error) {
	document, err := a.parse(change.Service, change.Document)
	if err != nil {
		return Result{Outcome: NotAccepted}, err
	}
	if document.Service != change.Service {
		return Result{Outcome: NotAccepted}, ErrWrongService
	}
	return a.write(ctx, &edit{
		objectName: ServiceName(change.Service),
		what:       audit.WhatDocument,
		name:       change.Service,
		changeID:   change.ChangeID,
		who:        change.Who,
		expect:     &change.Expect,
		apply:      func(e *Envelope) { e.Document = string(change.Document) },
	})
}

// Drain marks the backend server at address, an IP:port, as drained; if end is
// set, it ends the drain. There is no expected version: the last call wins. It
// returns the errors of Put, and an error for a malformed address.
func (a *Acceptor) Drain(ctx context.Context, address string, end bool, changeID, who string) (Result, error) {
	if err := checkAddress(address); err != nil {
		return Result{Outcome: NotAccepted}, err
	}
	return a.write(ctx, drainEdit(audit.WhatDrain, DrainName(address), address, end, changeID, who))
}

// Evacuate keeps new work from all backend servers of a failure domain; if end
// is set, it ends the evacuation. There is no expected version: the last call
// wins. It returns ErrNoFailureDomain and the errors of Put.
func (a *Acceptor) Evacuate(ctx context.Context, domain string, end bool, changeID, who string) (Result, error) {
	if domain == "" {
		return Result{Outcome: NotAccepted}, ErrNoFailureDomain
	}
	return a.write(ctx, drainEdit(audit.WhatEvacuation, EvacuationName(domain), domain, end, changeID, who))
}

func drainEdit(what audit.What, stored, name string, end bool, changeID, who string) *edit {
	detail := "start"
	if end {
		detail = "end"
	}
	return &edit{
		objectName: stored, what: what, name: name, changeID: changeID, who: who, detail: detail,
		apply: func(e *Envelope) { e.Drained = !end },
	}
}

// Settle determines whether a change to a service was accepted. A change that
// is not found may still be in flight to the store. Settle therefore first
// ensures that it can no longer take effect: it writes a history entry for the
// change id, so that the object's version is no longer the one that the late
// write expects. The outcome is Unknown with an error if the store is unavailable
// or the stored object is malformed. It is Unknown without an error if the change
// may be older than the oldest history entry, or if the outcome of Settle's own
// write is not known.
func (a *Acceptor) Settle(ctx context.Context, service, changeID string) (Result, error) {
	return a.settle(ctx, &edit{objectName: ServiceName(service), name: service, changeID: changeID})
}

// settle records that the edit's change was not accepted, unless it was.
func (a *Acceptor) settle(ctx context.Context, e *edit) (Result, error) {
	e.what, e.detail, e.apply = audit.WhatSettled, "found not accepted", func(*Envelope) {}
	result, err := a.write(ctx, e)
	if result.Outcome == NotAccepted && err != nil {
		result.Outcome = Unknown // NotAccepted concerns only the entry that settle writes
	}
	return result, err
}

// History returns the changes of a service, newest first. Errors:
// store.ErrNoObject, store.ErrUnavailable.
func (a *Acceptor) History(ctx context.Context, service string) ([]audit.Entry, error) {
	object, err := a.store.Get(ctx, Kind, ServiceName(service))
	if err != nil {
		return nil, err
	}
	envelope, err := ParseEnvelope(object.Value)
	if err != nil {
		return nil, err
	}
	return envelope.History.At(object.Version), nil
}

// Trail returns the newest history entries of all configuration objects and
// orders, newest first, maxTrail at most. Errors: store.ErrUnavailable.
func (a *Acceptor) Trail(ctx context.Context) ([]audit.Entry, error) {
	var entries []audit.Entry
	for _, kind := range []string{Kind, audit.OrderKind} {
		objects, _, err := a.store.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		for _, object := range objects {
			envelope, err := ParseEnvelope(object.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "%s", object.Name)
			}
			entries = append(entries, envelope.History.At(object.Version)...)
		}
	}
	audit.SortNewestFirst(entries)
	return entries[:min(len(entries), maxTrail)], nil
}
