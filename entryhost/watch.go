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
	// storeCheckInterval is the time between a watcher's checks of the store. They
	// take 0.5 calls per second of the host's limit on platform calls, by default 4
	// per second.
	storeCheckInterval = 2 * time.Second
	// storeCheckTimeout is the timeout of one check; the store normally answers
	// within milliseconds.
	storeCheckTimeout = time.Second
	// absentDocument is a name that no document has.
	absentDocument = "-"
)

func (h *Host) newWatchDuty() *domain.WatchDuty {
	return &domain.WatchDuty{
		Host: h.settings.Host, Fleet: h.node, Check: h.checkStore, OnStoreRecovered: func() { h.follower.Relist() },
		Interval: storeCheckInterval, Timeout: storeCheckTimeout,
	}
}

// checkStore reads a document that does not exist. It returns nil if the store
// reports that.
func (h *Host) checkStore(ctx context.Context) error {
	_, err := h.options.Store.Get(ctx, configuration.Kind, absentDocument)
	if errors.Is(err, store.ErrNoObject) {
		return nil
	}
	return err
}
