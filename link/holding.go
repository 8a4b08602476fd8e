package link

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/papayasail/papayasail/internal/bytebudget"
)

// What a connection counts for in the memory of an Intake, in bytes.
const (
	connectionBytes = 8 << 10  // a connection without a request
	secureBytes     = 24 << 10 // a TLS connection, beside that
	requestBytes    = 16 << 10 // a request, beside its head and body
	// headByteCost counts a byte of a head with its copies: in the decoded headers and in
	// the head that is sent to a backend server.
	headByteCost = 4
	// headLineCost counts a line of a head: its entry in the map of headers, twice.
	headLineCost = 256
	// readAheadBytes is how much the HTTP server reads ahead of the request that it decodes.
	readAheadBytes = 4 << 10
)

// maxDiscardedBytes bounds what is read after an answer that ends a connection.
const maxDiscardedBytes = 256 << 10

// phase is what a connection is doing.
type phase int

const (
	phaseAccepted phase = iota // nothing has arrived
	phaseHead                  // a head arrives
	phaseBody                  // a head has arrived, its body has not
	phaseServing               // a whole request has arrived
	phaseIdle                  // the last answer was sent
)

func (p phase) String() string { return [...]string{"accepted", "head", "body", "serving", "idle"}[p] }

// holding is what one connection makes the host hold.
type holding struct {
	intake  *Intake
	conn    net.Conn
	account *bytebudget.Account
	// idleBytes is what it counts for without a request.
	idleBytes int64

	// Guarded by intake.mu.
	phase   phase
	since   time.Time // when it began to send a request, became idle, or was accepted
	evicted bool
	refused bool          // there was no room for its request
	freed   chan struct{} // closed when it holds no memory any more

	// headBytes is the size of the current head so far, and of what was read with it. It is
	// used by whoever reads from the connection, like readAhead.
	headBytes int
	// readAhead is the cost of bytes that may belong to the next head.
	readAhead int64
}

// close ends the accounting of a connection that is closed.
func (h *holding) close() {
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	if _, open := h.intake.open[h]; !open {
		return
	}
	delete(h.intake.open, h)
	if h.evicted {
		h.intake.evicted--
	}
	h.account.Revoke()
	h.free()
}

// free returns the memory of a connection that is ended or closed. Requires intake.mu.
func (h *holding) free() {
	h.account.Release()
	select {
	case <-h.freed:
	default:
		close(h.freed)
	}
}

// requestEnded frees the memory of a request that was ended, after its handler has returned.
func (h *holding) requestEnded() {
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	if h.evicted {
		h.free()
	}
}

// state returns the phase, and whether the connection is ended.
func (h *holding) state() (phase, bool) {
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	return h.phase, h.evicted
}

// discardRest reads what the caller still sends, for finalWait at most, after an answer: bytes
// that are not read when the connection closes reset it, and the caller loses the answer.
func (h *holding) discardRest() {
	if half, ok := h.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the caller may be gone
	}
	_ = h.conn.SetReadDeadline(time.Now().Add(finalWait))  // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, h.conn, maxDiscardedBytes) // ends with the deadline
}

// beforeRead returns an error if the connection is ended. An idle one is read a final time,
// in case a request has arrived.
func (h *holding) beforeRead() error {
	p, evicted := h.state()
	switch {
	case !evicted:
		return nil
	case p == phaseIdle:
		return h.conn.SetReadDeadline(time.Now().Add(finalWait))
	}
	return h.interrupted(ErrEvicted)
}

// evictedIdle reports whether the connection was ended while it was idle.
func (h *holding) evictedIdle() bool {
	p, evicted := h.state()
	return evicted && p == phaseIdle
}

// trackState follows http.ConnState.
func (h *holding) trackState(state http.ConnState) {
	switch state {
	case http.StateActive: // the head was read
		if p, _ := h.state(); p != phaseHead {
			h.begin(h.readAhead) // all of it had been read ahead
		}
		h.setPhase(phaseBody)
	case http.StateIdle:
		h.setPhase(phaseIdle)
		h.account.ReleaseTo(h.idleBytes + h.readAhead)
	}
}

func (h *holding) setPhase(p phase) {
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	h.phase = p
	if p == phaseIdle {
		h.since = time.Now()
	}
}

// begin accounts for a request that begins to arrive, with the given cost of its head so far.
func (h *holding) begin(cost int64) {
	h.intake.mu.Lock()
	if h.evicted { // it was idle, and its request arrived before it closed
		h.evicted, h.freed = false, make(chan struct{})
		h.intake.evicted--
		h.account.Restore()
		cost += h.idleBytes
	}
	h.phase, h.since = phaseHead, time.Now()
	h.intake.mu.Unlock()
	h.reserve(requestBytes + cost)
}

// reserve reserves memory for the current request, or marks it as refused.
func (h *holding) reserve(cost int64) {
	if h.account.Reserve(cost) == nil {
		return
	}
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	if !h.evicted && !h.refused {
		h.intake.recordEnd(h.phase)
	}
	h.refused = true
}

// received accounts for bytes that were read. It returns an error if there is no room for
// the head that they belong to.
func (h *holding) received(data []byte) error {
	tail := data[max(0, len(data)-readAheadBytes):]
	cost := headByteCost*int64(len(data)) + headLineCost*int64(bytes.Count(data, []byte("\n")))
	p, evicted := h.state()
	switch p {
	case phaseBody:
		h.readAhead = headByteCost*int64(len(tail)) + headLineCost*int64(bytes.Count(tail, []byte("\n")))
		if evicted {
			return ErrEvicted
		}
		return nil
	case phaseServing:
		h.readAhead += cost
		return nil
	case phaseAccepted, phaseIdle:
		h.headBytes = 0
		h.begin(cost)
	default:
		h.reserve(cost)
	}
	h.readAhead = cost
	if err := h.refuseHead(); err != nil {
		return err
	}
	h.headBytes += len(data)
	if limit := h.intake.options.MaxHeadBytes; limit != nil && h.headBytes > limit()+readAheadBytes {
		h.answer(headTooLarge)
		h.discardRest()
		return ErrEvicted
	}
	return nil
}

// headTooLarge is the answer to a request whose head is over its limit.
var headTooLarge = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// answer answers a request whose head is not read to its end.
func (h *holding) answer(text []byte) {
	_ = h.conn.SetWriteDeadline(time.Now().Add(finalWait)) // fails only on a closed connection
	_, _ = h.conn.Write(text)                              // the caller may be gone
}

// refuseHead answers a request that was ended or refused while its head arrives.
func (h *holding) refuseHead() error {
	h.intake.mu.Lock()
	refuse := h.evicted || h.refused
	h.intake.mu.Unlock()
	if !refuse {
		return nil
	}
	h.answer(h.intake.refusal)
	return ErrEvicted
}

// interrupted returns the error of a read that failed because the connection was ended, or
// the given error.
func (h *holding) interrupted(err error) error {
	p, evicted := h.state()
	switch {
	case !evicted:
		return err
	case p == phaseHead:
		return h.refuseHead()
	}
	return ErrEvicted
}

// complete marks the current request as whole. It returns an error if the connection was
// ended before.
func (h *holding) complete() error {
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	if h.evicted || h.refused {
		return ErrEvicted
	}
	h.phase = phaseServing
	return nil
}
