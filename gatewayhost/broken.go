package gatewayhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	msgColdQueried = "backend server was asked whether it is cold"

	becauseBroken = "a connection to it broke"
	becauseListed = "it is listed as cold, and this host starts"
	becauseUnseen = "it may have started again while this host had no connection to it"

	// coldQueryInterval separates the status queries to one server. It is queried
	// until it answers, at most coldQueryAttempts times: a crashed server is back
	// after some seconds.
	coldQueryInterval = 500 * time.Millisecond
	coldQueryAttempts = 10
	coldQueryTimeout  = 200 * time.Millisecond
)

// handleBrokenConnection queries the servers at an address to learn whether they
// are cold, if their service has a rate limit for cold servers.
//
// Failure: a server restarts under the same id during a store outage. Its entry
// cannot be updated to report that it is cold, and hosts keep sending it the
// load that it accepted when warm. Until the server answers, it counts as cold here; the
// other hosts, which may have had no connection to it, are told if it is.
func (h *Host) handleBrokenConnection(address string) {
	servers := h.fleet.BoundWhenCold(address)
	if len(servers) == 0 {
		return
	}
	if _, asking := h.coldQueries.LoadOrStore(address, true); asking {
		return
	}
	go func() {
		defer h.coldQueries.Delete(address)
		for _, server := range servers {
			h.queryCold(server, becauseBroken)
		}
	}()
}

// queryCold queries a server until it answers, is replaced or removed, or
// coldQueryAttempts is reached.
func (h *Host) queryCold(server fleet.Server, because string) {
	var status fleet.SelfReport
	var err error
	for range coldQueryAttempts {
		if because == becauseBroken {
			h.fleet.AssumeCold(server.Incarnation(), coldQueryTimeout+coldQueryInterval)
		}
		status, err = h.queryColdOnce(server)
		h.fleet.ApplySelfReport(server.Incarnation(), status)
		_ = sleep.For(context.Background(), coldQueryInterval) // fails only when the context ends, which this one never does
		if known, _ := h.fleet.Get(server.ID); err == nil || !known.Incarnation().Is(server.Incarnation()) {
			break
		}
	}
	h.logger.Info(msgColdQueried, zap.String("server", server.ID), zap.String("because", because), zap.Duration("cold_for", status.ColdFor), zap.Error(err))
}

func (h *Host) queryColdOnce(server fleet.Server) (fleet.SelfReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), coldQueryTimeout)
	defer cancel()
	return h.queryStatus(ctx, server)
}

// checkColdIfDue queries a server to which a request is sent whether it is cold, if it may
// have started again unnoticed.
//
// Failure: a server restarts under the same ID while this host has no connection to it that
// could break, as with tunnels, which serve one request each. Until the store delivers the
// new entry, the server gets the load that it accepted when warm.
func (h *Host) checkColdIfDue(incarnation fleet.Incarnation, first bool) {
	if !h.fleet.ColdCheckDue(incarnation, first) {
		return
	}
	server, _ := h.fleet.Get(incarnation.ID)
	go func() {
		status, err := h.queryColdOnce(server)
		switch {
		case status.ColdFor > 0 || status.Leaves:
			h.fleet.ApplySelfReport(incarnation, status)
			h.logger.Info(msgColdQueried, zap.String("server", server.ID), zap.String("because", becauseUnseen), zap.Duration("cold_for", status.ColdFor), zap.Error(err))
		case err != nil:
			h.fleet.ColdCheckFailed(incarnation)
		}
	}()
}
