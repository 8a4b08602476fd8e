package engine

import (
	"container/list"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// maxCacheEvents bounds the log of cache events; older events are dropped.
const maxCacheEvents = 1024

// prefixCache is an LRU cache of prompt prefixes, bounded by its capacity in
// tokens. The engine's mutex guards it.
type prefixCache struct {
	capacity   int
	heldTokens int
	order      *list.List // of prefixEntry, most recently used first
	entries    map[uint64]*list.Element
	sequence   uint64
	log        []cacheEvent
}

type prefixEntry struct {
	prefix uint64
	tokens int
}

// cacheEvent is an event and the time at which it becomes visible.
type cacheEvent struct {
	event backend.CacheEvent
	at    time.Time
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// lookupOrInsert looks up a prefix and returns how many of its tokens need no prefill. It
// inserts a missing prefix and evicts others if needed; publish gets each change.
func (c *prefixCache) lookupOrInsert(prefix uint64, tokens int, publish func(backend.CacheEvent)) int {
	if element := c.entries[prefix]; element != nil {
		c.order.MoveToFront(element)
		return element.Value.(prefixEntry).tokens
	}
	c.entries[prefix] = c.order.PushFront(prefixEntry{prefix, tokens})
	c.heldTokens += tokens
	publish(backend.CacheEvent{Prefix: prefix, Tokens: tokens})
	for c.heldTokens > c.capacity && c.order.Len() > 1 {
		oldest := c.order.Back()
		entry := c.order.Remove(oldest).(prefixEntry)
		delete(c.entries, entry.prefix)
		c.heldTokens -= entry.tokens
		publish(backend.CacheEvent{Prefix: entry.prefix, Tokens: entry.tokens, Evicted: true})
	}
	return 0
}

// publishLocked logs a cache event, or drops it with probability CacheLoss.
func (e *Engine) publishLocked(event backend.CacheEvent) {
	e.cache.sequence++
	event.Sequence = e.cache.sequence
	if e.random.Float64() < e.config.CacheLoss {
		return
	}
	e.cache.log = append(e.cache.log, cacheEvent{event, time.Now().Add(e.config.CacheLag)})
	if len(e.cache.log) > maxCacheEvents {
		e.cache.log = e.cache.log[1:]
	}
}

// cacheEventsLocked returns the visible events after a sequence number.
func (e *Engine) cacheEventsLocked(after uint64) []backend.CacheEvent {
	events := []backend.CacheEvent{}
	now := time.Now()
	for _, entry := range e.cache.log {
		if entry.event.Sequence > after && !now.Before(entry.at) {
			events = append(events, entry.event)
		}
	}
	return events
}
