package link

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Endpoint is what a connection leads to.
type Endpoint struct {
	Address string // IP:port
	// Life tells processes apart that follow each other at the address; zero:
	// not known.
	Life int64
}

// Conn is a connection for exchanges one after another.
type Conn struct {
	net.Conn
	Reader  *bufio.Reader
	to      Endpoint
	written int64
	until   time.Time     // it is not used after it
	watched chan struct{} // closed when the watch of the idle connection has ended
	silent  bool          // the watch saw neither bytes nor an end; read after watched is closed
}

// Written returns how many bytes of the present exchange the link took. Zero
// is the proof that the other end cannot have run anything.
func (c *Conn) Written() int64 { return c.written }

// Write counts what was taken.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Pool keeps connections whose last exchange ended whole.
//
// Failure: an idle connection gets an end, or a second answer to the exchange
// before, while nobody reads it. The next exchange would fail, or take that
// answer for its own. Idle connections are therefore read all the time, and
// closed at the first byte or end.
type Pool struct {
	// Broke is called when the other end of an idle connection has closed or
	// broken it before its time; nil: nobody is told. It must not block.
	Broke func(to Endpoint)

	network Network
	timeout time.Duration // of opening a connection
	most    int           // idle ones kept for an endpoint

	mu   sync.Mutex // guards idle
	idle map[Endpoint][]*Conn
}

// NewPool returns an empty pool.
func NewPool(network Network, timeout time.Duration, most int) *Pool {
	return &Pool{network: network, timeout: timeout, most: most, idle: map[Endpoint][]*Conn{}}
}

// Take returns an idle connection that was usable a moment ago, or nil.
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

// reuse ends the watch and reports whether the connection is sound.
func (c *Conn) reuse() bool {
	if time.Now().After(c.until) {
		return false
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // an error shows in the watch
	<-c.watched
	if !c.silent {
		return false
	}
	c.written = 0
	return c.SetReadDeadline(time.Time{}) == nil
}

// Dial opens a connection.
func (p *Pool) Dial(ctx context.Context, to Endpoint) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReader(conn), to: to}, nil
}

// Put keeps a connection for up to idleFor, if there is room.
func (p *Pool) Put(conn *Conn, idleFor time.Duration) {
	if conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	conn.until = time.Now().Add(idleFor)
	conn.watched, conn.silent = make(chan struct{}), false
	p.mu.Lock()
	if len(p.idle[conn.to]) >= p.most {
		p.mu.Unlock()
		conn.Close()
		return
	}
	p.idle[conn.to] = append(p.idle[conn.to], conn)
	p.mu.Unlock()
	go p.watch(conn, idleFor)
}

// watch reads an idle connection until it is taken again.
func (p *Pool) watch(conn *Conn, idleFor time.Duration) {
	expired := time.AfterFunc(idleFor, func() { p.remove(conn) })
	defer expired.Stop()
	_, err := conn.Reader.Peek(1)
	silent, watched := errors.Is(err, os.ErrDeadlineExceeded), conn.watched
	conn.silent = silent
	close(watched) // from here on the connection may be in use again
	if silent {
		return
	}
	p.remove(conn)
	if err != nil && !errors.Is(err, net.ErrClosed) && p.Broke != nil {
		p.Broke(conn.to)
	}
}

// remove closes a connection that is still idle.
func (p *Pool) remove(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.to]
	for i, c := range conns {
		if c == conn {
			p.idle[conn.to] = append(conns[:i:i], conns[i+1:]...)
			conn.Close()
			return
		}
	}
}
