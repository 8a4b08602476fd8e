package retry

import "time"

const (
	// failureRetention is how long a failed call is kept. Callers repeat a call within
	// its deadline.
	failureRetention = 5 * time.Second
	// maxFailures bounds the failed calls that are kept.
	maxFailures = 4096
)

// Failures are the calls that servers have recently answered with errors of their own, by
// fingerprint. It is not safe for concurrent use.
type Failures struct {
	calls map[uint64]failure
	order []uint64 // fingerprints in the order of their first failures
}

type failure struct {
	server string // that failed first
	twice  bool   // another one failed too
	at     time.Time
}

// NewFailures returns an empty list.
func NewFailures() *Failures { return &Failures{calls: map[uint64]failure{}} }

// Record records that a server has answered a call with an error of its own. It reports
// whether the server is the second one.
func (f *Failures) Record(fingerprint uint64, server string, now time.Time) (second bool) {
	f.prune(now)
	known, ok := f.calls[fingerprint]
	switch {
	case !ok:
		f.add(fingerprint, failure{server: server, at: now})
	case known.server != server && !known.twice:
		known.twice = true
		f.calls[fingerprint] = known
		return true
	}
	return false
}

// RecordTwice records that two servers have answered a call with errors of their own.
func (f *Failures) RecordTwice(fingerprint uint64, now time.Time) {
	f.prune(now)
	known, ok := f.calls[fingerprint]
	if !ok {
		f.add(fingerprint, failure{twice: true, at: now})
		return
	}
	known.twice = true
	f.calls[fingerprint] = known
}

func (f *Failures) add(fingerprint uint64, call failure) {
	f.calls[fingerprint] = call
	f.order = append(f.order, fingerprint)
}

// prune drops the calls that failed too long ago and, if there are too many, the oldest.
func (f *Failures) prune(now time.Time) {
	for len(f.order) > 0 {
		oldest := f.order[0]
		if len(f.order) < maxFailures && now.Sub(f.calls[oldest].at) < failureRetention {
			return
		}
		delete(f.calls, oldest)
		f.order = f.order[1:]
	}
}

// Twice reports whether two servers have recently answered a call with errors of their own.
func (f *Failures) Twice(fingerprint uint64, now time.Time) bool {
	known := f.calls[fingerprint]
	return known.twice && now.Sub(known.at) < failureRetention
}
