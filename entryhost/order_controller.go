package entryhost

import (
	"context"
	"slices"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/order"
)

// newOrderController returns the controller that sends orders to engines. The hosts that
// watch the store contend for its lease.
func (h *Host) newOrderController() *order.Controller {
	engines := backend.NewClient(h.options.Network, backend.ClientOptions{ControlTimeout: orderTimeout, OrderToken: h.settings.OrderToken})
	return order.New(order.Options{
		Host: h.settings.Host, FailureDomain: h.settings.FailureDomain, Store: h.options.Store, Engine: engines,
		Documents: h.table, Leaving: h.serverLeaving, Contend: h.contends, Refresh: h.refreshDocuments,
		LoadsPerMinute: float64(h.settings.Limits.LoadsPerMinute), MaxExecutionTime: orderTimeout, Logger: h.logger,
	})
}

// orderTimeout is the maximum time for an engine to execute an order, such as
// loading a model.
const orderTimeout = 30 * time.Second

// contends reports whether this host contends for the lease of the order controller.
func (h *Host) contends() bool { return !h.leaving.Load() && h.watchDuty.Watches() }

// refreshDocuments reads all documents from the store and applies them.
func (h *Host) refreshDocuments(ctx context.Context) error {
	objects, revision, err := h.options.Store.List(ctx, configuration.Kind)
	if err != nil {
		return err
	}
	h.table.AdoptList(configuration.Kind, objects, revision)
	return nil
}

// serverLeaving reports whether a backend server is known to be leaving.
func (h *Host) serverLeaving(address string) bool {
	return slices.ContainsFunc(h.pool.Leaving(), func(mark backend.LeavingMark) bool { return mark.Address == address })
}
