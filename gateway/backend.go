package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/migration"
)

// Call is a request on its way to a backend server.
type Call struct {
	Server       fleet.Server
	Request      *Request
	Organisation string // "": none
	Priority     int
	// Until is when the server may stop working on it.
	Until time.Time
	// Resume is set for a run that goes on at another server.
	Resume *Resume
	// Stream says that the answer is passed on while it is made.
	Stream bool
}

// Resume names the memory of a run and how far the caller has its events.
type Resume struct {
	Source      fleet.Server // where the copy was ordered
	Handle      string
	LastEventID string
}

// Reply is a backend server's answer. Body has to be closed; closing it before
// its end closes the connection, at which the server stops its work.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// WrongServer says that another server has the address; it ran nothing.
	WrongServer bool
	// Leaving is the server's word that it takes no new work.
	Leaving bool
	// RestFor is how long the server wants no more requests from this host; zero:
	// it does not say.
	RestFor time.Duration
	// Whole says that the answer carries the server's mark of a complete one.
	Whole bool
	// Load is how many requests the server says it has, running and waiting;
	// nil: it does not say.
	Load *int
}

// Copied is the result of copying a run's memory.
type Copied struct {
	// Handle names the copy, or the memory that a stopped source keeps.
	Handle string
	// Done says that the copy is at the destination.
	Done bool
	// Gone says that the source has no such run.
	Gone bool
}

// Allocator places generations with knowledge of what other hosts run.
type Allocator interface {
	// Place returns the server for a generation, or "" if none has a place.
	Place(ctx context.Context, service string, asked allocation.Asked, except []string) string
	// TakeTurn waits until a run may move, and returns where to ("": nowhere)
	// and what ends the turn.
	TakeTurn(ctx context.Context, service string, move migration.Move) (destination string, end func(), err error)
}

// Backend speaks with backend servers. Errors are *backend.CallError, whose
// evidence says whether the server may have run the request.
type Backend interface {
	Send(ctx context.Context, call Call) (*Reply, error)
	// Ended reports whether a server's process has ended: nothing listens at its
	// address. One that cannot be reached has not, as far as is known.
	Ended(ctx context.Context, server fleet.Server) bool
	// Copy copies a run's memory from source to destination. With last the
	// run stops at the source first, and its stream ends there without an end.
	Copy(ctx context.Context, source, destination fleet.Server, run string, last bool) (Copied, error)
	// Discard frees a copy that will not be used.
	Discard(ctx context.Context, source fleet.Server, handle string) error
}
