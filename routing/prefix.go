package routing

import (
	"time"

	"github.com/papayasail/papayasail/backend"
)

const (
	maxPrefixes     = 4096             // tracked prefixes per service
	prefixHolders   = 4                // tracked servers per prefix
	prefixMemory    = 30 * time.Second // lifetime of a hint
	prefixLostEvent = 0.5              // weight of a server's earlier hints after lost events
)

// prefixes tracks which servers may have a prompt prefix in their cache. Cache
// events from engines arrive late and some are lost, so an entry is only a hint
// whose weight decays. The service's mutex guards it.
type prefixes struct {
	holders   map[uint64][]holder
	order     []uint64 // ring buffer of the tracked prefixes, oldest at next
	next      int
	sequences map[*ledger]uint64 // sequence number of the last event from each server
	trust     map[*ledger]trust  // servers with lost events
}

// holder is a server that may have a prefix in its cache.
type holder struct {
	ledger *ledger
	at     time.Time
}

// trust is the weight of the hints about one server that are older than a given
// time.
type trust struct {
	before time.Time
	share  float64
}

func newPrefixes() *prefixes {
	return &prefixes{holders: map[uint64][]holder{}, sequences: map[*ledger]uint64{}, trust: map[*ledger]trust{}}
}

// placed records a server as holder of a prefix: a request with it was placed
// there, so the server will have it in its cache.
func (p *prefixes) placed(prefix uint64, l *ledger, now time.Time) {
	if prefix == 0 {
		return
	}
	p.forget(prefix, l)
	held, known := p.holders[prefix]
	if !known {
		p.remember(prefix)
	}
	if len(held) >= prefixHolders {
		held = held[1:]
	}
	p.holders[prefix] = append(held, holder{ledger: l, at: now})
}

// remember starts to track a prefix and evicts the oldest one if there are too
// many.
func (p *prefixes) remember(prefix uint64) {
	if len(p.order) < maxPrefixes {
		p.order = append(p.order, prefix)
		return
	}
	delete(p.holders, p.order[p.next])
	p.order[p.next] = prefix
	p.next = (p.next + 1) % maxPrefixes
}

// forget removes a server from the holders of a prefix.
func (p *prefixes) forget(prefix uint64, l *ledger) {
	held := p.holders[prefix]
	for i := range held {
		if held[i].ledger == l {
			p.holders[prefix] = append(held[:i], held[i+1:]...)
			return
		}
	}
}

// event applies a cache event from a server. After a gap in the sequence numbers
// an eviction may have been missed, so the weight of older hints is reduced.
func (p *prefixes) event(event backend.CacheEvent, l *ledger, now time.Time) {
	if last := p.sequences[l]; last != 0 && event.Sequence > last+1 {
		p.trust[l] = trust{before: now, share: prefixLostEvent}
	}
	p.sequences[l] = event.Sequence
	if event.Evicted {
		p.forget(event.Prefix, l)
		return
	}
	p.placed(event.Prefix, l, now)
}

// chance returns the estimated probability, 0 to 1, that a server still has a
// prefix in its cache. It decays linearly to zero over prefixMemory.
func (p *prefixes) chance(prefix uint64, l *ledger, now time.Time) float64 {
	if prefix == 0 {
		return 0
	}
	for _, h := range p.holders[prefix] {
		if h.ledger != l {
			continue
		}
		chance := max(0, 1-float64(now.Sub(h.at))/float64(prefixMemory))
		if t, doubted := p.trust[l]; doubted && h.at.Before(t.before) {
			chance *= t.share
		}
		return chance
	}
	return 0
}

// CacheEvents applies cache events from the server at address. Events for a
// service that is not in force are ignored.
func (d *Dispatcher) CacheEvents(service, address string, events []backend.CacheEvent) {
	s := d.service(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, event := range events {
		s.prefixes.event(event, s.ledger(address), now)
	}
}
