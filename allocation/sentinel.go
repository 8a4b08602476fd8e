package allocation

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	msgAsking    = "store does not answer: servers are asked whether they leave"
	msgNotAsking = "store answers again: servers are not asked any more"

	// checkInterval spaces the allocator's checks of the store, and while it
	// is away its questions to servers. Notices of reclaimed engines are 1.5 s
	// and longer.
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 250 * time.Millisecond
	verifyEvery   = 3
)

// Sentinel finds out which servers leave while the store is away.
//
// Failure: an engine is reclaimed while the store is down. Its notice cannot
// be written, so no host hears of it, and all its generations are lost. The
// engine itself knows; the allocator asks, and tells the hosts in its answers
// to their reports. While the store answers, servers are not asked.
type Sentinel struct {
	Host   string
	Client *Client
	Fleet  *fleet.Table
	// Check makes a cheap call to the store.
	Check func(ctx context.Context) error
	// Verify reads the configuration, which shows as well whether the store
	// answers. It is called in place of every third check: what the allocator
	// then knows of the newest configuration it tells the other hosts.
	Verify func(ctx context.Context) error
	// Departs asks a server whether it is leaving.
	Departs func(ctx context.Context, server fleet.Server) (bool, error)
	Logger  *zap.Logger
}

// Run watches the services for which this host decides, until ctx ends.
func (s *Sentinel) Run(ctx context.Context) error {
	away := false
	for n := 0; sleep.For(ctx, checkInterval) == nil; n++ {
		services := s.mine()
		before := away
		away = len(services) > 0 && !s.check(ctx, n%verifyEvery == 0)
		switch {
		case away && !before:
			s.Logger.Warn(msgAsking, zap.Strings("services", services))
		case before && !away:
			s.Logger.Info(msgNotAsking)
		}
		if away {
			s.ask(ctx, services)
		}
	}
	return ctx.Err()
}

// mine returns the services for which this host decides: as their allocator,
// or as the allocator does not answer it.
func (s *Sentinel) mine() []string {
	var mine []string
	for _, service := range s.Fleet.EngineServices() {
		if s.Client.allocator(service) == s.Host {
			mine = append(mine, service)
		}
	}
	return mine
}

func (s *Sentinel) check(ctx context.Context, verify bool) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if verify {
		return s.Verify(ctx) == nil
	}
	return s.Check(ctx) == nil
}

// asked returns the servers of a service that are asked: all by its allocator;
// by a host that decides for itself those on which it has work, or on a day
// with many hosts cut off each would ask all.
func (s *Sentinel) asked(service string) []fleet.Server {
	if Chosen(s.Client.peers.Members(), service) == s.Host {
		return s.Fleet.Usable(service)
	}
	return s.Fleet.UsableWithWork(service)
}

// ask asks the servers of the services at once.
func (s *Sentinel) ask(ctx context.Context, services []string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, service := range services {
		for _, server := range s.asked(service) {
			group.Go(func() {
				if departs, err := s.Departs(ctx, server); err == nil && departs {
					s.Fleet.MarkLeaving(server.ID, fleet.SourceAnswer)
				}
			})
		}
	}
	group.Wait()
}
