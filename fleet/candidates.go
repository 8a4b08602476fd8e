package fleet

import (
	"slices"
	"time"

	"github.com/papayasail/papayasail/placement"
)

// Candidates returns the servers of a service that may get work from a failure
// domain, but for those in except.
func (t *Table) Candidates(name, domain string, except ...string) []placement.Candidate {
	return t.CandidatesAmong(name, domain, func(Server) bool { return true }, except...)
}

// CandidatesAmong returns those of the candidates that are wanted.
func (t *Table) CandidatesAmong(name, domain string, wanted func(Server) bool, except ...string) []placement.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.service(name), time.Now()
	candidates := make([]placement.Candidate, 0, len(s.members))
	for _, e := range s.members {
		if !e.takesWork() || now.Before(e.unreachable) || !wanted(e.server) || slices.Contains(except, e.server.ID) {
			continue
		}
		candidates = append(candidates, e.candidate(s, domain, now))
	}
	return candidates
}

func (e *entry) candidate(s *service, domain string, now time.Time) placement.Candidate {
	c := placement.Candidate{
		ID: e.server.ID, SameDomain: e.server.Domain == domain, Slots: e.server.Slots, MemoryTokens: s.memoryTokens,
		Doubtful: e.health.doubtful, Slow: now.Before(e.slowUntil), Pace: e.pace.least,
	}
	load := e.ownLoad()
	load.add(e.othersLoad(now))
	c.Running, c.HeldTokens, c.UsedTokens = load.Requests, load.HeldTokens, load.UsedTokens
	c.UnreadTokens, c.BriefUnreadTokens = load.UnreadTokens, load.BriefUnreadTokens
	return c
}
