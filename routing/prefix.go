package routing

import (
	"time"

	"github.com/papayasail/papayasail/backend"
)

const (
	maxPrefixes     = 4096             // tracked prefixes per service
	prefixHolders   = 4                // tracked servers per prefix
	prefixHintTTL   = 30 * time.Second // lifetime of a hint
	lostEventWeight = 0.5              // weight of a server's earlier hints after lost events
)

// prefixes tracks which servers may have a prompt prefix in their cache. Cache
// events from engines arrive late and some are lost, so an entry is only a hint
// whose weight decays. The service's mutex guards it.
type prefixes struct {
	holders    map[uint64][]holder
	order      []uint64 // ring buffer of the tracked prefixes, oldest at next
	next       int
	sequences  map[*serverLoad]uint64     // sequence number of the last event from each server
	hintWeight map[*serverLoad]hintWeight // servers with lost events
}

// holder is a server that may have a prefix in its cache.
type holder struct {
	serverLoad *serverLoad
	at         time.Time
}

// hintWeight is the weight of the hints about one server that are older than a
// given time.
type hintWeight struct {
	before time.Time
	share  float64
}

func newPrefixes() *prefixes {
	return &prefixes{holders: map[uint64][]holder{}, sequences: map[*serverLoad]uint64{}, hintWeight: map[*serverLoad]hintWeight{}}
}

// addHolder records a server as holder of a prefix: a request with it was placed
// there and will bring it into the cache, or the server reported it as cached.
func (p *prefixes) addHolder(prefix uint64, l *serverLoad, now time.Time) {
	if prefix == 0 {
		return
	}
	p.removeHolder(prefix, l)
	held, known := p.holders[prefix]
	if !known {
		p.track(prefix)
	}
	if len(held) >= prefixHolders {
		held = held[1:]
	}
	p.holders[prefix] = append(held, holder{serverLoad: l, at: now})
}

// track starts to track a prefix and evicts the oldest one if there are too
// many.
func (p *prefixes) track(prefix uint64) {
	if len(p.order) < maxPrefixes {
		p.order = append(p.order, prefix)
		return
	}
	delete(p.holders, p.order[p.next])
	p.order[p.next] = prefix
	p.next = (p.next + 1) % maxPrefixes
}

// removeHolder removes a server from the holders of a prefix.
func (p *prefixes) removeHolder(prefix uint64, l *serverLoad) {
	held := p.holders[prefix]
	for i := range held {
		if held[i].serverLoad == l {
			p.holders[prefix] = append(held[:i], held[i+1:]...)
			return
		}
	}
}

// event applies a cache event from a server. After a gap in the sequence numbers
// an eviction may have been missed, so the weight of older hints is reduced.
func (p *prefixes) event(event backend.CacheEvent, l *serverLoad, now time.Time) {
	if last := p.sequences[l]; last != 0 && event.Sequence > last+1 {
		p.hintWeight[l] = hintWeight{before: now, share: lostEventWeight}
	}
	p.sequences[l] = event.Sequence
	if event.Evicted {
		p.removeHolder(event.Prefix, l)
		return
	}
	p.addHolder(event.Prefix, l, now)
}

// chance returns the estimated probability, 0 to 1, that a server still has a
// prefix in its cache. It decays linearly to zero over prefixHintTTL.
func (p *prefixes) chance(prefix uint64, l *serverLoad, now time.Time) float64 {
	if prefix == 0 {
		return 0
	}
	for _, h := range p.holders[prefix] {
		if h.serverLoad != l {
			continue
		}
		chance := max(0, 1-float64(now.Sub(h.at))/float64(prefixHintTTL))
		if w, reduced := p.hintWeight[l]; reduced && h.at.Before(w.before) {
			chance *= w.share
		}
		return chance
	}
	return 0
}

// HandleCacheEvents applies cache events from the server at address. Events for a
// service that is not in force are ignored.
func (d *Dispatcher) HandleCacheEvents(service, address string, events []backend.CacheEvent) {
	s := d.service(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, event := range events {
		s.prefixes.event(event, s.serverLoad(address), now)
	}
}
