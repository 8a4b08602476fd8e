// Package fleet is an entry host's table of the backend servers that it may
// use: what the host list says of them, what this host runs on them and how
// that went.
package fleet

import "time"

// Server is what is known of one life of a backend server.
type Server struct {
	ID      string
	Born    int64 // of its life; zero: not said
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int    // requests that it runs at once
	// Leaving says that it takes no new work.
	Leaving bool
	// SlowFor is how much longer it is slow after its start.
	SlowFor time.Duration
}

// OwnWord is what a server says of itself when it is asked.
type OwnWord struct {
	Leaves bool
	// ColdFor is how much longer it is cold; zero: it is not, or does not say.
	ColdFor time.Duration
}

// Life returns which life of the server this is.
func (s Server) Life() Life { return Life{s.ID, s.Born} }

// LeavingSource says from where this host knows that a server is leaving.
type LeavingSource string

// Sources of the knowledge that a server is leaving.
const (
	SourceList     LeavingSource = "host_list"   // its entry says so
	SourceRemoved  LeavingSource = "removed"     // its entry is gone
	SourceReplaced LeavingSource = "replaced"    // another server has its address
	SourceAnswer   LeavingSource = "its_answers" // it says so itself
	SourcePeer     LeavingSource = "peer"        // another entry host says so
	SourceReborn   LeavingSource = "reborn"      // a later life of it is known
)
