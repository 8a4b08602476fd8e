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

type refusal struct {
	request string
	at      time.Time
}

func newRefusals() *refusals { return &refusals{byKey: map[uint64]refusal{}} }

// record records that a request found no place. If the fingerprint is already
// recorded, the first refusal stays, even if it has expired and has not been
// dropped yet. Expired refusals are dropped when another one is recorded.
func (r *refusals) record(fingerprint uint64, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byKey[fingerprint]; known || fingerprint == 0 {
		return
	}
	r.byKey[fingerprint] = refusal{request, time.Now()}
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
