package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/internal/defaults"
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
	// modestBytes is how much a connection may hold and still end others that hold less.
	modestBytes = 64 << 10
	// readAheadBytes is how much the HTTP server reads ahead of the request that it decodes.
	readAheadBytes = 4 << 10
)

const (
	defaultIntakeMemory = 64 << 20
	// reservedDescriptors are those for files.
	reservedDescriptors = 200
	// minConnections is the smallest default of IntakeOptions.Connections.
	minConnections = 16
	// intakeRetryAfter is the retry delay of a request that an Intake refuses.
	intakeRetryAfter = time.Second
	// intakeLogInterval is the interval between two log lines on ended connections.
	intakeLogInterval = time.Second
	// freeTimeout is the longest wait for the memory of an ended request.
	freeTimeout = time.Second
	// maxDiscardedBytes bounds what is read after an answer that ends a connection.
	maxDiscardedBytes = 256 << 10
	// closingDivisor divides the limit of connections: so many more may be open while they
	// are being closed.
	closingDivisor = 4
	// closingInterval is the interval between checks whether ended connections have closed,
	// and closingTimeout the longest wait for them.
	closingInterval = 2 * time.Millisecond
	closingTimeout  = time.Second
)

const msgIntakeFull = "connections of callers ended: they hold as much as the host bears"

// IntakeOptions configure an Intake. All fields are optional.
type IntakeOptions struct {
	// Memory bounds what callers make the host hold, in bytes; default 64 MiB.
	Memory int64
	// Connections bounds the open connections of callers; default: ConnectionsFor(0).
	Connections int
	// MaxHeadBytes returns the limit of a request's head, in bytes; nil: only the HTTP
	// server's limit holds. Heads over it are answered 431.
	MaxHeadBytes func() int
	// RefusalType and RefusalBody are the content type and the body of the answer to a
	// request that is refused as not run.
	RefusalType string
	RefusalBody []byte
	Logger      *zap.Logger
	Registerer  prometheus.Registerer
}

// ConnectionsFor returns how many connections callers may open to a process that may have so
// many descriptors; zero: as many as the operating system allows. The other descriptors are
// for files, backend servers, the store and other hosts.
func ConnectionsFor(descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if descriptors == 0 || int(limit.Cur) < descriptors {
			descriptors = int(limit.Cur)
		}
	}
	if descriptors == 0 {
		return math.MaxInt32 // the operating system sets no limit
	}
	return max(minConnections, (descriptors-reservedDescriptors)/2)
}

// Intake bounds what callers make a host hold, over all servers that share it: open
// connections, and the memory of connections, heads and bodies. Heads count while they are
// read, before they are decoded.
//
// At a limit, connections without a whole request are ended first, those first that have
// held most for longest. Next are idle connections, from the oldest. A request that has
// arrived whole is not cut off. All methods may be called from any goroutine.
type Intake struct {
	options IntakeOptions
	budget  *bytebudget.Budget
	refusal []byte // answer to a request whose head is not read to its end
	ended   *prometheus.CounterVec

	mu       sync.Mutex // guards the fields below and those of holdings; acquired before the lock of budget
	open     map[*holding]struct{}
	evicted  int       // of the open connections
	loggedAt time.Time // last log line
	unlogged int       // connections ended since then
}

// NewIntake returns an intake without connections.
func NewIntake(o IntakeOptions) *Intake {
	defaults.Set(&o.Memory, defaultIntakeMemory)
	if o.Connections == 0 {
		o.Connections = ConnectionsFor(0)
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	i := &Intake{options: o, budget: bytebudget.New(o.Memory), open: map[*holding]struct{}{}}
	i.budget.MakeRoom = i.makeRoom
	i.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_intake_ended_total",
		Help: "Connections of callers that were ended because callers hold as much as the host bears, by what they were doing.",
	}, []string{"phase"})
	if o.Registerer != nil {
		o.Registerer.MustRegister(i.ended, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "papayasail_intake_connections", Help: "Open connections of callers.",
		}, func() float64 { return float64(i.Connections()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "papayasail_intake_memory_bytes", Help: "Memory that callers' connections, heads and bodies count for.",
		}, func() float64 { return float64(i.budget.Total() - i.budget.Free()) }))
	}
	var refusal bytes.Buffer
	refusal.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	header := http.Header{}
	i.setRefusalHeader(header)
	_ = header.Write(&refusal) // a buffer takes all
	refusal.WriteString("\r\n")
	refusal.Write(o.RefusalBody)
	i.refusal = refusal.Bytes()
	return i
}

// Connections returns the number of open connections.
func (i *Intake) Connections() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.open)
}

// Budget returns the memory that callers share.
func (i *Intake) Budget() *bytebudget.Budget { return i.budget }

// RequestAccount returns the account for the body of a request, which is released after the
// answer. A request to a server without an Intake has an account without a bound.
func RequestAccount(request context.Context) *bytebudget.Account {
	if h := holdingOf(request); h != nil {
		return h.account
	}
	return bytebudget.New(math.MaxInt64).NewAccount()
}

func holdingOf(request context.Context) *holding {
	if c, ok := request.Value(connKey{}).(*drainConn); ok {
		return c.holding
	}
	return nil
}

// evictedError is the error of reading from a connection that an Intake has ended. It is a
// timeout, which the HTTP server does not answer.
type evictedError struct{}

// Error implements error.
func (evictedError) Error() string { return "link: connection ended, callers hold too much" }

// Timeout implements net.Error.
func (evictedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (evictedError) Temporary() bool { return false }

// ErrEvicted is the error of reading from a connection that an Intake has ended.
var ErrEvicted error = evictedError{}

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

// admit accounts for a new connection. It returns nil if there is no room for it.
func (i *Intake) admit(conn net.Conn) *holding {
	h := &holding{intake: i, conn: conn, account: i.budget.NewAccount(), idleBytes: connectionBytes, since: time.Now(), freed: make(chan struct{})}
	if _, secure := conn.(*tls.Conn); secure {
		h.idleBytes += secureBytes
	}
	i.mu.Lock()
	for len(i.open)-i.evicted >= i.options.Connections {
		victim := i.victim(h, h.idleBytes)
		if victim == nil {
			i.recordEnd(phaseAccepted)
			i.mu.Unlock()
			return nil
		}
		i.evict(victim)
	}
	i.open[h] = struct{}{}
	i.mu.Unlock()
	if h.account.Reserve(h.idleBytes) != nil {
		h.close()
		i.mu.Lock()
		defer i.mu.Unlock()
		i.recordEnd(phaseAccepted)
		return nil
	}
	return h
}

// awaitClosed waits while too many ended connections have not closed yet.
func (i *Intake) awaitClosed() {
	most := i.options.Connections + i.options.Connections/closingDivisor
	for end := time.Now().Add(closingTimeout); i.Connections() > most && time.Now().Before(end); {
		time.Sleep(closingInterval)
	}
}

// makeRoom ends a connection in favour of one that needs more memory, and waits until its
// memory is free.
func (i *Intake) makeRoom(account *bytebudget.Account, more int64) bool {
	held := account.Held()
	if held+2*more > i.budget.Total() {
		return false
	}
	freed := i.evictFor(account, held+more)
	if freed == nil {
		return false
	}
	timeout := time.NewTimer(freeTimeout)
	defer timeout.Stop()
	select {
	case <-freed:
		return true
	case <-timeout.C:
		return false
	}
}

// evictFor ends a connection so that another one can hold the given memory. The result is
// closed when the memory is free; nil: there is no connection to end.
func (i *Intake) evictFor(account *bytebudget.Account, memory int64) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	for h := range i.open {
		if h.account != account {
			continue
		}
		victim := i.victim(h, memory)
		if victim == nil {
			return nil
		}
		i.evict(victim)
		return victim.freed
	}
	return nil
}

// victim returns the connection that is ended so that another one can hold the given memory;
// nil: there is none. A connection that holds much ends only those that hold as much.
// Requires mu.
func (i *Intake) victim(by *holding, memory int64) *holding {
	now := time.Now()
	weigh := func(h *holding, held int64) float64 { return float64(held) * now.Sub(h.since).Seconds() }
	var heaviest, oldest *holding
	most := weigh(by, memory)
	for h := range i.open {
		held := h.account.Held()
		if h == by || h.evicted || memory > modestBytes && held < memory {
			continue
		}
		switch h.phase {
		case phaseServing:
		case phaseIdle:
			if oldest == nil || h.since.Before(oldest.since) {
				oldest = h
			}
		default:
			if weight := weigh(h, held); weight > most {
				heaviest, most = h, weight
			}
		}
	}
	if heaviest != nil {
		return heaviest
	}
	return oldest
}

// evict ends a connection. Its memory counts as free at once if it has no request, and else
// when the reader or the handler of the request has returned. Requires mu.
func (i *Intake) evict(h *holding) {
	i.recordEnd(h.phase)
	h.evicted = true
	i.evicted++
	h.account.Revoke()
	if h.phase == phaseAccepted || h.phase == phaseIdle {
		h.free()
	}
	_ = h.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// recordEnd counts and logs that a connection is ended. Requires mu.
func (i *Intake) recordEnd(p phase) {
	i.ended.WithLabelValues(p.String()).Inc()
	i.unlogged++
	now := time.Now()
	if now.Sub(i.loggedAt) < intakeLogInterval {
		return
	}
	i.options.Logger.Warn(msgIntakeFull, zap.Int("ended", i.unlogged), zap.Stringer("last_phase", p), zap.Int("connections", len(i.open)),
		zap.Int("max_connections", i.options.Connections), zap.Int64("memory_bytes", i.budget.Total()-i.budget.Free()), zap.Int64("max_memory_bytes", i.budget.Total()))
	i.loggedAt, i.unlogged = now, 0
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

// handler returns a handler that accounts for requests and their bodies.
func (i *Intake) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := holdingOf(r.Context())
		if h == nil {
			next.ServeHTTP(w, r)
			return
		}
		h.intake.mu.Lock()
		refused := h.refused || h.evicted
		h.intake.mu.Unlock()
		if !refused && r.Body == http.NoBody {
			refused = h.complete() != nil
		}
		defer h.requestEnded()
		if refused {
			i.writeRefusal(w)
			return
		}
		if r.Body != http.NoBody {
			r.Body = &incomingBody{ReadCloser: r.Body, holding: h, request: r, header: w.Header()}
		}
		next.ServeHTTP(w, r)
	})
}

func (i *Intake) setRefusalHeader(header http.Header) {
	header.Set("Connection", "close")
	header.Set("Retry-After", strconv.Itoa(int(intakeRetryAfter.Seconds())))
	header.Set("Content-Length", strconv.Itoa(len(i.options.RefusalBody)))
	if i.options.RefusalType != "" {
		header.Set("Content-Type", i.options.RefusalType)
	}
}

func (i *Intake) writeRefusal(w http.ResponseWriter) {
	i.setRefusalHeader(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(i.options.RefusalBody) // the caller may be gone
}

// incomingBody is the body of a request on a connection of an Intake.
type incomingBody struct {
	io.ReadCloser
	holding *holding
	request *http.Request
	header  http.Header // of the answer
}

// Read implements io.Reader. At the end of the body it drops the trailers, whose number the
// caller decides and which nobody reads.
func (b *incomingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil
		if ended := b.holding.complete(); ended != nil {
			err = ended
		}
	}
	if errors.Is(err, ErrEvicted) {
		b.header.Set("Connection", "close")
	}
	return n, err
}
