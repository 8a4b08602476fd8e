package gatewayhost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	msgReleased        = "backend server has no more what was sent to it; its places are free"
	msgHeldNotReported = "backend server did not report its generations"

	// releaseInterval is the interval between queries to one engine;
	// releaseTimeout bounds one query.
	releaseInterval = time.Second
	releaseTimeout  = 500 * time.Millisecond
)

// releaseLostGenerations queries each engine that has stalled generations of this
// host, and releases the reservations of those that the engine no longer has,
// until ctx ends. The generations themselves keep waiting, as output that the
// engine has already sent may still arrive.
func (h *Host) releaseLostGenerations(ctx context.Context) error {
	for sleep.For(ctx, releaseInterval) == nil {
		var group sync.WaitGroup
		for _, server := range h.fleet.Stalled() {
			group.Go(func() { h.releaseLostOn(ctx, server) })
		}
		group.Wait()
	}
	return ctx.Err()
}

func (h *Host) releaseLostOn(ctx context.Context, server fleet.Server) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	held, err := h.backend.QueryGenerations(ctx, server)
	if err != nil {
		h.logger.Debug(msgHeldNotReported, zap.String("server", server.ID), zap.Error(err))
		return
	}
	if released := h.fleet.Release(server.Incarnation(), held); len(released) > 0 {
		h.logger.Warn(msgReleased, zap.String("server", server.ID), zap.Strings("requests", released))
	}
}
