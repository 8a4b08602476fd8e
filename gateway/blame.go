package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
)

const (
	msgOwnPathLost = "failed requests do not count against the backend server: this host's path to it is lost"

	// pathCheckTimeout bounds a check of the path to a server.
	pathCheckTimeout = 500 * time.Millisecond
)

// pathChecks runs the checks of paths to servers, at most one for each server at a
// time.
type pathChecks struct {
	mu      sync.Mutex          // guards waiting
	waiting map[string][]func() // by server ID: what to call if the server is at fault
}

// blame calls count unless this host reaches the server only through other hosts: the
// failure then shows nothing about the server. It does not wait for the check.
//
// Hosts that are cut off from all servers would otherwise outvote the others and make
// the whole fleet avoid sound servers.
func (g *Gateway) blame(server fleet.Server, count func()) {
	if g.options.PathLost == nil {
		count()
		return
	}
	g.checks.mu.Lock()
	defer g.checks.mu.Unlock()
	if g.checks.waiting == nil {
		g.checks.waiting = map[string][]func(){}
	}
	waiting, running := g.checks.waiting[server.ID]
	g.checks.waiting[server.ID] = append(waiting, count)
	if !running {
		go g.checkPath(server)
	}
}

// checkPath checks the path to a server and, unless it is lost, makes the waiting
// calls for the server.
func (g *Gateway) checkPath(server fleet.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), pathCheckTimeout)
	defer cancel()
	lost := g.options.PathLost(ctx, server.Address)
	g.checks.mu.Lock()
	waiting := g.checks.waiting[server.ID]
	delete(g.checks.waiting, server.ID)
	g.checks.mu.Unlock()
	if lost {
		g.options.Logger.Info(msgOwnPathLost, zap.String("server", server.ID), zap.String("address", server.Address), zap.Int("requests", len(waiting)))
		return
	}
	for _, count := range waiting {
		count()
	}
}
