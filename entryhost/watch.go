package entryhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/store"
)

const (
	// storeCheckInterval spaces a watcher's checks of the store: half a call a
	// second of the four that a host may make.
	storeCheckInterval = 2 * time.Second
	// storeCheckTimeout bounds one; the store answers in milliseconds.
	storeCheckTimeout = time.Second
	// absentDocument is the name of no document.
	absentDocument = "-"
)

func (h *Host) newWatchDuty() *domain.WatchDuty {
	return &domain.WatchDuty{
		Host: h.settings.Host, Fleet: h.node, Check: h.checkStore, Returned: func() { h.watcher.Relist() },
		Interval: storeCheckInterval, Timeout: storeCheckTimeout,
	}
}

// checkStore asks the store for a document that there is not.
func (h *Host) checkStore(ctx context.Context) error {
	_, err := h.options.Store.Get(ctx, configuration.Kind, absentDocument)
	if errors.Is(err, store.ErrNoObject) {
		return nil
	}
	return err
}
