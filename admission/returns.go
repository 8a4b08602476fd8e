package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxReturns is the number of queue positions that are kept by default.
	MaxReturns = 4096
	// earlyTolerance is how much earlier than told a caller may retry and still get
	// its position. It covers the rounding of Retry-After and different clocks.
	earlyTolerance = 200 * time.Millisecond
)

// Returns keeps the queue positions of refused callers, so that a caller that
// retries when it is told to is queued by the arrival of its first attempt. It is
// not safe for concurrent use.
//
// If its content is lost, callers that retry are queued by the arrival of their
// retry, like new ones.
type Returns struct {
	capacity int
	kept     *simplelru.LRU[uint64, *keptPosition] // only Peek is used, so that the oldest is evicted first
	metrics  *Metrics
}

// keptPosition is a queue position of a refused caller.
type keptPosition struct {
	refused  string // request that was refused
	returned string // request that came back first; empty: none so far
	granted  bool   // returned has the position
	arrived  time.Time
	due      time.Time
	until    time.Time
}

// endsBy is when the refused caller is assumed to have retried or given up. A request
// that comes later with the same content is another one.
func (p *keptPosition) endsBy() time.Time { return p.until.Add(p.until.Sub(p.due)) }

// NewReturns returns an empty table of at most capacity positions. metrics may be nil.
func NewReturns(capacity int, metrics *Metrics) *Returns {
	capacity = max(1, capacity)
	kept, _ := simplelru.NewLRU[uint64, *keptPosition](capacity, nil) // the only error is a capacity below 1
	return &Returns{capacity: capacity, kept: kept, metrics: metrics}
}

// Keep keeps the position of a refused request for a retry from due to until. A
// caller that has retried already gets no second position: the fingerprint is
// ignored unless the first position ends before the second one is due. Equal requests of several callers have
// one fingerprint and share one position.
func (r *Returns) Keep(fingerprint uint64, request string, arrived, due, until time.Time) {
	if fingerprint == 0 {
		return
	}
	if older, found := r.kept.Peek(fingerprint); found {
		if older.until.After(due) {
			return
		}
		r.kept.Remove(fingerprint)
	}
	if _, oldest, found := r.kept.GetOldest(); found && r.kept.Len() == r.capacity && oldest.returned == "" {
		r.metrics.returned(returnLost)
	}
	r.kept.Add(fingerprint, &keptPosition{refused: request, arrived: arrived, due: due, until: until})
	r.metrics.returned(returnKept)
}

// Claim returns when the first attempt arrived if the request is a retry of one whose
// position was kept (zero: not known), and whether it is granted that position.
//
// The first retry decides: if it comes too early or too late, the position is
// forfeited. A retry without its position is queued by its own arrival, but whether
// it can be on time depends on the first attempt. Repeated calls for one request
// return the same.
func (r *Returns) Claim(fingerprint uint64, request string, now time.Time) (arrived time.Time, kept bool) {
	position, found := r.kept.Peek(fingerprint)
	if fingerprint == 0 || !found || position.refused == request {
		return time.Time{}, false
	}
	switch {
	case position.returned == request:
		return position.arrived, position.granted
	case now.After(position.endsBy()):
		if position.returned == "" {
			r.metrics.returned(returnExpired)
			r.kept.Remove(fingerprint)
		}
		return time.Time{}, false
	case position.returned != "":
		return position.arrived, false
	}
	position.returned = request
	switch {
	case now.Before(position.due.Add(-earlyTolerance)):
		r.metrics.returned(returnEarly)
	case now.After(position.until):
		r.metrics.returned(returnExpired)
	default:
		position.granted = true
		r.metrics.returned(returnClaimed)
	}
	return position.arrived, position.granted
}
