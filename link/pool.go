package link

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/answerhead"
)

// Endpoint identifies the remote process of a connection.
type Endpoint struct {
	Address string // IP:port
	// Incarnation distinguishes successive processes at the address; zero: unknown.
	Incarnation int64
}

// Conn is a connection for sequential exchanges of request and response.
type Conn struct {
	net.Conn
	Reader        *answerhead.Reader
	to            Endpoint
	written       int64
	reuseDeadline time.Time     // not reused after this time
	watchDone     chan struct{} // closed when the watch of the idle connection has ended
	silent        bool          // the watch received neither bytes nor an end; read only after watchDone is closed
	first         bool
	recordClosed  func() // called by the first Close
}

// First reports whether no other connection to the endpoint was open when this one was
// opened. The remote process may have been replaced before without a connection having
// broken.
func (c *Conn) First() bool { return c.first }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.recordClosed()
	return c.Conn.Close()
}

// Written returns how many bytes of the current exchange were written to the
// connection. Zero proves that the remote end has not run anything.
func (c *Conn) Written() int64 { return c.written }

// Write writes to the connection and counts the bytes written.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Pool keeps idle connections whose last exchange was complete.
//
// Failure: the remote end closes an idle connection, or sends a second response
// to the previous exchange, while it is not read. The next exchange would fail,
// or use that response as its own. Idle connections are therefore read
// continuously, and closed at the first byte or end.
type Pool struct {
	// OnIdleBroken is called when the remote end closes or resets an idle connection
	// before its idle time ends; nil: not reported. It must not block.
	OnIdleBroken func(to Endpoint)

	network     Network
	dialTimeout time.Duration // for opening a connection
	maxIdle     int           // maximum number of idle connections for an endpoint

	mu   sync.Mutex // guards idle and open
	idle map[Endpoint][]*Conn
	open map[Endpoint]int // number of connections, idle or in use
}

// NewPool returns an empty pool.
func NewPool(network Network, dialTimeout time.Duration, maxIdle int) *Pool {
	return &Pool{network: network, dialTimeout: dialTimeout, maxIdle: maxIdle, idle: map[Endpoint][]*Conn{}, open: map[Endpoint]int{}}
}

// Take removes and returns an idle connection on which neither bytes nor an end
// have arrived, or nil if there is none.
func (p *Pool) Take(to Endpoint) *Conn {
	for {
		conn := p.pop(to)
		if conn == nil {
			return nil
		}
		if conn.reuse() {
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) pop(to Endpoint) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[to]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if len(conns) == 1 {
		delete(p.idle, to)
	} else {
		p.idle[to] = conns[:len(conns)-1]
	}
	return last
}

// reuse ends the watch and reports whether the connection is still usable.
func (c *Conn) reuse() bool {
	if time.Now().After(c.reuseDeadline) {
		return false
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the watch, which also sees any error
	<-c.watchDone
	if !c.silent {
		return false
	}
	c.written = 0
	return c.SetReadDeadline(time.Time{}) == nil
}

// Dial opens a new connection.
func (p *Pool) Dial(ctx context.Context, to Endpoint) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[to]++
	return &Conn{
		Conn: conn, Reader: answerhead.NewReader(conn), to: to, first: p.open[to] == 1, recordClosed: sync.OnceFunc(func() { p.recordClosed(to) }),
	}, nil
}

func (p *Pool) recordClosed(to Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[to]--; p.open[to] == 0 {
		delete(p.open, to)
	}
}

// SingleUse is implemented by connections that serve one exchange only. They are
// closed instead of pooled.
type SingleUse interface{ SingleUse() }

// Put adds a connection to the pool for up to idleFor. It closes the connection
// if the pool is full for its endpoint or unread bytes are left.
func (p *Pool) Put(conn *Conn, idleFor time.Duration) {
	if _, once := conn.Conn.(SingleUse); once {
		conn.Close()
		return
	}
	if conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	conn.reuseDeadline = time.Now().Add(idleFor)
	conn.watchDone, conn.silent = make(chan struct{}), false
	p.mu.Lock()
	if len(p.idle[conn.to]) >= p.maxIdle {
		p.mu.Unlock()
		conn.Close()
		return
	}
	p.idle[conn.to] = append(p.idle[conn.to], conn)
	p.mu.Unlock()
	go p.watch(conn, idleFor)
}

// watch reads an idle connection until it is reused, expires or breaks.
func (p *Pool) watch(conn *Conn, idleFor time.Duration) {
	expired := time.AfterFunc(idleFor, func() { p.remove(conn) })
	defer expired.Stop()
	_, err := conn.Reader.Peek(1)
	silent, watchDone := errors.Is(err, os.ErrDeadlineExceeded), conn.watchDone
	conn.silent = silent
	close(watchDone) // from here on the connection may be in use again
	if silent {
		return
	}
	p.remove(conn)
	if err != nil && !errors.Is(err, net.ErrClosed) && p.OnIdleBroken != nil {
		p.OnIdleBroken(conn.to)
	}
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	var dropped []*Conn
	p.mu.Lock()
	for to, conns := range p.idle {
		if to.Address == address {
			dropped = append(dropped, conns...)
			delete(p.idle, to)
		}
	}
	p.mu.Unlock()
	for _, conn := range dropped {
		conn.Close()
	}
}

// remove closes a connection that is still idle.
func (p *Pool) remove(conn *Conn) {
	if p.forget(conn) {
		conn.Close()
	}
}

// forget removes a connection from the idle ones and reports whether it was one of them.
func (p *Pool) forget(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.to]
	for i, c := range conns {
		if c == conn {
			p.idle[conn.to] = append(conns[:i:i], conns[i+1:]...)
			return true
		}
	}
	return false
}
