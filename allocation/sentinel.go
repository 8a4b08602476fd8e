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
	msgAsking    = "store does not answer: servers are asked whether they leave"
	msgNotAsking = "store answers again: servers are not asked any more"

	// checkInterval spaces the allocator's checks of the store, and while it
	// is away its questions to servers. Notices of reclaimed engines are 1.5 s
	// and longer.
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 250 * time.Millisecond
	// verifyAfter is how old the word on the newest configuration may be
	// before the store is asked for it. The allocators of a large fleet tell
	// each other, so that one of them asks.
	verifyAfter = 450 * time.Millisecond
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
	// answers. It is called in place of a check when Verified is verifyAfter or
	// longer ago: what the allocator then knows of the newest configuration it
	// tells the other hosts.
	Verify func(ctx context.Context) error
	// Verified returns how long ago the store was last asked for the
	// configuration.
	Verified func() time.Duration
	// Ask asks a server what it says of itself.
	Ask    func(ctx context.Context, server fleet.Server) (fleet.OwnWord, error)
	Logger *zap.Logger
}

// Run watches the parts of services for which this host decides, until ctx ends.
func (s *Sentinel) Run(ctx context.Context) error {
	away := false
	for sleep.For(ctx, checkInterval) == nil {
		parts := s.mine()
		before := away
		away = len(parts) > 0 && !s.check(ctx, !away && s.Verified() >= verifyAfter)
		switch {
		case away && !before:
			s.Logger.Warn(msgAsking, zap.Any("parts", parts))
		case before && !away:
			s.Logger.Info(msgNotAsking)
		}
		if away {
			s.ask(ctx, parts)
		}
	}
	return ctx.Err()
}

// mine returns the parts for which this host decides: as their allocator, or
// as the allocator does not answer it.
func (s *Sentinel) mine() []Part {
	var mine []Part
	for _, service := range s.Fleet.EngineServices() {
		for _, part := range s.Client.cut(service).parts() {
			if s.Client.allocator(part) == s.Host {
				mine = append(mine, part)
			}
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

// asked returns the servers of a part that are asked: all by its allocator; by
// a host that decides for itself those on which it has work, or on a day with
// many hosts cut off each would ask all. Those that want nothing from this host
// now are left alone.
func (s *Sentinel) asked(part Part) []fleet.Server {
	servers := s.Fleet.UsableWithWork(part.Service)
	if s.Client.chosen(part) == s.Host {
		servers = s.Fleet.Usable(part.Service)
	}
	return slices.DeleteFunc(servers, func(server fleet.Server) bool { return !part.Holds(server) || s.Fleet.Resting(server.ID) })
}

// heed asks one server, and takes in what it says of itself. One that does not
// answer says nothing: its requests show whether it can be reached.
func (s *Sentinel) heed(ctx context.Context, server fleet.Server) {
	word, err := s.Ask(ctx, server)
	if err != nil {
		return
	}
	s.Fleet.Heed(server.Life(), word)
}

// ask asks the servers of the parts at once.
func (s *Sentinel) ask(ctx context.Context, parts []Part) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, part := range parts {
		for _, server := range s.asked(part) {
			group.Go(func() {
				s.heed(ctx, server)
			})
		}
	}
	group.Wait()
}
