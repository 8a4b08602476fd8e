package fleet

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Share selects servers: all, those of one failure domain, or a fraction of these.
type Share struct {
	Domain string // failure domain; "": all
	Index  int
	Count  int // number of fractions; zero or one: not divided
}

// Contains reports whether the share includes the server.
func (s Share) Contains(server Server) bool {
	return (s.Domain == "" || s.Domain == server.Domain) && s.Index == ShareIndex(server.ID, s.Count)
}

// ShareIndex returns which of count fractions an id belongs to.
func ShareIndex(id string, count int) int {
	if count <= 1 {
		return 0
	}
	return indexOf(xxhash.Sum64String(id), count)
}

func indexOf(hash uint64, count int) int { return int(hash % uint64(count)) }

// members holds the entries of a service, also by failure domain. Adding and
// removing an entry takes constant time.
type members struct {
	all      []*entry
	byDomain map[string][]*entry
}

// slot is the position of an entry in members.
type slot struct{ all, inDomain int }

func newMembers() members { return members{byDomain: map[string][]*entry{}} }

func (m *members) add(e *entry) {
	e.slot = slot{len(m.all), len(m.byDomain[e.server.Domain])}
	m.all = append(m.all, e)
	m.byDomain[e.server.Domain] = append(m.byDomain[e.server.Domain], e)
}

func (m *members) remove(e *entry) {
	domain := e.server.Domain
	m.all = removeAt(m.all, e.slot.all, func(moved *entry) { moved.slot.all = e.slot.all })
	m.byDomain[domain] = removeAt(m.byDomain[domain], e.slot.inDomain, func(moved *entry) { moved.slot.inDomain = e.slot.inDomain })
	if len(m.byDomain[domain]) == 0 {
		delete(m.byDomain, domain)
	}
}

// removeAt removes the entry at an index and puts the last one into its place.
func removeAt(entries []*entry, index int, moved func(*entry)) []*entry {
	last := len(entries) - 1
	entries[index] = entries[last]
	moved(entries[index])
	entries[last] = nil
	return entries[:last]
}

// in returns the entries of a share. It iterates over the servers of the share's
// failure domain only.
func (m *members) in(share Share) iter.Seq[*entry] {
	entries := m.all
	if share.Domain != "" {
		entries = m.byDomain[share.Domain]
	}
	return func(yield func(*entry) bool) {
		for _, e := range entries {
			if share.includes(e) && !yield(e) {
				return
			}
		}
	}
}

// count returns an upper bound of the number of entries in a share.
func (m *members) count(share Share) int {
	if share.Domain != "" {
		return len(m.byDomain[share.Domain])
	}
	return len(m.all)
}

// includes is Contains with the hash that the entry already has.
func (s Share) includes(e *entry) bool {
	return (s.Domain == "" || s.Domain == e.server.Domain) && (s.Count <= 1 || s.Index == indexOf(e.hash, s.Count))
}
