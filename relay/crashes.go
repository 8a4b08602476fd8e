package relay

import (
	"context"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
)

// crashes follows whether backend servers crash under one request.
//
// Failure: a request crashes each server that runs it. Tries of this host and
// repeats of its caller take one server after the other.
type crashes struct {
	table       *quarantine.Table // nil: nothing is followed
	backend     *backend.Client
	fingerprint uint64
	sent        quarantine.Mark // what was known when it was sent last
}

func (r *Relay) crashesOf(request *peerpb.ForwardRequest) *crashes {
	hash := fingerprintOf(request)
	return &crashes{table: r.Quarantine, backend: r.Backend, fingerprint: binary.BigEndian.Uint64(hash[:])}
}

// refusal is the answer while the request is quarantined, else nil. It is to be
// asked before each send.
func (c *crashes) refusal() *contract.Refusal {
	if c.table == nil {
		return nil
	}
	if left := c.table.Quarantined(c.fingerprint); left > 0 {
		return contract.NotRun(contract.ReasonQuarantined, left, "backend servers crash under this request")
	}
	c.sent = c.table.Mark(c.fingerprint)
	return nil
}

// broke takes in that the connection to a server broke before the end of the
// answer; early says that nothing of the answer had come.
func (c *crashes) broke(address string, early bool) {
	if c.table == nil {
		return
	}
	run := quarantine.Run{Fingerprint: c.fingerprint, Sent: c.sent, Early: early, Server: address}
	c.table.Broken(run, func(ctx context.Context) bool { return c.backend.Ended(ctx, address) })
}

// failed takes in that a send ended without an answer.
func (c *crashes) failed(ctx context.Context, address string, err error) {
	if evidenceOf(err) == backend.Broken && ctx.Err() == nil {
		c.broke(address, true)
	}
}

// completed takes in that the request ran to its end.
func (c *crashes) completed() {
	if c.table != nil {
		c.table.Completed(c.fingerprint)
	}
}

// ended takes in how the reading of a generation ended.
func (c *crashes) ended(s *stream, err error) {
	if errors.Is(err, io.EOF) {
		c.completed()
		return
	}
	c.broke(s.place.Server, s.next == 0)
}
