// Package organisation isolates organisations from each other at one service,
// by weighted fair queueing and by limits on requests in flight and tokens.
package organisation

import (
	"container/heap"
	"time"
)

// priorityHeadStart is how much earlier a request counts as queued for each
// level of priority. As it is finite, it cannot starve low priorities.
const priorityHeadStart = time.Second

// Item is a queued request.
type Item[T any] struct {
	Value        T
	Organisation string
	Priority     int       // higher is served earlier, by priorityHeadStart for each level
	Cost         float64   // expected tokens
	QueuedAt     time.Time // when it was added

	rank  time.Time // QueuedAt minus the head start
	index int       // in the organisation's heap; -1: not queued
}

// Queue orders requests fairly across organisations by start-time fair
// queueing: the organisation that has been served the fewest tokens per weight
// is next. Within an organisation, requests are ordered by queueing time, with
// a head start for priority. It is not safe for concurrent use.
type Queue[T any] struct {
	weights func(organisation string) float64
	orgs    map[string]*orgQueue[T]
	active  []*orgQueue[T] // those with queued requests
	clock   float64        // virtual time: highest start tag of the requests served so far
	length  int
	cost    float64
}

type orgQueue[T any] struct {
	name   string
	items  itemHeap[T]
	cost   float64 // of all items
	served float64 // start tag of the next request, in virtual time (tokens per weight)
}

// NewQueue returns an empty queue; weights returns an organisation's weight.
func NewQueue[T any](weights func(organisation string) float64) *Queue[T] {
	return &Queue[T]{weights: weights, orgs: map[string]*orgQueue[T]{}}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.length }

// Cost returns the expected tokens of all queued requests.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Push queues an item.
func (q *Queue[T]) Push(item *Item[T]) {
	org := q.org(item.Organisation)
	if len(org.items) == 0 {
		// An idle organisation accrues no credit: otherwise one that was idle
		// for an hour could delay all others for as long.
		org.served = max(org.served, q.clock)
		q.active = append(q.active, org)
	}
	item.rank = item.rankAt()
	heap.Push(&org.items, item)
	q.length++
	q.cost += item.Cost
	org.cost += item.Cost
}

// CostAhead returns the expected number of tokens that are served before a request
// that an organisation queues now: the cost of the organisation's own queue, plus
// what each other organisation is served while that queue is served, which is its
// fair share, at most the cost of its own queue.
func (q *Queue[T]) CostAhead(organisation string) float64 {
	own := q.org(organisation)
	weight := q.weight(organisation)
	ahead := own.cost
	for _, other := range q.active {
		if other != own {
			ahead += min(other.cost, own.cost*q.weight(other.name)/weight)
		}
	}
	return ahead
}

// CostBefore returns the expected tokens of the queued requests that are served
// before the item, which need not be queued. It takes time in proportion to the
// queue of the item's organisation.
func (q *Queue[T]) CostBefore(item *Item[T]) float64 {
	own, served, rank := q.orgs[item.Organisation], q.clock, item.rankAt()
	ahead := 0.0
	if own != nil {
		for _, other := range own.items {
			if other != item && other.rank.Before(rank) {
				ahead += other.Cost
			}
		}
		served = own.served
		if len(own.items) == 0 {
			served = max(served, q.clock)
		}
	}
	startTag := served + ahead/q.weight(item.Organisation)
	for _, other := range q.active {
		if other != own && other.served < startTag {
			ahead += min(other.cost, (startTag-other.served)*q.weight(other.name))
		}
	}
	return ahead
}

// rankAt is the time by which the item is ordered within its organisation.
func (i *Item[T]) rankAt() time.Time {
	return i.QueuedAt.Add(-time.Duration(i.Priority) * priorityHeadStart)
}

// Peek returns the request to serve next, nil if the queue is empty.
func (q *Queue[T]) Peek() *Item[T] {
	if org := q.next(); org != nil {
		return org.items[0]
	}
	return nil
}

// Each calls f with the first request of each organisation, in the order in
// which they would be served, until f returns false. f must not change the
// queue.
func (q *Queue[T]) Each(f func(*Item[T]) bool) {
	for i := range q.active {
		least := i
		for j := i + 1; j < len(q.active); j++ {
			if q.active[j].before(q.active[least]) {
				least = j
			}
		}
		q.active[i], q.active[least] = q.active[least], q.active[i]
		if !f(q.active[i].items[0]) {
			return
		}
	}
}

// Serve removes an item from the queue and charges its cost to its
// organisation.
func (q *Queue[T]) Serve(item *Item[T]) {
	org := q.orgs[item.Organisation]
	q.Remove(item)
	q.clock = max(q.clock, org.served)
	q.Charge(item.Organisation, item.Cost)
}

// Charge adds tokens to the amount that an organisation has been served; a negative
// number refunds an overestimate. Call it also for requests that are served without
// being queued.
func (q *Queue[T]) Charge(organisation string, tokens float64) {
	org := q.org(organisation)
	if tokens > 0 && len(org.items) == 0 {
		org.served = max(org.served, q.clock)
	}
	org.served += tokens / q.weight(organisation)
}

// Remove removes an item from the queue without charging for it. It does
// nothing if the item is not queued.
func (q *Queue[T]) Remove(item *Item[T]) {
	org := q.orgs[item.Organisation]
	if org == nil || item.index < 0 || item.index >= len(org.items) || org.items[item.index] != item {
		return
	}
	heap.Remove(&org.items, item.index)
	q.length--
	q.cost -= item.Cost
	org.cost -= item.Cost
	if len(org.items) == 0 {
		q.deactivate(org)
	}
}

func (q *Queue[T]) deactivate(org *orgQueue[T]) {
	for i, candidate := range q.active {
		if candidate == org {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			return
		}
	}
}

func (q *Queue[T]) next() *orgQueue[T] {
	var next *orgQueue[T]
	for _, org := range q.active {
		if next == nil || org.before(next) {
			next = org
		}
	}
	return next
}

func (q *Queue[T]) org(name string) *orgQueue[T] {
	org := q.orgs[name]
	if org == nil {
		org = &orgQueue[T]{name: name, served: q.clock}
		q.orgs[name] = org
	}
	return org
}

func (q *Queue[T]) weight(name string) float64 {
	if weight := q.weights(name); weight > 0 {
		return weight
	}
	return 1
}

// before orders by tokens served per weight, then by name, so that the order is
// deterministic.
func (o *orgQueue[T]) before(other *orgQueue[T]) bool {
	if o.served != other.served {
		return o.served < other.served
	}
	return o.name < other.name
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].rank.Before(h[j].rank) }
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	item.index = -1
	return item
}
