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

// crashTracker reports to the quarantine table whether backend servers crash while
// they run one request.
//
// Guards against a request that crashes every server that runs it: retries by
// this host and by the caller would take down one server after another.
type crashTracker struct {
	table       *quarantine.Table // nil: crashes are not tracked
	backend     *backend.Client
	fingerprint uint64
	sentMark    quarantine.Mark // state of the table when the request was last sent
}

func (r *Relay) newCrashTracker(request *peerpb.ForwardRequest) *crashTracker {
	hash := fingerprintOf(request)
	return &crashTracker{table: r.Quarantine, backend: r.Backend, fingerprint: binary.BigEndian.Uint64(hash[:])}
}

// refusal returns a refusal if the request is quarantined, else nil. It must be
// called before each send.
func (c *crashTracker) refusal() *contract.Refusal {
	if c.table == nil {
		return nil
	}
	if left := c.table.Quarantined(c.fingerprint); left > 0 {
		return contract.NotRun(contract.ReasonQuarantined, left, "backend servers crash under this request")
	}
	c.sentMark = c.table.Mark(c.fingerprint)
	return nil
}

// connectionBroke reports that the connection to a server broke before the end of
// the response; early is set if no token had arrived, and for every plain response.
func (c *crashTracker) connectionBroke(address string, early bool) {
	if c.table == nil {
		return
	}
	run := quarantine.Run{Subject: quarantine.Subject{Request: c.fingerprint}, Sent: c.sentMark, Early: early, Server: address}
	c.table.ReportBroken(run, func(ctx context.Context) bool { return c.backend.RefusesConnection(ctx, address) })
}

// sendFailed reports a broken connection if err is evidence of one and ctx has not
// ended. It counts as early, even if part of a plain response had arrived.
func (c *crashTracker) sendFailed(ctx context.Context, address string, err error) {
	if evidenceOf(err) == backend.Broken && ctx.Err() == nil {
		c.connectionBroke(address, true)
	}
}

// completed reports that the request ran to completion.
func (c *crashTracker) completed() {
	if c.table != nil {
		c.table.ReportCompleted(c.fingerprint)
	}
}

// streamEnded reports how a generation's stream ended: err is io.EOF after the last
// chunk, any other error counts as a broken connection.
func (c *crashTracker) streamEnded(s *stream, err error) {
	if errors.Is(err, io.EOF) {
		c.completed()
		return
	}
	c.connectionBroke(s.ref.Server, s.nextOffset == 0)
}
