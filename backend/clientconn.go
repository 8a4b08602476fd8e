package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/papayasail/papayasail/internal/answerhead"
	"github.com/papayasail/papayasail/link"
)

// serverConn is a connection to a backend server. It is used by one exchange
// at a time, and is reused only after the response was read completely.
type serverConn struct {
	net.Conn
	address string
	reader  *answerhead.Reader
	written int64 // bytes of the current exchange that were written to the link
	// writeErr is the error of the last write. If a write fails in the middle
	// of a body, net/http returns an error that does not unwrap to it.
	writeErr error
	lastUsed time.Time
}

// Write counts the bytes that were written: zero proves that the backend
// server cannot have run the request.
func (s *serverConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.written += int64(n)
	s.writeErr = err
	return n, err
}

// dialer opens connections.
type dialer struct {
	network link.Network
	timeout time.Duration
}

func (d dialer) dial(ctx context.Context, address string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	conn, err := d.network.Dial(ctx, address)
	if err != nil {
		return nil, &CallError{Evidence: NothingSent, Err: err}
	}
	return &serverConn{Conn: conn, address: address, reader: answerhead.NewReader(conn)}, nil
}

// idleConns is a pool of idle connections whose last exchange completed.
type idleConns struct {
	max     int
	timeout time.Duration

	mu        *sync.Mutex // guards byAddress
	byAddress map[string][]*serverConn
}

func newIdleConns(max int, timeout time.Duration) idleConns {
	return idleConns{max: max, timeout: timeout, mu: &sync.Mutex{}, byAddress: map[string][]*serverConn{}}
}

// take removes and returns the most recently used connection to address, or
// returns nil if none was used within the timeout.
func (i *idleConns) take(address string) *serverConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	conns := i.byAddress[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if time.Since(last.lastUsed) > i.timeout {
		closeConns(conns)
		delete(i.byAddress, address)
		return nil
	}
	i.byAddress[address] = conns[:len(conns)-1]
	last.written = 0
	return last
}

// put returns a connection to the pool, or closes it if the pool has max
// connections to that server.
func (i *idleConns) put(conn *serverConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	conns := i.byAddress[conn.address]
	if _, once := conn.Conn.(link.SingleUse); once {
		conn.Close()
		return
	}
	// Bytes after the end of the response mean that the server is out of sync:
	// a later exchange would read them as its own response.
	if len(conns) >= i.max || conn.reader.Buffered() > 0 {
		conn.Close()
		return
	}
	conn.lastUsed = time.Now()
	i.byAddress[conn.address] = append(conns, conn)
}

// drop closes the idle connections to an address.
func (i *idleConns) drop(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	closeConns(i.byAddress[address])
	delete(i.byAddress, address)
}

func (i *idleConns) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for address, conns := range i.byAddress {
		closeConns(conns)
		delete(i.byAddress, address)
	}
}

func closeConns(conns []*serverConn) {
	for _, conn := range conns {
		conn.Close()
	}
}
