// Package sharing counts the entry hosts among which a bound for all of them together
// is divided: the room of a brittle server, the request rate of a cold one, rate limits,
// retry budgets and the limits of organisations.
//
// Hosts divide a bound without agreement, each by its own view of the fleet. The shares
// add up to no more than the bound if each host counts every host that may use one. So a
// host is counted as soon as it is known, and for some time after it has gone: it may be
// paused, cut off or starting again.
package sharing

import (
	"sync"
	"time"
)

const (
	// absentHostShare is how long a host that is no longer present keeps its share.
	absentHostShare = time.Minute
	// joiningHosts is the lowest number of hosts that a starting host assumes until it
	// has met its peers: it knows only itself at first.
	joiningHosts = 32
)

// Hosts are the entry hosts that share bounds, as this host knows them. All methods are
// safe for concurrent use.
type Hosts struct {
	own string

	mu        sync.Mutex           // guards all below; no other lock is acquired while it is held
	shareEnds map[string]time.Time // by host; zero: it is present
	joining   bool                 // this host has not met its peers yet
	expires   time.Time            // when the next share ends; zero: none does
}

// NewHosts returns the hosts that share bounds: only the one with the given name.
func NewHosts(own string) *Hosts {
	return &Hosts{own: own, shareEnds: map[string]time.Time{own: {}}}
}

// StartJoining records that this host does not know its peers yet.
func (h *Hosts) StartJoining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.joining = true
}

// Join records that this host has met its peers, or has none. When the hosts that are gone
// left is not known here, so they keep their shares like those that become absent now.
func (h *Hosts) Join(present, gone []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, host := range gone {
		if _, known := h.shareEnds[host]; !known {
			h.shareEnds[host] = now.Add(absentHostShare)
		}
	}
	h.setPresent(present, now)
	h.joining = false
}

// SetPresent sets the hosts that are present. All others become absent.
func (h *Hosts) SetPresent(present []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setPresent(present, time.Now())
}

// setPresent requires mu.
func (h *Hosts) setPresent(present []string, now time.Time) {
	for host, until := range h.shareEnds {
		if until.IsZero() && host != h.own {
			h.shareEnds[host] = now.Add(absentHostShare)
		}
	}
	for _, host := range present {
		h.shareEnds[host] = time.Time{}
	}
	h.prune(now)
}

// prune drops the hosts whose shares have ended. Requires mu.
func (h *Hosts) prune(now time.Time) {
	h.expires = time.Time{}
	for host, until := range h.shareEnds {
		switch {
		case until.IsZero():
		case !now.Before(until):
			delete(h.shareEnds, host)
		case h.expires.IsZero() || until.Before(h.expires):
			h.expires = until
		}
	}
}

// pruneIfDue requires mu.
func (h *Hosts) pruneIfDue() {
	if now := time.Now(); !h.expires.IsZero() && !now.Before(h.expires) {
		h.prune(now)
	}
}

// Joining reports whether this host has not met its peers yet.
func (h *Hosts) Joining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.joining
}

// Count returns the number of hosts that share a bound, at least 1.
func (h *Hosts) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pruneIfDue()
	if h.joining {
		return max(joiningHosts, len(h.shareEnds))
	}
	return len(h.shareEnds)
}

// CountIf returns the number of known hosts, this one included, for which matches
// returns true. It must not call methods of h.
func (h *Hosts) CountIf(matches func(host string) bool) (count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pruneIfDue()
	for host := range h.shareEnds {
		if matches(host) {
			count++
		}
	}
	return count
}
