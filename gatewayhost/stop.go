package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/link"
)

const (
	// MsgStopping is the log message written when a graceful stop begins.
	MsgStopping = "entry host stops"
	msgCutOff   = "requests cut off at the end of the grace"

	msgTunnelsCutOff = "tunnels of other hosts cut off at the end of the grace"

	// addressRefreshTime is how long a stopping host keeps accepting requests until
	// callers have refreshed their addresses: addressesTTL and a round trip.
	addressRefreshTime = 1500 * time.Millisecond
	// stopMargin is the part of StopGrace that is reserved for ending the
	// process.
	stopMargin = 300 * time.Millisecond
	// stopCheckInterval is the interval between checks for running generations.
	stopCheckInterval = 50 * time.Millisecond
	// stopAcceptingBefore is how long before the stop deadline a host stops
	// accepting connections; later requests could not be answered in time.
	stopAcceptingBefore = time.Second
)

// Ready reports whether this host accepts requests.
func (h *Host) Ready() bool { return !h.stopping.Load() && h.gateway.Configuration() != nil }

// Stopping reports whether a graceful stop has begun.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// stop drains the host without failing requests: it reports not ready, leaves
// the address lists, keeps serving until callers have refreshed their addresses,
// and finishes the requests it has read and those that run through its tunnels. Until these
// have ended it opens more for hosts that know no other way to the servers.
//
// Failure: all hosts are stopped in turn, one per second, and each has
// generations that run for the whole grace period. For seconds no host accepts a
// connection, and most requests fail. A host therefore keeps accepting requests
// that can end before its deadline as long as generations keep it running.
func (h *Host) stop(callers *link.DrainServer) {
	h.logger.Info(MsgStopping)
	h.stopping.Store(true)
	deadline := time.Now().Add(h.options.StopGrace - stopMargin)
	h.gateway.Stop(deadline)
	h.node.Load().Leave("")
	_ = sleep.For(context.Background(), addressRefreshTime) // fails only when the context ends, which this one never does
	for h.gateway.InFlightGenerations() > 0 && time.Until(deadline) > stopAcceptingBefore {
		_ = sleep.For(context.Background(), stopCheckInterval) // fails only when the context ends, which this one never does
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.logger.Warn(msgCutOff, zap.Error(err))
	}
	if err := h.node.Load().FinishTunnels(ctx); err != nil {
		h.logger.Warn(msgTunnelsCutOff, zap.Int("tunnels", h.node.Load().Tunnels()))
	}
}
