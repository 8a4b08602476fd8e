package configuration

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/store"
)

// OrganisationChange is a request to put an organisation in force or to remove
// it.
type OrganisationChange struct {
	Organisation Organisation  // for a removal, only the name is used
	Expect       store.Version // organisation's current version; 0: it must be new
	ChangeID     string        // idempotency key: retries with the same id are one change
	Who          string
}

// ErrNoExpectedVersion means that a removal has no expected version.
var ErrNoExpectedVersion = errors.New("configuration: a removal needs the version that it removes")

// PutOrganisation puts an organisation in force if its version is the expected
// one. Concurrent changes to other organisations of its shard do not conflict.
// It has the outcomes and errors of Put, and ErrOrganisation.
func (a *Acceptor) PutOrganisation(ctx context.Context, change OrganisationChange) (Result, error) {
	o := change.Organisation
	o.Version = 0
	err := o.Check()
	if err == nil && a.CheckConflict != nil {
		err = a.CheckConflict(o)
	}
	if err != nil {
		return Result{Outcome: NotAccepted}, err
	}
	return a.write(ctx, change.edit("put", o.digestText(), func(e *Envelope) {
		at, found := search(e.Organisations, o.Name)
		if found {
			e.Organisations[at] = o
			return
		}
		e.Organisations = slices.Insert(e.Organisations, at, o)
	}))
}

// RemoveOrganisation removes an organisation if its version is the expected
// one. It has the outcomes and errors of Put, and ErrNoExpectedVersion.
func (a *Acceptor) RemoveOrganisation(ctx context.Context, change OrganisationChange) (Result, error) {
	if change.Expect == 0 {
		return Result{Outcome: NotAccepted}, ErrNoExpectedVersion
	}
	name := change.Organisation.Name
	return a.write(ctx, change.edit("remove", "remove "+name, func(e *Envelope) {
		if at, found := search(e.Organisations, name); found {
			e.Organisations = slices.Delete(e.Organisations, at, at+1)
		}
	}))
}

// SettleOrganisation is Settle for a change to an organisation.
func (a *Acceptor) SettleOrganisation(ctx context.Context, name, changeID string) (Result, error) {
	return a.settle(ctx, &edit{objectName: OrganisationsName(name), name: name, changeID: changeID, maxHistory: shardHistory})
}

func (c *OrganisationChange) edit(detail, content string, apply func(*Envelope)) *edit {
	name := c.Organisation.Name
	return &edit{
		objectName: OrganisationsName(name), what: audit.WhatOrganisation, name: name, changeID: c.ChangeID, who: c.Who,
		detail: detail, digestText: content, expect: &c.Expect, maxHistory: shardHistory, apply: apply,
		versionOf: func(current storedObject) store.Version {
			organisations := withVersions(current.envelope.Organisations, current.version)
			if at, found := search(organisations, name); found {
				return organisations[at].Version
			}
			return 0
		},
	}
}
