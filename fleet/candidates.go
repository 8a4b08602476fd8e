package fleet

import (
	"slices"
	"time"

	"github.com/papayasail/papayasail/placement"
)

// Query selects the servers of a service that may get a request.
type Query struct {
	Service string
	Domain  string   // failure domain that the request is sent from
	Share   Share    // servers to choose from
	Domains []string // failure domains of the servers; nil: all
	Except  []string // IDs of servers to leave out
	// ForOthers is set if the query is on behalf of other hosts. Backoffs that
	// servers requested from this host, and this host's shares of what servers accept, are
	// then ignored.
	ForOthers bool
	// ColdShare is the share of a cold server's request rate that this host may
	// use; zero: all of it.
	ColdShare float64
}

// Candidates returns the servers of a service that may get a request from a
// failure domain, without those in except.
func (t *Table) Candidates(name, domain string, except ...string) []placement.Candidate {
	return t.CandidatesFor(Query{Service: name, Domain: domain, Except: except})
}

// inDomains reports whether the server is in one of the failure domains; nil: all.
func (e *entry) inDomains(domains []string) bool {
	return domains == nil || slices.Contains(domains, e.server.Domain)
}

// CandidatesFor returns the servers that match the query. Its cost grows with the
// servers of the service in the share's failure domain.
func (t *Table) CandidatesFor(q Query) []placement.Candidate {
	if q.ColdShare == 0 {
		q.ColdShare = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.service(q.Service), time.Now()
	s.refreshReading(now)
	s.refreshGaps(now)
	hosts := 1
	if !q.ForOthers {
		hosts = t.sharers.Count()
	}
	candidates := make([]placement.Candidate, 0, s.members.count(q.Share)/max(1, q.Share.Count))
	for e := range s.members.in(q.Share) {
		if !e.inDomains(q.Domains) || !e.acceptsRequests() || now.Before(e.unavailableUntil) || slices.Contains(q.Except, e.server.ID) {
			continue
		}
		if !q.ForOthers && (t.inBackoff(e.server.ID, now) || t.rateLimitWait(e.server.ID, now) > 0 || t.rejectionPause(e, now) > 0) {
			continue
		}
		c := t.candidate(e, s, q.Domain, now)
		if limit := t.queueLimit(e, now); limit >= 0 {
			c.QueueLimited, c.QueueLimit = true, limit
			c.AtOwnShare = c.MemoryTokens == 0 && hosts > 1 && e.atOwnShare(c.Slots+limit, hosts, now)
		}
		c.AtColdLimit = s.coldRate > 0 && c.SlowStart && e.coldFull(t.host, s.coldRate*q.ColdShare, now)
		candidates = append(candidates, c)
	}
	return candidates
}

// candidate requires mu.
func (t *Table) candidate(e *entry, s *service, domain string, now time.Time) placement.Candidate {
	c := placement.Candidate{
		ID: e.server.ID, Domain: e.server.Domain, SameDomain: e.server.Domain == domain, Slots: e.server.Slots, MemoryTokens: s.memoryTokens,
		Doubtful: e.health.doubtful || e.suspicion.lastResort() || now.Before(e.shunnedUntil), SlowStart: e.cold(now), Pace: e.pace.estimate, ReadingTokensPerMs: e.reading.value,
		GapMisses: e.gapMisses,
	}
	load := e.ownLoad()
	load.add(t.sumOthers(e, now))
	load.add(e.reservedLoad(now))
	c.Running, c.HeldTokens, c.UsedTokens = load.Requests, load.HeldTokens, load.UsedTokens
	if s.memoryTokens == 0 {
		c.Running = max(c.Running, e.reported.current(now))
		t.setCallTime(&c, e, s, now)
	}
	c.UnreadTokens, c.BriefUnreadTokens = load.UnreadTokens, load.BriefUnreadTokens
	return c
}
