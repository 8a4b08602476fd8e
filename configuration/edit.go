package configuration

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/store"
)

var changes = prometheus.NewCounterVec(prometheus.CounterOpts{
	Namespace: "papayasail", Subsystem: "configuration", Name: "changes_total",
	Help: "Configuration changes requested from this host, by kind and outcome.",
}, []string{"what", "outcome"})

func init() { prometheus.MustRegister(changes) }

// edit is one change to one stored object.
type edit struct {
	objectName string
	what       audit.What
	name       string
	changeID   string
	who        string
	detail     string
	expect     *store.Version // nil: any version
	apply      func(*Envelope)
	// digestText is hashed to identify the edit if the object contains several
	// items; empty: Envelope.digest after the edit is used.
	digestText string
	// versionOf returns the version to compare with expect if the object contains
	// several items; nil: the object's version is used.
	versionOf  func(storedObject) store.Version
	maxHistory int // maximum number of history entries; 0: audit.MaxEntries
}

// storedObject is an object as read; the zero value is an object that does not
// exist.
type storedObject struct {
	version  store.Version
	envelope Envelope
}

// write makes an edit take effect at most once and returns its outcome. It
// reads the object before each write: its history shows whether the change has
// already taken effect.
func (a *Acceptor) write(ctx context.Context, e *edit) (result Result, err error) {
	defer func() { changes.WithLabelValues(string(e.what), string(result.Outcome)).Inc() }()
	if e.changeID == "" {
		return Result{Outcome: NotAccepted}, ErrNoChangeID
	}
	ctx, cancel := context.WithTimeout(ctx, a.SettleTimeout)
	defer cancel()
	var backoff store.Backoff
	sent := false // a write may be in flight, or its answer was lost
	for {
		result, err := a.attempt(ctx, e)
		sent = sent || errors.Is(err, store.ErrOutcomeUnknown)
		if result.Outcome != "" {
			return result, err
		}
		if !sent && err != nil {
			return Result{Outcome: NotAccepted}, err
		}
		if backoff.Wait(ctx) == nil {
			continue
		}
		if !sent {
			return Result{Outcome: NotAccepted}, errors.Mark(ctx.Err(), store.ErrUnavailable)
		}
		return Result{Outcome: Unknown, Detail: "the store did not answer; settle the change when it does"}, nil
	}
}

// attempt reads and writes once. A result without outcome and without error means
// that another change was written in between: the edit must be retried. An error
// without outcome is that of the store or of ParseEnvelope; the edit must then be
// retried if a write may be in flight.
func (a *Acceptor) attempt(ctx context.Context, e *edit) (Result, error) {
	current, err := a.read(ctx, e.objectName)
	if err != nil {
		return Result{}, err
	}
	if result, err := e.decide(current); result.Outcome != "" {
		return result, err
	}
	value, err := e.nextEnvelope(current).Encode()
	if err != nil {
		return Result{Outcome: NotAccepted, Version: current.version}, err
	}
	version, err := a.store.Put(ctx, Kind, e.objectName, value, current.version)
	var bad *store.VersionError
	switch {
	case err == nil:
		a.notifySeen(store.Object{Kind: Kind, Name: e.objectName, Version: version, Value: value})
		return e.writtenResult(version), nil
	case errors.As(err, &bad):
		return Result{}, nil // another change was written in between: read again
	}
	return Result{}, err
}

func (a *Acceptor) read(ctx context.Context, name string) (storedObject, error) {
	object, err := a.store.Get(ctx, Kind, name)
	if errors.Is(err, store.ErrNoObject) {
		return storedObject{}, nil
	}
	if err != nil {
		return storedObject{}, err
	}
	a.notifySeen(object)
	envelope, err := ParseEnvelope(object.Value)
	return storedObject{version: object.Version, envelope: envelope}, err
}

func (a *Acceptor) notifySeen(object store.Object) {
	if a.OnObject != nil {
		a.OnObject(object)
	}
}

// decide returns the outcome if the stored object already determines it, and
// a result without outcome otherwise.
func (e *edit) decide(current storedObject) (Result, error) {
	history := current.envelope.History
	if entry, ok := history.Find(e.changeID, current.version); ok {
		return e.resultOf(entry, current)
	}
	if e.what == audit.WhatSettled && history.Dropped > 0 {
		oldest := history.Entries[len(history.Entries)-1].When.Format(time.RFC3339)
		return Result{Outcome: Unknown, Version: current.version, Detail: "not among the changes since " + oldest}, nil
	}
	if e.expect == nil || e.versionMatches(current) {
		return Result{}, nil
	}
	// The version has changed, so an earlier attempt of this change that is
	// still in flight can no longer take effect: this outcome is final.
	result := Result{Outcome: NotAccepted, Version: e.version(current)}
	for _, entry := range history.At(current.version) {
		if e.versionOf == nil || entry.Name == e.name {
			result.Winner = &entry
			break
		}
	}
	return result, nil
}

func (e *edit) version(current storedObject) store.Version {
	if e.versionOf != nil {
		return e.versionOf(current)
	}
	return current.version
}

// resultOf returns the outcome of a change that is in the history.
func (e *edit) resultOf(entry audit.Entry, current storedObject) (Result, error) {
	if entry.What == audit.WhatSettled {
		return Result{Outcome: NotAccepted, Version: current.version, Detail: "settled as not accepted; use a new change id"}, nil
	}
	if e.what != audit.WhatSettled && (entry.What != e.what || entry.Digest != e.digest(current)) {
		return Result{Outcome: NotAccepted, Version: current.version}, ErrChangeIDReused
	}
	return Result{Outcome: Accepted, Version: entry.To}, nil
}

// versionMatches reports whether the current object has the expected version. A
// service without a document, which only has settled changes, counts as new.
func (e *edit) versionMatches(current storedObject) bool {
	if e.versionOf != nil {
		return *e.expect == e.versionOf(current)
	}
	return *e.expect == current.version || *e.expect == 0 && current.envelope.Document == ""
}

// nextEnvelope returns the envelope that the edit writes to replace current.
func (e *edit) nextEnvelope(current storedObject) Envelope {
	envelope := current.envelope
	envelope.Organisations = withVersions(envelope.Organisations, current.version)
	e.apply(&envelope)
	entry := audit.Entry{
		ChangeID: e.changeID, Who: e.who, When: time.Now().UTC(), What: e.what, Name: e.name,
		From: current.version, Detail: e.detail, Digest: e.digest(current),
	}
	envelope.History = envelope.History.With(entry, current.version)
	if e.maxHistory > 0 {
		envelope.History = envelope.History.Truncate(e.maxHistory)
	}
	return envelope
}

func (e *edit) digest(current storedObject) uint64 {
	if e.digestText != "" {
		return xxhash.Sum64String(e.digestText)
	}
	envelope := current.envelope
	e.apply(&envelope)
	return envelope.digest()
}

// writtenResult returns the result of a write that took effect at a version.
func (e *edit) writtenResult(version store.Version) Result {
	if e.what == audit.WhatSettled {
		return Result{Outcome: NotAccepted, Version: version}
	}
	return Result{Outcome: Accepted, Version: version}
}
