package gateway

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/fleet"
)

var errLifeOver = errors.New("gateway: server has started again, and keeps nothing of the run")

// sendTo sends a request to the server of a work. The exchange ends when that
// life of the server does.
//
// Failure: a server crashes behind a cut and starts again under its id. Its
// connections stay silent, and callers waited for the answer of a run that was
// lost until their time was over.
func (t *task) sendTo(ctx context.Context, work *fleet.Work, call Call) (*Reply, error) {
	t.sent = t.gateway.options.Quarantine.Mark(t.fingerprint)
	ctx, cancel := context.WithCancel(ctx)
	unbind := context.AfterFunc(work.Life(), cancel)
	end := func() {
		unbind()
		cancel()
	}
	reply, err := t.gateway.options.Backend.Send(ctx, call)
	if err != nil {
		end()
		return nil, err
	}
	t.heed(call.Server, reply)
	reply.Body = &boundBody{ReadCloser: reply.Body, end: end}
	return reply, nil
}

// resumeAt sends a run to a server that has a copy of its memory.
//
// Failure: source or destination starts again under its id, and its count of
// copies starts anew with it: the name of this run's copy may by now be that of
// another run's, whose tokens the caller would get.
func (t *task) resumeAt(ctx context.Context, work *fleet.Work, call Call) (*Reply, error) {
	if work.Life().Err() != nil || t.gateway.options.Fleet.Superseded(call.Resume.Source.Life()) {
		return nil, errLifeOver
	}
	return t.sendTo(ctx, work, call)
}

// boundBody is an answer's body whose end gives up what it was bound to.
type boundBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *boundBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
