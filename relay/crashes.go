package relay

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
)

const quarantinedDetail = "backend servers crash under this request, or under others with the same beginning of the prompt"

var errQuarantined = errors.New("relay: request was quarantined while it ran")

// crashTracker reports to the quarantine table whether backend servers crash while
// they run one request.
//
// Guards against a request that crashes every server that runs it: retries by
// this host and by the caller, and other requests whose prompts begin alike, would take
// down one server after another.
type crashTracker struct {
	table     *quarantine.Table // nil: crashes are not tracked
	backend   *backend.Client
	subject   quarantine.Subject
	cancel    func()                // cancels the run
	admission *quarantine.Admission // nil until the first send
}

// newCrashTracker returns the tracker of a request; prompt is empty for calls. cancel
// must cancel the run.
func (r *Relay) newCrashTracker(request *peerpb.ForwardRequest, prompt string, cancel func()) *crashTracker {
	hash := fingerprintOf(request)
	subject := quarantine.Subject{Request: binary.BigEndian.Uint64(hash[:]), Parts: promptParts(request.GetService(), prompt)}
	return &crashTracker{table: r.Quarantine, backend: r.Backend, subject: subject, cancel: cancel}
}

// refusal returns a refusal if the request is quarantined, else nil. It must be
// called before a server is chosen.
func (c *crashTracker) refusal() *contract.Refusal {
	if c.table == nil {
		return nil
	}
	var left time.Duration
	if c.admission == nil {
		c.admission, left = c.table.Admit(c.subject, c.cancel)
	} else {
		left = c.admission.Left()
	}
	if left > 0 {
		return contract.NotRun(contract.ReasonQuarantined, left, quarantinedDetail)
	}
	return nil
}

// sending must be called before each send, with the address of the server.
func (c *crashTracker) sending(address string) {
	if c.admission != nil {
		c.admission.Sending(address)
	}
}

// cancelled returns the refusal of a request that was quarantined while it waited or
// ran, and the given one for any other request. It must be called before end.
func (c *crashTracker) cancelled(ctx context.Context, refusal *contract.Refusal) *contract.Refusal {
	if c.admission == nil || context.Cause(ctx) != errQuarantined {
		return refusal
	}
	return contract.NotRun(contract.ReasonQuarantined, c.admission.Left(), quarantinedDetail)
}

// awaitTurn waits, for a short time, until no other call that is suspected of crashing
// servers runs on this host. The returned function must be called after the send.
func (c *crashTracker) awaitTurn(ctx context.Context) (over func()) {
	if c.admission == nil {
		return func() {}
	}
	return c.admission.AwaitTurn(ctx)
}

// end must be called when the request has ended.
func (c *crashTracker) end() {
	if c.admission != nil {
		c.admission.End()
	}
}

// connectionBroke reports that the connection to a server broke before the end of
// the response.
func (c *crashTracker) connectionBroke(address string) {
	if c.admission != nil {
		c.admission.Broken("", address, false, func(ctx context.Context) bool { return c.backend.RefusesConnection(ctx, address) })
	}
}

// sendFailed reports a broken connection if err is evidence of one and ctx has not
// ended.
func (c *crashTracker) sendFailed(ctx context.Context, address string, err error) {
	if evidenceOf(err) == backend.Broken && ctx.Err() == nil {
		c.connectionBroke(address)
	}
}

// answering records that a server has begun to answer.
func (c *crashTracker) answering() {
	if c.admission != nil {
		c.admission.Answering()
	}
}

// wrote records that a token has arrived.
func (c *crashTracker) wrote() {
	if c.admission != nil {
		c.admission.Wrote()
	}
}

// completed reports that the request ran to completion.
func (c *crashTracker) completed() {
	if c.admission != nil {
		c.admission.Completed()
	}
}

// streamEnded reports how a generation's stream ended: err is io.EOF after the last
// chunk, any other error counts as a broken connection.
func (c *crashTracker) streamEnded(s *stream, err error) {
	if errors.Is(err, io.EOF) {
		c.completed()
		return
	}
	c.connectionBroke(s.ref.Server)
}
