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

// maxEntries bounds the history in the stored object of a server, so that a
// list of all objects stays under 4 MB at 600 servers.
const maxEntries = 16

// intent is the last order for a server. It is written before the order is
// sent, so that the next lease holder can tell which order may be in flight.
type intent struct {
	backend.OrderRequest
	Holder string `json:"holder"`
	Open   bool   `json:"open"` // outcome not recorded yet
}

func (i intent) order() Order { return Order{Kind: i.Kind, Model: i.Model, Role: i.Role} }

// serverRecord is the stored object of a server (kind audit.OrderKind). It
// includes the audit entries of the server's orders.
type serverRecord struct {
	Intent  intent        `json:"intent"`
	History audit.History `json:"history"`
}

// recordStore reads and writes server records.
type recordStore struct{ store store.Store }

// read returns a server's record, or version zero if no order was ever
// recorded for the server.
func (s recordStore) read(ctx context.Context, address string) (serverRecord, store.Version, error) {
	object, err := s.store.Get(ctx, audit.OrderKind, address)
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

// open writes an open intent, on condition that the record still has the
// version that was read.
func (s recordStore) open(ctx context.Context, address string, r serverRecord, next intent, version store.Version) (serverRecord, store.Version, error) {
	entry := audit.Entry{
		ChangeID: next.OrderID, Who: next.Holder, When: time.Now().UTC(), What: audit.WhatOrder,
		Name: address, From: version, Detail: next.order().String() + ": sent",
	}
	next.Open = true
	r.Intent = next
	r.History = r.History.With(entry, version).Truncate(maxEntries)
	written, err := s.write(ctx, address, r, version)
	return r, written, err
}

// close records the outcome of the open intent.
func (s recordStore) close(ctx context.Context, address string, r serverRecord, outcome string, version store.Version) (serverRecord, store.Version, error) {
	r.Intent.Open = false
	r.History.Entries = r.History.At(version)
	r.History.Entries[0].Detail = r.Intent.order().String() + ": " + outcome
	written, err := s.write(ctx, address, r, version)
	return r, written, err
}

func (s recordStore) write(ctx context.Context, address string, r serverRecord, version store.Version) (store.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "order: encode")
	}
	return store.PutSettled(ctx, s.store, audit.OrderKind, address, value, version)
}
