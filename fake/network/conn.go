package network

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is a chunk of bytes in flight, or the end of the direction: fin marks an orderly
// one, reset any other.
type segment struct {
	data       []byte
	readyAt    time.Time
	fin, reset bool
}

func (s segment) isEnd() bool { return s.fin || s.reset }

// half is one direction of a connection.
type half struct {
	fabric   *Fabric
	from, to string
	changed  *sync.Cond // with the fabric's mutex
	segments []segment
	buffered int  // bytes written and not yet read; dropped bytes stay counted
	dropping bool // all bytes are dropped, permanently
}

func newHalf(f *Fabric, from, to string) *half {
	return &half{fabric: f, from: from, to: to, changed: sync.NewCond(&f.mu)}
}

// sendLocked sends a segment.
func (h *half) sendLocked(s segment) {
	h.buffered += len(s.data)
	if h.dropping {
		// Dropped bytes are never acknowledged, so they fill the sender's
		// buffer until it blocks, as with TCP.
		return
	}
	delay := h.fabric.linkLocked(h.from, h.to).delay
	s.readyAt = time.Now().Add(delay)
	h.segments = append(h.segments, s)
	if delay > 0 {
		time.AfterFunc(delay, h.wake)
	}
	h.changed.Broadcast()
}

func (h *half) wake() {
	h.fabric.mu.Lock()
	defer h.fabric.mu.Unlock()
	h.wakeLocked()
}

func (h *half) wakeLocked() { h.changed.Broadcast() }

// readyLocked reports whether the first segment has arrived.
func (h *half) readyLocked() bool {
	if len(h.segments) == 0 || h.fabric.linkLocked(h.from, h.to).stalled {
		return false
	}
	return !time.Now().Before(h.segments[0].readyAt)
}

// deadline is a read or write deadline and the timer that wakes the goroutines
// waiting for it.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// setLocked sets the deadline and wakes the goroutines that wait, now and when
// the deadline expires.
func (d *deadline) setLocked(at time.Time, w waker) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if !at.IsZero() {
		if wait := time.Until(at); wait > 0 {
			d.timer = time.AfterFunc(wait, w.wake)
		}
	}
	w.wakeLocked()
}

// waker wakes the goroutines that wait for its state to change.
type waker interface {
	wake()
	wakeLocked()
}

// conn is one end of a connection.
type conn struct {
	fabric        *Fabric
	local, remote *net.TCPAddr
	peer          *conn
	in, out       *half
	readDeadline  deadline
	writeDeadline deadline
	closed        bool
	closePending  bool // closed while frozen: the close is sent at Thaw
	broken        bool // reset by the other end or the link
	noLinger      bool // a close resets the connection
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	for {
		frozen := c.fabric.frozen[c.in.to]
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case frozen:
		case c.readDeadline.expired():
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case c.in.readyLocked():
			switch head := c.in.segments[0]; {
			case head.fin:
				return 0, io.EOF
			case head.reset:
				return 0, c.opError("read", syscall.ECONNRESET)
			}
			return c.readLocked(p), nil
		case c.broken:
			return 0, c.opError("read", syscall.ECONNRESET)
		}
		c.in.changed.Wait()
	}
}

// readLocked copies arrived bytes to p and returns their number.
func (c *conn) readLocked(p []byte) int {
	n := 0
	for n < len(p) && c.in.readyLocked() && !c.in.segments[0].isEnd() {
		head := &c.in.segments[0]
		copied := copy(p[n:], head.data)
		n += copied
		head.data = head.data[copied:]
		if len(head.data) == 0 {
			c.in.segments = c.in.segments[1:]
		}
	}
	c.in.buffered -= n
	c.in.changed.Broadcast()
	return n
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	written := 0
	for {
		frozen := c.fabric.frozen[c.in.to]
		space := c.fabric.options.BufferBytes - c.out.buffered
		switch {
		case c.closed:
			return written, c.opError("write", net.ErrClosed)
		case frozen:
		case c.broken, c.otherEndClosedLocked():
			return written, c.opError("write", syscall.EPIPE)
		case c.writeDeadline.expired():
			return written, c.opError("write", os.ErrDeadlineExceeded)
		case written == len(p):
			return written, nil
		case space > 0:
			n := min(space, len(p)-written)
			c.out.sendLocked(segment{data: append([]byte(nil), p[written:written+n]...)})
			written += n
			continue
		}
		c.out.changed.Wait()
	}
}

// otherEndClosedLocked reports whether the other end closed and the close could
// have reached this end.
func (c *conn) otherEndClosedLocked() bool {
	return c.peer.closed && !c.peer.closePending && !c.in.dropping && !c.out.dropping
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	if c.fabric.frozen[c.in.to] {
		c.closePending = true
	} else {
		c.finishCloseLocked()
	}
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
	return nil
}

// SetLinger implements the method of net.TCPConn. After SetLinger(0) a close resets the
// connection; other values change nothing.
func (c *conn) SetLinger(seconds int) error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	c.noLinger = seconds == 0
	return nil
}

// finishCloseLocked sends the close to the other end: like TCP a reset if bytes are unread,
// else an end in order. Bytes that the other end sends afterwards are answered by a reset,
// unless this direction drops its bytes.
func (c *conn) finishCloseLocked() {
	c.closePending = false
	delete(c.fabric.conns, c)
	unread := len(c.in.segments) > 0 && !c.in.segments[0].isEnd()
	if !unread && !c.noLinger {
		c.out.sendLocked(segment{fin: true})
		return
	}
	c.out.sendLocked(segment{reset: true})
	if !c.out.dropping {
		c.peer.breakLocked()
	}
}

// resetLocked breaks both ends.
func (c *conn) resetLocked() {
	c.breakLocked()
	c.peer.breakLocked()
}

// breakLocked breaks this end. The broken end stays in Fabric.conns until it is
// closed, so that Thaw can wake the goroutines that wait on it if its machine is
// frozen.
func (c *conn) breakLocked() {
	c.broken = true
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
}

// between reports whether the connection is between machines a and b.
func (c *conn) between(a, b string) bool {
	return c.in.from == a && c.in.to == b || c.in.from == b && c.in.to == a
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	c.readDeadline.setLocked(t, c.in)
	c.writeDeadline.setLocked(t, c.out)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	c.readDeadline.setLocked(t, c.in)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	c.writeDeadline.setLocked(t, c.out)
	return nil
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// listener accepts connections at one address.
type listener struct {
	fabric *Fabric
	addr   *net.TCPAddr
	ready  *sync.Cond // with the fabric's mutex
	queue  []*conn
	closed bool

	deadline deadline // of Accept
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
		case l.fabric.frozen[l.addr.IP.String()]:
		case l.deadline.expired():
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: os.ErrDeadlineExceeded}
		case len(l.queue) > 0:
			c := l.queue[0]
			l.queue = l.queue[1:]
			return c, nil
		}
		l.ready.Wait()
	}
}

// SetDeadline sets the deadline of Accept.
func (l *listener) SetDeadline(t time.Time) error {
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	l.deadline.setLocked(t, l)
	return nil
}

func (l *listener) wake() {
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	l.wakeLocked()
}

func (l *listener) wakeLocked() { l.ready.Broadcast() }

// Close implements net.Listener. Connections not yet accepted are reset.
func (l *listener) Close() error {
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	if l.fabric.listeners[l.addr.String()] == l {
		delete(l.fabric.listeners, l.addr.String())
	}
	for _, c := range l.queue {
		c.resetLocked()
	}
	l.queue = nil
	l.ready.Broadcast()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
