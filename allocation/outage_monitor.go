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
	msgNotQuerying = "store answers again: servers are no longer asked whether they leave"

	// checkInterval is the interval at which the allocator checks the store,
	// and queries servers while the store is down. An engine that is reclaimed
	// gets at least 1.5 s of notice.
	checkInterval = 200 * time.Millisecond
	// checkTimeout bounds one check of the store, and one round of server queries.
	checkTimeout = 250 * time.Millisecond
	// verifyAfter is the maximum age of the information on the newest
	// configuration before the store is queried for it. The allocators of a
	// large fleet share that information, so that only one of them queries the
	// store. Views of the store are refreshed sooner unless refreshes fail.
	verifyAfter = time.Second
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
	// or more, unless the previous check failed. The allocator sends the
	// resulting revision to the other hosts.
	Verify func(ctx context.Context) error
	// Verified returns the time since the store was last queried for the configuration.
	Verified func() time.Duration
	// Ask queries a server for its status.
	Ask    func(ctx context.Context, server fleet.Server) (fleet.SelfReport, error)
	Logger *zap.Logger
}

// Run monitors the parts of services that ownParts returns, until ctx ends.
func (m *OutageMonitor) Run(ctx context.Context) error {
	outage := false
	for sleep.For(ctx, checkInterval) == nil {
		parts := m.ownParts()
		before := outage
		outage = len(parts) > 0 && !m.check(ctx, !outage && m.Verified() >= verifyAfter)
		switch {
		case outage && !before:
			m.Logger.Warn(msgQuerying, zap.Any("parts", parts))
		case before && !outage:
			m.Logger.Info(msgNotQuerying)
		}
		if outage {
			m.queryServers(ctx, parts)
		}
	}
	return ctx.Err()
}

// ownParts returns the parts that this host allocates and those whose allocators
// do not answer it.
func (m *OutageMonitor) ownParts() []Part {
	var ownParts []Part
	for _, service := range m.Fleet.EngineServices() {
		for _, part := range m.Client.partitioning(service).parts() {
			if m.Client.allocator(part) == m.Host {
				ownParts = append(ownParts, part)
			}
		}
	}
	return ownParts
}

func (m *OutageMonitor) check(ctx context.Context, verify bool) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if verify {
		return m.Verify(ctx) == nil
	}
	return m.Check(ctx) == nil
}

// serversToQuery returns the servers of a part that are queried. The part's
// preferred allocator queries all of them. Any other host queries only those on
// which it has work; otherwise each of many partitioned hosts would query all
// servers. Servers that requested a backoff from this host are left out.
func (m *OutageMonitor) serversToQuery(part Part) []fleet.Server {
	servers := m.Fleet.UsableWithWork(part.Service)
	if m.Client.preferredAllocator(part) == m.Host {
		servers = m.Fleet.Usable(part.Service)
	}
	return slices.DeleteFunc(servers, func(server fleet.Server) bool { return !part.Contains(server) || m.Fleet.InBackoff(server.ID) })
}

// queryServer queries one server and applies its status. A server that does not
// answer is ignored: requests to it show whether it is reachable.
func (m *OutageMonitor) queryServer(ctx context.Context, server fleet.Server) {
	status, err := m.Ask(ctx, server)
	if err != nil {
		return
	}
	m.Fleet.ApplySelfReport(server.Incarnation(), status)
}

// queryServers queries the servers of the parts concurrently.
func (m *OutageMonitor) queryServers(ctx context.Context, parts []Part) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, part := range parts {
		for _, server := range m.serversToQuery(part) {
			group.Go(func() {
				m.queryServer(ctx, server)
			})
		}
	}
	group.Wait()
}
