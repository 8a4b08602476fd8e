package gatewayhost

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// MsgStopping is the log message of a stop's beginning.
	MsgStopping = "entry host stops"
	msgCutOff   = "requests cut off at the end of the grace"

	// calledBack is how long a stopping host goes on taking calls, so that
	// callers hear of it first: their answers' TTL and a round trip.
	calledBack = 1500 * time.Millisecond
	// stopMargin is what a stop keeps of the grace for its own end.
	stopMargin = 300 * time.Millisecond
	// stopCheck spaces the checks whether generations still run.
	stopCheck = 50 * time.Millisecond
	// lastRequests is how long before its end a host opens no connections any
	// more; what comes later could not be answered in time.
	lastRequests = time.Second
)

// Ready reports whether this host takes requests.
func (h *Host) Ready() bool { return !h.stopping.Load() && h.gateway.Configuration() != nil }

// Stopping reports whether this host is being stopped.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// stop ends the host so that no caller notices: it is taken out of readiness
// and of address answers, goes on serving until callers have heard of it, and
// finishes what it has read.
//
// Failure: all hosts are stopped in turn, one each second, and each has
// generations that run for the whole grace. For seconds no host takes a
// connection, and most requests fail. A host therefore goes on taking
// what ends before it does for as long as generations keep it alive.
func (h *Host) stop(callers *http.Server) {
	h.logger.Info(MsgStopping)
	h.stopping.Store(true)
	deadline := time.Now().Add(h.options.StopGrace - stopMargin)
	h.gateway.Stop(deadline)
	h.node.Load().Leave("")
	_ = sleep.For(context.Background(), calledBack) // never ends early
	for h.gateway.Generations() > 0 && time.Until(deadline) > lastRequests {
		_ = sleep.For(context.Background(), stopCheck) // never ends early
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.logger.Warn(msgCutOff, zap.Error(err))
	}
}
