package allocation

import (
	"sync"
	"time"
)

const (
	// refusalTTL is how long a refused request is remembered. Callers retry within a second.
	refusalTTL = 5 * time.Second
	// maxRefusals bounds the number of remembered requests. The oldest are dropped first.
	maxRefusals = 4096
)

// refusals records the requests that found no place, to recognise their
// retries. A retry has another ID and the same fingerprint.
//
// While engines are full for some seconds, refused callers are told when to
// retry. If retries compete equally with new requests, half of the callers are
// refused a second time and give up.
type refusals struct {
	mu    sync.Mutex // guards all fields below
	byKey map[uint64]refusal
	order []uint64 // fingerprints, oldest first
}

// refusal is the first refusal of a request and what has come back of it since.
type refusal struct {
	request string
	at      time.Time
	arrived time.Time // when the first attempt arrived
	last    string    // the attempt that was refused last
	retry   string    // the attempt that came after last; "": none so far
}

func newRefusals() *refusals { return &refusals{byKey: map[uint64]refusal{}} }

// record records that a request found no place. If the fingerprint is already
// recorded, the first refusal stays, even if it has expired and has not been
// dropped yet. Expired refusals are dropped when another one is recorded.
func (r *refusals) record(fingerprint uint64, request string, arrived time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.byKey[fingerprint]
	if found && known.retry == request {
		known.last, known.retry = request, ""
		r.byKey[fingerprint] = known
	}
	if found || fingerprint == 0 {
		return
	}
	r.byKey[fingerprint] = refusal{request: request, at: time.Now(), arrived: arrived, last: request}
	r.order = append(r.order, fingerprint)
	for len(r.order) > 0 && (len(r.order) > maxRefusals || time.Since(r.byKey[r.order[0]].at) > refusalTTL) {
		delete(r.byKey, r.order[0])
		r.order = r.order[1:]
	}
}

// returning reports whether another request with the same fingerprint was
// refused within refusalTTL.
func (r *refusals) returning(fingerprint uint64, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.byKey[fingerprint]
	return found && known.request != request && time.Since(known.at) <= refusalTTL
}

// firstArrival returns when the first attempt of the caller arrived, if the request
// is the first one with its fingerprint after a refusal. Equal requests of several
// callers have one fingerprint: after one refusal only one of them is a retry.
func (r *refusals) firstArrival(fingerprint uint64, request string) (arrived time.Time, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused, found := r.byKey[fingerprint]
	if !found || time.Since(refused.at) > refusalTTL {
		return time.Time{}, false
	}
	if refused.retry == "" && refused.last != request {
		refused.retry = request
		r.byKey[fingerprint] = refused
	}
	return refused.arrived, refused.retry == request
}
