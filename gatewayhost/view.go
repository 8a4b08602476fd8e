package gatewayhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

// readChanges reads from the store what has changed after a version, and returns the
// store's revision, up to which this host then has all changes.
//
// The list of the evacuations, of which there are few, tells the revision. The other kinds
// are read only if it is a newer one, and this host's watches have not brought all changes.
func (h *Host) readChanges(ctx context.Context, after store.Version) (store.Version, error) {
	started, objects := time.Now(), h.options.Objects
	listed, revision, err := h.options.Store.List(ctx, objects.Evacuations)
	if err != nil {
		return 0, err
	}
	_, findings := h.table.AdoptList(objects.Evacuations, listed, revision)
	replica.LogFindings(h.logger, findings)
	if revision > after && !h.table.HasEach(after, revision) {
		group, ctx := errgroup.WithContext(ctx)
		for _, kind := range []string{objects.Configuration, objects.Servers} {
			group.Go(func() error { return h.readChangesOf(ctx, kind, after, revision) })
		}
		if err := group.Wait(); err != nil {
			return 0, err
		}
	}
	h.verifiedAt.Mark(started)
	return revision, nil
}

// readChangesOf reads the changes of a kind after a version, at least up to another one. It
// lists all objects if the store no longer has these changes, if this host does not know a
// version, or if an answer without changes does not say that it reaches that far.
func (h *Host) readChangesOf(ctx context.Context, kind string, after, upTo store.Version) error {
	for after > 0 {
		changed, reached, err := h.options.Store.Changes(ctx, kind, after)
		if errors.Is(err, store.ErrCompacted) {
			break
		}
		if err != nil {
			return err
		}
		_, findings := h.table.Adopt(changed)
		replica.LogFindings(h.logger, findings)
		if reached >= upTo {
			return nil
		}
		if reached <= after {
			break
		}
		after = reached
	}
	listed, revision, err := h.options.Store.List(ctx, kind)
	if err != nil {
		return err
	}
	_, findings := h.table.AdoptList(kind, listed, revision)
	replica.LogFindings(h.logger, findings)
	return nil
}

// adoptView adopts objects of another host's view.
func (h *Host) adoptView(objects []store.Object) {
	_, findings := h.table.Adopt(objects)
	replica.LogFindings(h.logger, findings)
}
