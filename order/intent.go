package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/store"
)

// maxEntries bounds the history in one server's object: at 600 servers a list
// of all stays under 4 MB.
const maxEntries = 16

// intent is the last order meant for a server. It is written before the order
// is sent, so that whoever holds the lease next knows what may be under way.
type intent struct {
	backend.OrderRequest
	Holder string `json:"holder"`
	Open   bool   `json:"open"` // its outcome is not known yet
}

func (i intent) order() Order { return Order{Kind: i.Kind, Model: i.Model, Role: i.Role} }

// serverRecord is the stored object of a server. It holds the audit entries
// of its orders, as audit.OrderKind says.
type serverRecord struct {
	Intent  intent        `json:"intent"`
	History audit.History `json:"history"`
}

// journal reads and writes the records of servers.
type journal struct{ store store.Store }

// read returns a server's record; version zero if it never got an order.
func (j journal) read(ctx context.Context, address string) (serverRecord, store.Version, error) {
	object, err := j.store.Get(ctx, audit.OrderKind, address)
	if errors.Is(err, store.ErrNoObject) {
		return serverRecord{}, 0, nil
	}
	if err != nil {
		return serverRecord{}, 0, err
	}
	var r serverRecord
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return serverRecord{}, 0, errors.Wrap(err, "order: stored object")
	}
	return r, object.Version, nil
}

// open writes an intent over the record that was read.
func (j journal) open(ctx context.Context, address string, r serverRecord, next intent, version store.Version) (serverRecord, store.Version, error) {
	entry := audit.Entry{
		ChangeID: next.OrderID, Who: next.Holder, When: time.Now().UTC(), What: audit.WhatOrder,
		Name: address, From: version, Detail: next.order().String() + ": sent",
	}
	next.Open = true
	r.Intent = next
	r.History = r.History.With(entry, version).Truncate(maxEntries)
	written, err := j.write(ctx, address, r, version)
	return r, written, err
}

// close writes the outcome of the open intent.
func (j journal) close(ctx context.Context, address string, r serverRecord, outcome string, version store.Version) (serverRecord, store.Version, error) {
	r.Intent.Open = false
	r.History.Entries = r.History.At(version)
	r.History.Entries[0].Detail = r.Intent.order().String() + ": " + outcome
	written, err := j.write(ctx, address, r, version)
	return r, written, err
}

func (j journal) write(ctx context.Context, address string, r serverRecord, version store.Version) (store.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "order: encode")
	}
	return store.PutSettled(ctx, j.store, audit.OrderKind, address, value, version)
}
