package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/fleet"
)

var errServerRestarted = errors.New("gateway: server restarted and no longer has the run")

// sendTo sends a request to the server on which work is reserved. It cancels the
// exchange when that incarnation of the server has ended.
//
// A server that crashes behind a network partition and restarts under its ID
// leaves its old connections silent. Without the cancellation, callers wait for
// the answer of a lost run until their deadline.
func (t *task) sendTo(ctx context.Context, work *fleet.Work, call Call) (*Reply, error) {
	t.admission.Sending(work.Server().ID)
	ctx, cancel := context.WithCancel(ctx)
	unbind := context.AfterFunc(work.Context(), cancel)
	end := func() {
		unbind()
		cancel()
	}
	sent := time.Now()
	reply, err := t.gateway.options.Backend.Send(ctx, call)
	if err != nil {
		end()
		return nil, err
	}
	t.admission.Answering()
	t.through, t.framing = reply.Through, reply.Framing
	t.recordServerState(call.Server, reply, sent)
	reply.Body = &boundBody{ReadCloser: reply.Body, end: end}
	return reply, nil
}

// resumeAt resumes a run on a server that has a copy of its memory.
//
// It fails if source or destination has restarted under its ID. The restart also
// resets the server's copy counter, so that the handle of this copy may now
// identify a copy of another run, whose tokens the caller would receive.
func (t *task) resumeAt(ctx context.Context, work *fleet.Work, call Call) (*Reply, error) {
	if work.Context().Err() != nil || t.gateway.options.Fleet.Superseded(call.Resume.Source.Incarnation()) {
		return nil, errServerRestarted
	}
	return t.sendTo(ctx, work, call)
}

// boundBody is an answer's body that releases the resources of its exchange when
// it is closed.
type boundBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *boundBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
