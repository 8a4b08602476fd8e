package fleet

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

const (
	msgColdNews = "backend server is cold, as it reported to a host"

	// coldNewsRetransmits is how often one host gossips that a server is cold, and
	// maxColdNews how many servers one message names.
	coldNewsRetransmits = 8
	maxColdNews         = 8
	// maxColdServers bounds the servers of which hosts tell each other.
	maxColdServers = 1024
	// coldNewsResolution is the minimum difference between two cold times of a server at
	// which one is news: gossip adds its own delay to what it passes on.
	coldNewsResolution = 200 * time.Millisecond
)

// ColdServer is news of a server that has reported to a host that it is cold.
type ColdServer struct {
	Server string // ID
	Left   time.Duration
}

// coldNews is news of one server that this host passes on.
type coldNews struct {
	until           time.Time
	retransmitsLeft int
}

// recordCold records that a server is cold for some more time and reports whether that is
// news to this host. Requires mu.
func (t *Table) recordCold(server string, left time.Duration, now time.Time) bool {
	until := now.Add(min(left, maxColdTime))
	known := t.coldNews[server]
	if left <= 0 || until.Sub(known.until) < coldNewsResolution || len(t.coldNews) >= maxColdServers && known.until.IsZero() {
		return false
	}
	t.coldNews[server] = coldNews{until, coldNewsRetransmits}
	return true
}

// MergeColdServers merges news from another host and reports whether any of it was new.
func (t *Table) MergeColdServers(news []ColdServer) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, n := range news {
		if !t.recordCold(n.Server, n.Left, now) {
			continue
		}
		changed = true
		if e := t.servers[n.Server]; e != nil && !e.cold(now.Add(n.Left-coldNewsResolution)) {
			e.markColdFor(n.Left)
			t.logger.Info(msgColdNews, zap.String("server", n.Server), zap.Duration("for", n.Left))
		}
	}
	return changed
}

// ColdServers returns all news, for a host that joins.
func (t *Table) ColdServers() (news []ColdServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pruneColdNews(now)
	for id, known := range t.coldNews {
		news = append(news, ColdServer{id, known.until.Sub(now)})
	}
	return news
}

// GossipColdServers returns the news for one gossip message to another host.
func (t *Table) GossipColdServers() (news []ColdServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pruneColdNews(now)
	for id, known := range t.coldNews {
		if known.retransmitsLeft > 0 && len(news) < maxColdNews {
			known.retransmitsLeft--
			t.coldNews[id] = known
			news = append(news, ColdServer{id, known.until.Sub(now)})
		}
	}
	return news
}

// pruneColdNews drops the news of servers that are no longer cold. Requires mu.
func (t *Table) pruneColdNews(now time.Time) {
	maps.DeleteFunc(t.coldNews, func(_ string, known coldNews) bool { return !now.Before(known.until) })
}
