package allocation

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/migration"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/placement"
)

const llm = "llm"

func first(int) int { return 0 }

func engines(host string, ids ...string) *fleet.Table {
	table := fleet.NewTable(host, zap.NewNop())
	table.SetMemory(llm, 34000)
	for _, id := range ids {
		table.Put(fleet.Server{ID: id, Service: llm, Address: id, Domain: "d", Slots: 24})
	}
	return table
}

// hosts simulates two entry hosts of one failure domain; every call goes to the allocator.
type hosts struct {
	members []peer.Member
	conn    *grpc.ClientConn
	mu      sync.Mutex // guards down
	down    bool
}

func (h *hosts) Members() []peer.Member { return h.members }

// Generation is valid for a fleet in which only the size changes.
func (h *hosts) Generation() uint64 { return uint64(len(h.members)) }

func (h *hosts) Watchers() []string { return domain.Watchers(h.members) }

func (h *hosts) Call(_ string, f func(grpc.ClientConnInterface) error) error {
	h.mu.Lock()
	down := h.down
	h.mu.Unlock()
	if down {
		return errors.New("cut off")
	}
	return f(h.conn)
}

func (h *hosts) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// pair connects a client on one host with the allocator on the other.
func pair(t *testing.T, at, from *fleet.Table) (*hosts, *Allocator, *Client) {
	t.Helper()
	members := []peer.Member{
		{Host: "a", State: peer.StateAlive, FailureDomain: "d"},
		{Host: "b", State: peer.StateAlive, FailureDomain: "d"},
	}
	allocator := NewAllocator(at, placement.DefaultLimits, first, zap.NewNop())
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	Register(server, allocator)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:allocator", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	h := &hosts{members: members, conn: conn}
	self := "a"
	if PreferredAllocator(members, WholeService(llm)) == "a" {
		self = "b"
	}
	local := NewAllocator(from, placement.DefaultLimits, first, zap.NewNop())
	return h, allocator, NewClient(self, "d", h, local, from, zap.NewNop())
}

func TestPromptsOfTwoHostsGoToTwoEngines(t *testing.T) {
	// Guards against two hosts that see both engines idle at the same time and send their long
	// prompts to the same one, so that one caller waits for both.
	is := is.New(t)
	at, from := engines("a", "e1", "e2"), engines("b", "e1", "e2")
	_, allocator, client := pair(t, at, from)
	need := placement.Need{PromptTokens: 6000, OutputTokens: 400}
	own := allocator.Place(context.Background(), "other", "d", WholeService(llm), PlacementRequest{Request: "r1", Need: need}, nil)
	other := client.Place(context.Background(), llm, PlacementRequest{Request: "r2", Need: need}, nil).Server
	is.True(own.Server != other)
	is.Equal(client.Place(context.Background(), llm, PlacementRequest{Request: "r3", Need: need}, []string{"e1", "e2"}).Server, "") // both already tried
}

// Guards against callers that retry when they were told to and are refused again.
func TestReturningCallersGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at := engines("a", "e1")
		allocator := NewAllocator(at, placement.DefaultLimits, first, zap.NewNop())
		at.SetOthers("h", llm, map[string]fleet.Load{"e1": {Requests: 9, HeldTokens: 31000}}, WholeService(llm).share())
		need := placement.Need{PromptTokens: 3000, OutputTokens: 400}
		ask := func(request string, fingerprint uint64) string {
			return allocator.Place(context.Background(), "h", "d", WholeService(llm), PlacementRequest{Request: request, Fingerprint: fingerprint, Need: need}, nil).Server
		}
		is.Equal(ask("r1", 7), "")
		time.Sleep(100 * time.Millisecond)
		is.Equal(ask("r1", 7), "") // the same request retries while it waits
		is.Equal(ask("r2", 8), "") // a different request
		time.Sleep(time.Second)
		is.Equal(ask("r3", 7), "e1")
		time.Sleep(refusalTTL)
		is.True(!allocator.refusals.returning(8, "r4"))
	})
}

func TestHostDecidesByItselfWhenTheAllocatorIsAway(t *testing.T) {
	is := is.New(t)
	h, _, client := pair(t, engines("a", "e1"), engines("b", "e2"))
	need := placement.Need{PromptTokens: 100}
	is.Equal(client.Place(context.Background(), llm, PlacementRequest{Request: "r1", Need: need}, nil).Server, "e1")
	h.setDown(true)
	is.Equal(client.Place(context.Background(), llm, PlacementRequest{Request: "r2", Need: need}, nil).Server, "e2")
	h.setDown(false)
	is.Equal(client.Place(context.Background(), llm, PlacementRequest{Request: "r3", Need: need}, nil).Server, "e2") // the allocator is in backoff
}

func TestReportResponseListsLeavingServersAndRevision(t *testing.T) {
	// Guards against generations that are lost on a leaving engine because
	// their host is partitioned from the store and does not learn of it.
	is := is.New(t)
	at, from := engines("a", "e1", "e2"), engines("b", "e1", "e2")
	_, allocator, client := pair(t, at, from)
	allocator.Revision = func() uint64 { return 17 }
	work := from.Begin("e1", fleet.Work{ID: "r1", PromptTokens: 3000, OutputTokens: 400}, false)
	at.Put(fleet.Server{ID: "e1", Service: llm, Address: "e1", Leaving: true})
	is.True(client.report(context.Background(), WholeService(llm), from.OwnGenerations()[llm], nil))
	select {
	case <-work.Gone():
	default:
		t.Fatal("the host was not notified")
	}
	revision, age := client.Newest()
	is.Equal(revision, uint64(17))
	is.True(age < time.Second)
	is.Equal(at.Leaving(llm), []fleet.Incarnation{{ID: "e1"}})
}

// Guards against calls that fail at one host after another while a plain server
// repeatedly stops and restarts.
func TestPlainServerThatFailsSeveralHostsIsShunned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at, from := engines("a", "e1"), engines("b", "e1")
		for _, table := range []*fleet.Table{at, from} {
			table.Put(fleet.Server{ID: "p1", Service: "plain", Address: "p1", Domain: "d", Slots: 6})
			table.Put(fleet.Server{ID: "p2", Service: "plain", Address: "p2", Domain: "d", Slots: 6})
		}
		_, _, client := pair(t, at, from)
		report := func() {
			calls, _ := from.TakeCallEvidence()
			is.True(client.report(context.Background(), WholeService(llm), nil, calls))
		}
		doubtful := func(table *fleet.Table) (ids []string) {
			for _, c := range table.Candidates("plain", "d") {
				if c.Doubtful {
					ids = append(ids, c.ID)
				}
			}
			return ids
		}
		at.ApplyOutcomes("other", "p1", fleet.Evidence{Failed: 1})
		report()
		is.Equal(len(doubtful(from)), 0) // a single host may itself be partitioned
		work := from.Begin("p1", fleet.Work{ID: "r1"}, false)
		work.Outcome(true)
		select {
		case <-from.OwnChanged():
		default:
			t.Fatal("a failure has to be reported immediately")
		}
		report()
		is.Equal(doubtful(at), []string{"p1"})
		is.Equal(doubtful(from), []string{"p1"}) // learned from the response
		is.Equal(len(from.Candidates("plain", "d")), 2)
	})
}

func TestOwnFailuresOfPlainServersShunNone(t *testing.T) {
	// A plain service answers 14 of 100 calls with an error of its own. Two hosts with several such
	// answers in a row must not take a server out of use.
	is := is.New(t)
	table := engines("a", "e1")
	table.Put(fleet.Server{ID: "p1", Service: "plain", Address: "p1", Domain: "d", Slots: 6})
	for range 3 {
		table.Begin("p1", fleet.Work{}, false).AnsweredWithError()
	}
	calls, failed := table.TakeCallEvidence()
	is.True(!failed)
	is.Equal(calls, map[string]fleet.Evidence{"p1": {Answered: 3}})
	table.ApplyOutcomes("other", "p1", fleet.Evidence{Failed: 1})
	is.Equal(len(table.Shunned()), 0)
}

func TestTurnsOverTheWire(t *testing.T) {
	is := is.New(t)
	at, from := engines("a", "e1", "e2"), engines("b", "e1", "e2")
	_, _, client := pair(t, at, from)
	at.MarkLeaving(fleet.Incarnation{ID: "e1"}, fleet.SourceList)
	move := func(run string) migration.Move {
		return migration.Move{Source: "e1", Run: run, LostWork: 9000, Need: placement.Need{PromptTokens: 3000, OutputTokens: 500}}
	}
	destination, end, err := client.TakeTurn(context.Background(), llm, move("r1"))
	is.NoErr(err)
	is.Equal(destination, "e2")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	_, _, err = client.TakeTurn(ctx, llm, move("r2"))
	cancel()
	is.True(err != nil) // the first move has not ended
	end()
	destination, end, err = client.TakeTurn(context.Background(), llm, move("r3"))
	is.NoErr(err)
	is.Equal(destination, "e2")
	end()
}

func TestReportsOfALargeFleetAreBounded(t *testing.T) {
	// Guards against a report rate that takes a fifth of an allocator's core:
	// 390 hosts at the interval of a small fleet.
	is := is.New(t)
	members := make([]peer.Member, 7)
	client := NewClient("a", "d", &hosts{members: members}, nil, nil, zap.NewNop())
	is.Equal(client.interval(), reportInterval)
	client.peers = &hosts{members: make([]peer.Member, 390)}
	is.True(390/client.interval().Seconds() <= reportingHosts/reportInterval.Seconds())
}

func TestGoneHostIsNotAllocator(t *testing.T) {
	is := is.New(t)
	members := []peer.Member{{Host: "gone", State: peer.StateGone, FailureDomain: "d"}}
	is.Equal(PreferredAllocator(members, WholeService(llm)), "")
	members = append(members, peer.Member{Host: "x", State: peer.StateAlive, FailureDomain: "d"})
	is.Equal(PreferredAllocator(members, WholeService(llm)), "x")
}

func TestCutOffHostAsksItsOwnEnginesOnly(t *testing.T) {
	// Guards against twenty hosts, partitioned from the store and the allocator, that each query
	// all engines five times per second (18,000 queries in a day).
	is := is.New(t)
	table := engines("b", "e1", "e2")
	table.Begin("e1", fleet.Work{ID: "r1"}, false)
	members := []peer.Member{{Host: "a", State: peer.StateAlive, FailureDomain: "d"}}
	monitor := &OutageMonitor{Host: "b", Fleet: table, Client: NewClient("b", "d", &hosts{members: members}, nil, table, zap.NewNop())}
	serversToQuery := monitor.serversToQuery(WholeService(llm))
	is.Equal(len(serversToQuery), 1)
	is.Equal(serversToQuery[0].ID, "e1")
	monitor.Host = "a"
	is.Equal(len(monitor.serversToQuery(WholeService(llm))), 2)
	table.SetBackoff("e1", time.Second) // it requested a backoff from this host
	is.Equal(len(monitor.serversToQuery(WholeService(llm))), 1)
}

// Guards against an allocator that mixes up backoffs for its own host with
// those for the requesting host.
func TestBackoffsAreAppliedPerHost(t *testing.T) {
	is := is.New(t)
	at, from := engines("a", "e1", "e2"), engines("b", "e1", "e2")
	_, _, client := pair(t, at, from)
	at.SetBackoff("e1", time.Second)
	from.SetBackoff("e2", time.Second)
	need := placement.Need{PromptTokens: 100}
	is.Equal(client.Place(context.Background(), llm, PlacementRequest{Request: "r1", Need: need}, nil).Server, "e1")
}

// Guards against engines that are reclaimed unnoticed during a store outage.
func TestEnginesAreAskedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := engines("a", "e1", "e2")
		members := []peer.Member{{Host: "a", State: peer.StateAlive, FailureDomain: "d"}}
		var away atomic.Bool
		var asked, verified atomic.Int64
		away.Store(true)
		monitor := &OutageMonitor{
			Host: "a", Fleet: table, Logger: zap.NewNop(),
			Client: NewClient("a", "d", &hosts{members: members}, nil, table, zap.NewNop()),
			Check: func(context.Context) error {
				if away.Load() {
					return errors.New("away")
				}
				return nil
			},
			Verify: func(context.Context) error {
				if away.Load() {
					return errors.New("away")
				}
				verified.Add(1)
				return nil
			},
			Verified: func() time.Duration { return verifyAfter },
			Ask: func(_ context.Context, server fleet.Server) (fleet.SelfReport, error) {
				asked.Add(1)
				return fleet.SelfReport{Leaves: server.ID == "e2", ColdFor: time.Second}, nil
			},
		}
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = monitor.Run(ctx) }()
		time.Sleep(checkInterval + time.Millisecond)
		synctest.Wait()
		is.Equal(table.Leaving(llm), []fleet.Incarnation{{ID: "e2"}})
		is.True(table.Candidates(llm, "d")[0].SlowStart) // e1 reports itself as cold
		away.Store(false)
		before := asked.Load()
		time.Sleep(time.Second)
		is.Equal(asked.Load(), before)
		is.True(verified.Load() >= 1) // the information for other hosts is as recent
		stop()
		synctest.Wait()
	})
}

// Guards against refusals although capacity has become available through the
// end of another host's work.
func TestEndedGenerationsAreReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at, from := engines("a", "e1"), engines("b", "e1")
		_, _, client := pair(t, at, from)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = client.Run(ctx) }()
		work := from.Begin("e1", fleet.Work{ID: "r1", PromptTokens: 3000, OutputTokens: 400}, false)
		time.Sleep(2 * reportInterval)
		is.Equal(at.Candidates(llm, "d")[0].UnreadTokens, 3000)
		work.Produced(4)
		time.Sleep(2 * reportGap)
		is.Equal(at.Candidates(llm, "d")[0].UnreadTokens, 0)
		work.Outcome(true)
		work.End()
		time.Sleep(2 * reportGap)
		is.Equal(at.Candidates(llm, "d")[0].Running, 0)
		at.ApplyOutcomes("other", "e1", fleet.Evidence{Failed: 1}) // with the host that reported its failure, two hosts
		is.Equal(len(at.Candidates(llm, "d")), 0)
	})
}

// Guards against moves whose destination refuses the host that moves the run, until the source has left.
func TestMoveGoesToServerThatTakesRequestsOfItsHost(t *testing.T) {
	for name, avoid := range map[string]func(*fleet.Table){
		"backoff": func(table *fleet.Table) { table.SetBackoff("e2", time.Minute) },
		"rate limit": func(table *fleet.Table) {
			table.SetRateLimit("e2", 0.1, time.Now())
			table.Begin("e2", fleet.Work{}, false)
		},
	} {
		is := is.New(t)
		at, from := engines("a", "e1", "e2", "e3"), engines("b", "e1", "e2", "e3")
		at.SetOthers("c", llm, map[string]fleet.Load{"e3": {Requests: 1, HeldTokens: 3000}}, WholeService(llm).share())
		at.MarkLeaving(fleet.Incarnation{ID: "e1"}, fleet.SourceList)
		_, _, client := pair(t, at, from)
		avoid(from)
		move := migration.Move{Source: "e1", Run: "r1", LostWork: 9000, Need: placement.Need{PromptTokens: 3000, OutputTokens: 500}}
		destination, end, err := client.TakeTurn(context.Background(), llm, move)
		is.NoErr(err)
		end()
		if destination != "e3" {
			t.Errorf("%s: the run goes to %q", name, destination)
		}
	}
}

// Guards against generations that an allocator places outside the failure domains in which
// they may be served.
func TestPlacementStaysInTheAllowedDomains(t *testing.T) {
	is := is.New(t)
	at, from := engines("a", "e1", "e2"), engines("b", "e1", "e2")
	for _, table := range []*fleet.Table{at, from} {
		table.Put(fleet.Server{ID: "e2", Service: llm, Address: "e2", Domain: "far", Slots: 24})
	}
	_, _, client := pair(t, at, from)
	place := func(domains []string) string {
		return client.Place(t.Context(), llm, PlacementRequest{Request: "r", Need: placement.Need{PromptTokens: 10, OutputTokens: 10}, Domains: domains}, nil).Server
	}
	for range 10 {
		is.Equal(place([]string{"far"}), "e2")
		is.Equal(place([]string{"d"}), "e1")
	}
	is.Equal(place([]string{}), "")
	is.Equal(place([]string{"nowhere"}), "")
}
