// Package fleet is an entry host's table of backend servers: their host list
// entries, this host's work on them, the outcomes of its requests and the load
// reported by other hosts.
package fleet

import "time"

// Server describes one incarnation of a backend server.
type Server struct {
	ID      string
	Born    int64 // start time of the incarnation, Unix ms; zero: not reported
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int    // requests that it runs concurrently
	// Leaving is set if the server accepts no new work.
	Leaving bool
	// SlowFor is how much longer the server is cold; zero: not cold, or not reported.
	SlowFor time.Duration
	// Writes is how often the server has written its host list entry.
	Writes int64
}

// SelfReport is the status that a server reports about itself when queried.
type SelfReport struct {
	Asked  time.Time // when it was queried
	Leaves bool      // it accepts no new work
	// MayLeave is set if its answer is one that leaving servers give, and others too.
	MayLeave bool
	// TakesWork is set if it reported that it is healthy and not leaving.
	TakesWork bool
	// ColdFor is how much longer it is cold; zero: not cold, or not reported.
	ColdFor time.Duration
	// ColdKnown is set if ColdFor was reported.
	ColdKnown bool
}

// Incarnation returns the identity of the server's incarnation.
func (s Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// LeavingSource is how this host learned that a server is leaving.
type LeavingSource string

// Sources of the information that a server is leaving.
const (
	SourceList      LeavingSource = "host_list"   // its host list entry is marked as leaving
	SourceRemoved   LeavingSource = "removed"     // its host list entry was removed
	SourceAnswer    LeavingSource = "its_answers" // it reported so itself
	SourcePeer      LeavingSource = "peer"        // another entry host reported so
	SourceRestarted LeavingSource = "reborn"      // another incarnation is known
)
