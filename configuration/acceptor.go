package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/store"
)

// Outcome says what became of a change.
type Outcome string

const (
	Accepted    Outcome = "accepted"
	NotAccepted Outcome = "not_accepted" // and never will be, under this change id
	Unknown     Outcome = "unknown"      // Settle tells later
)

// Change asks for a service document to be put in force.
type Change struct {
	Service  string
	Document []byte        // YAML
	Expect   store.Version // 0: the service must be new
	ChangeID string        // repeats with the same id are one change
	Who      string
}

// Result is the answer to a change.
type Result struct {
	Outcome Outcome
	// Version is the one that the change made if it was accepted, else the
	// current one as far as it is known.
	Version store.Version
	// Winner is the change that made the current version, when a conditional
	// write lost to it.
	Winner *audit.Entry
	Detail string // for operators; may be empty
}

var (
	// ErrChangeIDReused means that the id already names another change.
	ErrChangeIDReused = errors.New("configuration: change id names another change")
	// ErrNoChangeID means that a change carries no id.
	ErrNoChangeID = errors.New("configuration: change id required")
	// ErrWrongService means that a document names another service than the
	// one that it is put in force for.
	ErrWrongService = errors.New("configuration: document names another service")
	// ErrNoFailureDomain means that an evacuation names no failure domain.
	ErrNoFailureDomain = errors.New("configuration: failure domain required")
)

// Acceptor takes changes: accepted means that the conditional write to the
// platform's store took effect.
type Acceptor struct {
	store store.Store
	parse Parser
	// SettleFor bounds how long a change is tried and its outcome settled
	// while the store fails. Set before first use.
	SettleFor time.Duration
	// Seen is told of each object that was read or written; nil: nobody. The
	// accepting host takes its own write into force by it.
	//
	// Guards against a store that goes away right after it took the write: a
	// host that waits for its watch would not hear of the change, and neither
	// would its peers, although the operator was told "accepted".
	Seen func(store.Object)
	// Clash tells whether an organisation may not be put in force because its
	// name or one of its tokens is another one's; nil: nobody is asked.
	Clash func(Organisation) error
}

const (
	defaultSettleFor = 10 * time.Second
	maxTrail         = 1000 // entries
)

// NewAcceptor returns an Acceptor that checks documents with parse.
func NewAcceptor(store store.Store, parse Parser) *Acceptor {
	return &Acceptor{store: store, parse: parse, SettleFor: defaultSettleFor}
}

// Put puts a document in force if the service's version is the expected one.
// Unknown comes without an error: call Settle, or Put again with the same
// change id. Errors: those of the parser, ErrWrongService, ErrNoChangeID,
// ErrChangeIDReused, store.ErrUnavailable; all mean NotAccepted.
func (a *Acceptor) Put(ctx context.Context, change Change) (Result, error) {
	document, err := a.parse(change.Service, change.Document)
	if err != nil {
		return Result{Outcome: NotAccepted}, err
	}
	if document.Service != change.Service {
		return Result{Outcome: NotAccepted}, ErrWrongService
	}
	return a.write(ctx, &edit{
		stored:   ServiceName(change.Service),
		what:     audit.WhatDocument,
		name:     change.Service,
		changeID: change.ChangeID,
		who:      change.Who,
		expect:   &change.Expect,
		apply:    func(e *Envelope) { e.Document = string(change.Document) },
	})
}

// Drain marks the backend server at address, an IP:port, as drained, or ends
// that. It has no expected version: the last drain or end wins. Errors as Put.
func (a *Acceptor) Drain(ctx context.Context, address string, end bool, changeID, who string) (Result, error) {
	if err := checkAddress(address); err != nil {
		return Result{Outcome: NotAccepted}, err
	}
	return a.write(ctx, drainEdit(audit.WhatDrain, DrainName(address), address, end, changeID, who))
}

// Evacuate keeps new work from all backend servers of a failure domain, or ends
// that. It has no expected version: the last one wins. Errors:
// ErrNoFailureDomain, and as Put.
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
		stored: stored, what: what, name: name, changeID: changeID, who: who, detail: detail,
		apply: func(e *Envelope) { e.Drained = !end },
	}
}

// Settle tells whether a change to a service was accepted. A change that is
// not found may still be on its way to the store, so Settle first makes sure
// that it can no longer take effect: it writes an entry about it, which
// raises the version that the late write expects. Unknown comes with an error
// while the store is away, without one when the change may be older than the
// record of changes.
func (a *Acceptor) Settle(ctx context.Context, service, changeID string) (Result, error) {
	return a.settle(ctx, &edit{stored: ServiceName(service), name: service, changeID: changeID})
}

// settle writes that the edit's change was not accepted, unless it was.
func (a *Acceptor) settle(ctx context.Context, e *edit) (Result, error) {
	e.what, e.detail, e.apply = audit.WhatSettled, "found not accepted", func(*Envelope) {}
	result, err := a.write(ctx, e)
	if result.Outcome == NotAccepted && err != nil {
		result.Outcome = Unknown // NotAccepted was said of Settle's own entry
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

// Trail returns the newest entries about documents, drains and orders, newest
// first. Errors: store.ErrUnavailable.
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
	audit.Newest(entries)
	return entries[:min(len(entries), maxTrail)], nil
}
