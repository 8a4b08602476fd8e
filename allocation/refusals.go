package allocation

import (
	"sync"
	"time"
)

const (
	// refusalKept is how long a refused request is remembered; callers come
	// back within a second.
	refusalKept = 5 * time.Second
	// refusalsKept bounds how many are; the oldest are forgotten first.
	refusalsKept = 4096
)

// refusals remembers requests that found no place, to know those that come
// back. A request that comes back has another id, and the same fingerprint.
//
// The load it answers: engines are full for seconds, callers are refused and
// told when to come back. They compete anew with all others, and half of them
// were refused a second time, for good.
type refusals struct {
	mu    sync.Mutex // guards all below
	byKey map[uint64]refusal
	order []uint64 // fingerprints, oldest first
}

type refusal struct {
	request string
	at      time.Time
}

func newRefusals() *refusals { return &refusals{byKey: map[uint64]refusal{}} }

// note remembers that a request found no place. Of a request that asks several
// times the first counts.
func (r *refusals) note(fingerprint uint64, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byKey[fingerprint]; known || fingerprint == 0 {
		return
	}
	r.byKey[fingerprint] = refusal{request, time.Now()}
	r.order = append(r.order, fingerprint)
	for len(r.order) > 0 && (len(r.order) > refusalsKept || time.Since(r.byKey[r.order[0]].at) > refusalKept) {
		delete(r.byKey, r.order[0])
		r.order = r.order[1:]
	}
}

// returning reports whether another request with the fingerprint was refused a
// moment ago.
func (r *refusals) returning(fingerprint uint64, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.byKey[fingerprint]
	return found && known.request != request && time.Since(known.at) <= refusalKept
}
