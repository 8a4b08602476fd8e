package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	msgColdAsked = "backend server was asked whether it is cold: a connection to it broke"

	// coldAskInterval separates the status queries to one server. It is queried
	// until it answers, at most coldAskTries times: a crashed server is back
	// after some seconds.
	coldAskInterval = 500 * time.Millisecond
	coldAskTries    = 10
	coldAskTimeout  = 200 * time.Millisecond
)

// connectionBroke queries whether the servers at an address are cold, for
// servers whose admission is limited while they are cold.
//
// Failure: a server restarts under the same id during a store outage. Its entry
// cannot be updated to report that it is cold, and hosts keep sending it the
// load that it accepted when warm.
func (h *Host) connectionBroke(address string) {
	servers := h.fleet.BoundWhenCold(address)
	if len(servers) == 0 {
		return
	}
	if _, asking := h.askingCold.LoadOrStore(address, true); asking {
		return
	}
	go func() {
		defer h.askingCold.Delete(address)
		for _, server := range servers {
			h.askCold(server)
		}
	}()
}

// askCold queries a server until it answers, is replaced or removed, or
// coldAskTries is reached.
func (h *Host) askCold(server fleet.Server) {
	var word fleet.OwnWord
	var err error
	for range coldAskTries {
		word, err = h.askOnce(server)
		h.fleet.Heed(server.Life(), word)
		_ = sleep.For(context.Background(), coldAskInterval) // the context never ends
		if known, _ := h.fleet.Get(server.ID); err == nil || !known.Life().Is(server.Life()) {
			break
		}
	}
	h.logger.Info(msgColdAsked, zap.String("server", server.ID), zap.Duration("cold_for", word.ColdFor), zap.Error(err))
}

func (h *Host) askOnce(server fleet.Server) (fleet.OwnWord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), coldAskTimeout)
	defer cancel()
	return h.ask(ctx, server)
}
