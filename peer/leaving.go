package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/papayasail/papayasail/peer/peerpb"
)

const (
	// leavingPerMessage is the maximum number of backend servers in one
	// message.
	leavingPerMessage = 8
	// leavingRetransmits is how many times a host gossips one server.
	leavingRetransmits = 12
	// maxLeaving is how far in the future a mark may end, so that a host with a
	// wrong clock cannot remove a server permanently.
	maxLeaving = 24 * time.Hour
)

// LeavingServer is a backend server that accepts no new work until a time.
type LeavingServer struct {
	Server string // IP:port
	Until  time.Time
}

type leavingEntry struct {
	until           time.Time
	retransmitsLeft int // remaining retransmissions
}

// leavingTable holds the backend servers that are leaving. The latest end time
// wins, so that the result does not depend on the order of updates.
type leavingTable struct {
	mu      sync.Mutex // guards entries
	entries map[string]*leavingEntry
}

// mark records servers and reports whether any of them was new or had a later
// end time.
func (t *leavingTable) mark(servers []LeavingServer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range servers {
		until := s.Until.Truncate(time.Millisecond)
		if limit := now.Add(maxLeaving); until.After(limit) {
			until = limit
		}
		known, ok := t.entries[s.Server]
		if s.Server == "" || !until.After(now) || ok && !until.After(known.until) {
			continue
		}
		t.entries[s.Server] = &leavingEntry{until: until, retransmitsLeft: leavingRetransmits}
		changed = true
	}
	return changed
}

// expire deletes servers whose end time has passed, and reports whether there
// were any.
func (t *leavingTable) expire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.entries)
	for server, e := range t.entries {
		if !e.until.After(now) {
			delete(t.entries, server)
		}
	}
	return len(t.entries) != before
}

// list returns the servers that are leaving now, ordered by address.
func (t *leavingTable) list(now time.Time) []LeavingServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []LeavingServer
	for server, e := range t.entries {
		if e.until.After(now) {
			servers = append(servers, LeavingServer{server, e.until})
		}
	}
	slices.SortFunc(servers, func(a, b LeavingServer) int { return cmp.Compare(a.Server, b.Server) })
	return servers
}

// pickUpdates selects servers with remaining retransmissions.
func (t *leavingTable) pickUpdates() []*peerpb.LeavingServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []*peerpb.LeavingServer
	for server, e := range t.entries {
		if e.retransmitsLeft > 0 && len(updates) < leavingPerMessage {
			e.retransmitsLeft--
			updates = append(updates, LeavingServer{server, e.until}.toProto())
		}
	}
	return updates
}

func (s LeavingServer) toProto() *peerpb.LeavingServer {
	return &peerpb.LeavingServer{Server: s.Server, UntilUnixMs: uint64(s.Until.UnixMilli())}
}

func leavingFromProto(list []*peerpb.LeavingServer) []LeavingServer {
	servers := make([]LeavingServer, 0, len(list))
	for _, p := range list {
		servers = append(servers, LeavingServer{p.GetServer(), time.UnixMilli(int64(p.GetUntilUnixMs()))})
	}
	return servers
}

func leavingToProto(list []LeavingServer) []*peerpb.LeavingServer {
	servers := make([]*peerpb.LeavingServer, 0, len(list))
	for _, s := range list {
		servers = append(servers, s.toProto())
	}
	return servers
}
