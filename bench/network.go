package bench

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/link"
)

// topology stores the failure domain of each address and the faults of links
// and connections. Latencies are those of the site.
type topology struct {
	site site

	mu           sync.Mutex           // guards all below
	domains      map[string]string    // failure domains by address
	stalledUntil map[string]time.Time // by failure domain; no data passes before this time
	silencedAt   map[string]time.Time // by address; connections opened before this time lose all data
}

func newTopology(s site) *topology {
	return &topology{site: s, domains: map[string]string{}, stalledUntil: map[string]time.Time{}, silencedAt: map[string]time.Time{}}
}

func (t *topology) setDomain(address, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[address] = domain
}

func (t *topology) domain(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.domains[address]
}

// stall delays all data between a failure domain and the others until d has passed.
func (t *topology) stall(domain string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalledUntil[domain] = time.Now().Add(d)
}

// silence drops all further data on the currently open connections to an
// address. New connections work.
func (t *topology) silence(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silencedAt[address] = time.Now()
}

// deliveryTime returns the time at which data that is due at a given time is
// delivered on a connection, and false if the data is lost.
func (t *topology) deliveryTime(c *delayedConn, at time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silencedAt[c.address].After(c.opened) {
		return at, false
	}
	for _, domain := range []string{c.from, c.to} {
		if until := t.stalledUntil[domain]; until.After(at) && c.from != c.to {
			at = until
		}
	}
	return at, true
}

// network is the loopback network of one machine. The dialling side adds the
// latency between the failure domains to both directions of a connection.
type network struct {
	link.TCP
	topology *topology
	domain   string
}

// Dial implements link.Network.
func (n *network) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	to := n.topology.domain(address)
	c := &delayedConn{
		Conn: conn, topology: n.topology, from: n.domain, to: to, address: address, opened: time.Now(),
		delay: n.topology.site.latency(n.domain, to), chunks: make(chan chunk, chunkQueue), closed: make(chan struct{}),
	}
	go c.readAhead()
	return c, nil
}

const (
	chunkQueue = 256
	chunkBytes = 16 << 10
)

type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn delays reads and writes by the latency of the link.
type delayedConn struct {
	net.Conn
	topology *topology
	from, to string
	address  string
	opened   time.Time
	delay    time.Duration
	chunks   chan chunk
	closed   chan struct{}
	once     sync.Once
	unread   []byte // unread part of the current chunk; used by Read only
	readErr  error  // error that ended the stream; used by Read only

	mu              sync.Mutex    // guards all below
	deadline        time.Time     // of Read
	deadlineChanged chan struct{} // closed when deadline changes
}

// readAhead reads ahead from the connection and adds to each chunk the time at
// which it is due.
func (c *delayedConn) readAhead() {
	defer close(c.chunks)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if n == 0 && err == nil {
			continue
		}
		select {
		case c.chunks <- chunk{data: bytes.Clone(buffer[:n]), due: time.Now().Add(c.delay), err: err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 && c.readErr == nil {
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	if len(c.unread) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// receive waits for the next chunk and then until the chunk is due. The read
// deadline ends the wait for a chunk, which then remains for the next call.
func (c *delayedConn) receive() error {
	for {
		deadline, changed := c.readDeadline()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case next, open := <-c.chunks:
			if !open {
				c.readErr = net.ErrClosed
				return nil
			}
			if c.deliver(next) {
				return nil
			}
		case <-expired:
			return timeoutError{}
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// deliver waits until a chunk is due and makes it the current one. It returns
// false if the connection is silenced and the chunk is lost.
func (c *delayedConn) deliver(next chunk) bool {
	due, ok := c.topology.deliveryTime(c, next.due)
	if !ok {
		return false
	}
	time.Sleep(time.Until(due))
	c.unread, c.readErr = next.data, next.err
	return true
}

func (c *delayedConn) readDeadline() (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlineChanged == nil {
		c.deadlineChanged = make(chan struct{})
	}
	return c.deadline, c.deadlineChanged
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	due, ok := c.topology.deliveryTime(c, time.Now().Add(c.delay))
	if !ok {
		return len(p), nil // dropped, as by a middlebox that has lost the state of the connection
	}
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *delayedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.deadlineChanged != nil {
		close(c.deadlineChanged)
		c.deadlineChanged = nil
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *delayedConn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// timeoutError is the net.Error that Read returns after its deadline.
type timeoutError struct{}

func (timeoutError) Error() string   { return "bench: i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }
