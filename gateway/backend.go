package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/migration"
)

// Call is a request to be sent to a backend server.
type Call struct {
	Server       fleet.Server
	Request      *Request
	Organisation string // "": none
	Priority     int
	// Deadline is when the server may stop working on the request.
	Deadline time.Time
	// Resume is set for a run that is resumed on another server.
	Resume *Resume
	// LastEventID is the event after which a new run begins; "": from the start. It does
	// not apply if Resume is set.
	LastEventID string
	// Stream is set if the answer is relayed while it is generated.
	Stream bool
}

// Resume identifies the copied memory of a run and the last event that was
// relayed to the caller.
type Resume struct {
	Source      fleet.Server // server on which the copy was ordered
	Handle      string
	LastEventID string
}

// Reply is a backend server's answer. The caller must close Body; closing it
// before its end closes the connection, which makes the server cancel the work.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set if the server reports that it did not run the request.
	NotRun bool
	// WrongServer is set if another server has the address; it did not run the
	// request.
	WrongServer bool
	// Leaving is set if the server reports that it accepts no new work.
	Leaving bool
	// Closing is set if the server announces that it closes the connection.
	Closing bool
	// BackoffFor is how long the server asks this host to send it no requests; zero:
	// not reported.
	BackoffFor time.Duration
	// RateLimit is the number of requests per second that the server accepts from
	// all hosts together; zero: it names no limit; nil: not known.
	RateLimit *float64
	// Brittleness is what the server says about the requests that it can reject; nil: not
	// known.
	Brittleness *fleet.Brittleness
	// Complete is set if the head of the answer carries the header with which the
	// server marks its complete answers. Without it, the answer may come from
	// something else or be partial.
	Complete bool
	// Load is the load that the server reports; nil: not reported.
	Load *fleet.ReportedLoad
	// Framing is what marks the end of the answer's body.
	Framing backend.Framing
	// Through is the entry host through which the server was reached; "": directly.
	Through string
}

// CopyResult is the result of copying a run's memory.
type CopyResult struct {
	// Handle identifies the copy, or the memory that a stopped source retains.
	Handle string
	// Done is set if the copy has arrived at the destination.
	Done bool
	// Gone is set if the source does not have the run.
	Gone bool
}

// Allocator places generations, taking the load of other hosts into account.
type Allocator interface {
	// Place returns the server for a generation, or none if none has capacity within
	// req.Hold. Servers in except are not considered.
	Place(ctx context.Context, service string, req allocation.PlacementRequest, except []string) allocation.Placement
	// TakeTurn waits until a run may move and returns the ID of the destination
	// ("": there is none) and a function that ends the turn.
	TakeTurn(ctx context.Context, service string, move migration.Move) (destination string, end func(), err error)
}

// Backend sends requests to backend servers. Errors are *backend.CallError, whose
// evidence indicates whether the server may have run the request.
type Backend interface {
	// Send sends a request and returns the answer.
	Send(ctx context.Context, call Call) (*Reply, error)
	// RefusesConnection reports whether a server's process has ended, which is the case if
	// nothing listens at its address. A server that cannot be reached counts as
	// running.
	RefusesConnection(ctx context.Context, server fleet.Server) bool
	// MayBeRunning reports whether a server's process may still be running. It does not if a
	// connection to its address is refused, or can be opened by no way while this host has
	// lost the paths to most servers of the service: that is no evidence against the
	// server, but none for it either.
	MayBeRunning(ctx context.Context, server fleet.Server) bool
	// Copy copies a run's memory from source to destination. If last is set, the
	// source stops the run first, and its stream ends there without an end event.
	Copy(ctx context.Context, source, destination fleet.Server, run string, last bool) (CopyResult, error)
	// Discard frees a copy that will not be used.
	Discard(ctx context.Context, source fleet.Server, handle string) error
}
