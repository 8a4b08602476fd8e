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

	// coldAskInterval spaces the questions to one server, which is asked until it
	// answers, coldAskTries times at most: a crashed one is back after seconds.
	coldAskInterval = 500 * time.Millisecond
	coldAskTries    = 10
	coldAskTimeout  = 200 * time.Millisecond
)

// connectionBroke asks the servers at an address whether they are cold, where
// that bounds what they take.
//
// Failure: a server starts again under its id while the store is away. Its entry
// cannot say that it is cold, and hosts send it what it took before.
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

// askCold asks a server until it answers or is no more known.
func (h *Host) askCold(server fleet.Server) {
	var word fleet.OwnWord
	var err error
	for range coldAskTries {
		word, err = h.askOnce(server)
		h.fleet.Heed(server.Life(), word)
		_ = sleep.For(context.Background(), coldAskInterval) // never ends early
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
