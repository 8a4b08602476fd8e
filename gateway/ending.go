package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fleet"
)

// endCheckTimeout bounds the check whether a server has ended; the caller waits for it.
const endCheckTimeout = 100 * time.Millisecond

var errServerEnded = errors.New("gateway: server ended with its answer")

// marksEnd reports whether an answer marks its own end, that is, is not close-delimited. It
// is then whole once it was read to its end.
func marksEnd(reply *Reply) bool { return reply.Framing != backend.FramedByConnection }

// confirmEnd returns nil if an answer that was read to its end counts as whole. The server
// of a close-delimited one must still be running: the connections of a process that ends
// are closed in order, too.
func (t *task) confirmEnd(ctx context.Context, work *fleet.Work, reply *Reply) error {
	if marksEnd(reply) {
		return nil
	}
	if work.Context().Err() != nil { // known to have restarted
		return errServerEnded
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if !t.gateway.options.Backend.MayBeRunning(ctx, work.Server()) {
		return errServerEnded
	}
	return nil
}
