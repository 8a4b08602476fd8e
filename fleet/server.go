// Package fleet is an entry host's table of the backend servers that it may
// use: what the host list says of them, what this host runs on them and how
// that went.
package fleet

import "time"

// Life is one life of a backend server. A server that starts again has another
// ID, or the same one with another time of birth; either way it holds nothing
// of what ran there before.
type Life struct {
	ID string
	// Born is the server's own word on its start, in Unix ms; zero: not said.
	Born int64
}

// Is reports whether two words may be of the same life. One that does not say
// when it was born tells the ID only.
func (l Life) Is(other Life) bool {
	return l.ID == other.ID && (l.Born == other.Born || l.Born == 0 || other.Born == 0)
}

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
