package allocation

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	msgQuerying    = "store does not answer: servers are asked whether they leave"
	msgNotQuerying = "store answers again: servers are no longer queried"

	// checkInterval is the interval at which the allocator checks the store,
	// and queries servers while the store is down. An engine that is reclaimed
	// gets at least 1.5 s of notice.
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 250 * time.Millisecond
	// verifyAfter is the maximum age of the information on the newest
	// configuration before the store is queried for it. The allocators of a
	// large fleet share that information, so that only one of them queries the
	// store.
	verifyAfter = 450 * time.Millisecond
)

// OutageMonitor detects leaving servers while the store is down.
//
// If an engine is reclaimed during a store outage, its notice cannot be
// written, so no host learns of it and all its generations would be lost. The
// engine itself has the notice: the allocator queries it and passes the result
// to the hosts in the responses to their reports. Servers are not queried while
// the store answers.
type OutageMonitor struct {
	Host   string
	Client *Client
	Fleet  *fleet.Table
	// Check makes a cheap call to the store.
	Check func(ctx context.Context) error
	// Verify reads the configuration, which also shows whether the store
	// answers. It is called instead of Check when Verified returns verifyAfter
	// or more. The allocator sends the resulting revision to the other hosts.
	Verify func(ctx context.Context) error
	// Verified returns the time since the store was last queried for the configuration.
	Verified func() time.Duration
	// Ask queries a server for its status.
	Ask    func(ctx context.Context, server fleet.Server) (fleet.SelfReport, error)
	Logger *zap.Logger
}

// Run monitors the parts of services for which this host decides, until ctx ends.
func (s *OutageMonitor) Run(ctx context.Context) error {
	away := false
	for sleep.For(ctx, checkInterval) == nil {
		parts := s.ownParts()
		before := away
		away = len(parts) > 0 && !s.check(ctx, !away && s.Verified() >= verifyAfter)
		switch {
		case away && !before:
			s.Logger.Warn(msgQuerying, zap.Any("parts", parts))
		case before && !away:
			s.Logger.Info(msgNotQuerying)
		}
		if away {
			s.queryServers(ctx, parts)
		}
	}
	return ctx.Err()
}

// ownParts returns the parts for which this host decides: those that it
// allocates, and those whose allocators do not answer it.
func (s *OutageMonitor) ownParts() []Part {
	var ownParts []Part
	for _, service := range s.Fleet.EngineServices() {
		for _, part := range s.Client.partitioning(service).parts() {
			if s.Client.allocator(part) == s.Host {
				ownParts = append(ownParts, part)
			}
		}
	}
	return ownParts
}

func (s *OutageMonitor) check(ctx context.Context, verify bool) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if verify {
		return s.Verify(ctx) == nil
	}
	return s.Check(ctx) == nil
}

// serversToQuery returns the servers of a part that are queried. The part's
// allocator queries all of them. A host that decides for itself queries only
// those on which it has work; otherwise each of many partitioned hosts would
// query all servers. Servers that requested a backoff from this host are left
// out.
func (s *OutageMonitor) serversToQuery(part Part) []fleet.Server {
	servers := s.Fleet.UsableWithWork(part.Service)
	if s.Client.preferredAllocator(part) == s.Host {
		servers = s.Fleet.Usable(part.Service)
	}
	return slices.DeleteFunc(servers, func(server fleet.Server) bool { return !part.Contains(server) || s.Fleet.InBackoff(server.ID) })
}

// queryServer queries one server and applies its status. A server that does not
// answer is ignored: requests to it show whether it is reachable.
func (s *OutageMonitor) queryServer(ctx context.Context, server fleet.Server) {
	status, err := s.Ask(ctx, server)
	if err != nil {
		return
	}
	s.Fleet.ApplySelfReport(server.Incarnation(), status)
}

// queryServers queries the servers of the parts concurrently.
func (s *OutageMonitor) queryServers(ctx context.Context, parts []Part) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, part := range parts {
		for _, server := range s.serversToQuery(part) {
			group.Go(func() {
				s.queryServer(ctx, server)
			})
		}
	}
	group.Wait()
}
