package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// finalWait is the timeout of the final accept or read before a draining listener
	// or connection is closed. It is longer than the pause of a process that has used
	// up its processor quota.
	finalWait = 150 * time.Millisecond
	// drainTimeout bounds the drain of a listener and of its idle connections.
	drainTimeout = 700 * time.Millisecond
	// drainCheckInterval is the interval between checks for idle connections.
	drainCheckInterval = 20 * time.Millisecond
)

// DrainServer is an http.Server for one listener. Its Shutdown resets neither
// connections that are not accepted yet nor idle ones on which a request has
// arrived.
type DrainServer struct {
	*http.Server
	// Intake bounds what callers make the host hold; nil: nothing does. It must be set before
	// Serve.
	Intake   *Intake
	listener atomic.Pointer[drainListener]
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// NewDrainServer returns a server that serves as given; it sets server.ConnState and
// server.ConnContext.
func NewDrainServer(server *http.Server) *DrainServer {
	s := &DrainServer{Server: server}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if l := s.listener.Load(); l != nil {
			l.trackState(conn, state)
		}
	}
	return s
}

// ResetOnClose sets whether the connection of a request to a DrainServer ends with a reset
// instead of in order, whoever closes it: the handler, the server, or the system when this
// process ends. A reset loses bytes that are not delivered yet. It returns an error if that
// cannot be set.
func ResetOnClose(request context.Context, reset bool) error {
	conn, _ := request.Value(connKey{}).(net.Conn)
	for {
		switch c := conn.(type) {
		case interface{ SetLinger(seconds int) error }:
			if reset {
				return c.SetLinger(0)
			}
			return c.SetLinger(-1) // the system's default
		case *drainConn:
			conn = c.Conn
		case *tls.Conn:
			conn = c.NetConn()
		default:
			return errors.New("link: connection cannot be reset")
		}
	}
}

// Serve is http.Server.Serve; it returns http.ErrServerClosed also after a drain.
func (s *DrainServer) Serve(listener net.Listener) error {
	return s.serve(newDrainListener(listener))
}

// ServeTLS is http.Server.ServeTLS for HTTP/1.1; it returns http.ErrServerClosed also after
// a drain.
func (s *DrainServer) ServeTLS(listener net.Listener, certificate, key string) error {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return errors.Wrap(err, "link: certificate")
	}
	l := newDrainListener(listener)
	l.tls = &tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: []string{"http/1.1"}}
	return s.serve(l)
}

func (s *DrainServer) serve(l *drainListener) error {
	if s.Intake != nil {
		l.intake = s.Intake
		s.Handler = s.Intake.handler(s.Handler)
	}
	s.listener.Store(l)
	return afterDrain(s.Server.Serve(l))
}

func afterDrain(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown accepts the connections that wait, ends idle ones without a request,
// for drainTimeout at most, and then shuts the server down.
func (s *DrainServer) Shutdown(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		drain, cancel := context.WithTimeout(ctx, drainTimeout)
		l.drain(drain)
		cancel()
	}
	return s.Server.Shutdown(ctx)
}

// drainListener is the listener of a DrainServer.
type drainListener struct {
	net.Listener
	intake *Intake     // nil: connections are not accounted for
	tls    *tls.Config // nil: connections are not encrypted

	closed    chan struct{} // closed when no connection is accepted any more
	closeOnce sync.Once

	mu       sync.Mutex // guards the fields below
	draining bool
	idle     map[*drainConn]struct{}
}

// deadlineListener is implemented by listeners whose Accept can time out.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// newDrainListener wraps a listener whose Accept can time out; with any other,
// drain closes it at once.
func newDrainListener(inner net.Listener) *drainListener {
	return &drainListener{Listener: inner, closed: make(chan struct{}), idle: map[*drainConn]struct{}{}}
}

// Accept implements net.Listener. While the listener drains, it closes when no
// connection has arrived for finalWait.
func (l *drainListener) Accept() (net.Conn, error) {
	for finalAccept := false; ; {
		if l.intake != nil {
			l.intake.awaitClosed()
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			l.extend()
			if c := l.wrap(conn); c != nil {
				return c, nil
			}
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if finalAccept || !l.extend() {
			l.closeOnce.Do(func() { close(l.closed) })
			return nil, errors.CombineErrors(net.ErrClosed, l.Listener.Close())
		}
		finalAccept = true // the deadline may have passed before Accept looked at the queue
	}
}

// wrap returns an accepted connection. If there is no room for it, it closes the connection
// and returns nil.
func (l *drainListener) wrap(conn net.Conn) *drainConn {
	if l.tls != nil {
		conn = tls.Server(conn, l.tls)
	}
	c := &drainConn{Conn: conn, listener: l}
	if l.intake != nil {
		if c.holding = l.intake.admit(conn); c.holding == nil {
			_ = conn.Close() // the caller may be gone
			return nil
		}
	}
	return c
}

// extend sets the deadline of the next Accept if the listener drains; it reports
// whether one is set.
func (l *drainListener) extend() bool {
	if !l.isDraining() {
		return false
	}
	inner, ok := l.Listener.(deadlineListener)
	return ok && inner.SetDeadline(time.Now().Add(finalWait)) == nil
}

// Close implements net.Listener.
func (l *drainListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// drain accepts the connections that wait, closes the listener and ends each idle
// connection that has no request to read, until ctx ends. Requests in flight go on.
func (l *drainListener) drain(ctx context.Context) {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	if !l.extend() {
		_ = l.Close() // Serve returns the error
	}
	select {
	case <-l.closed:
	case <-ctx.Done():
		_ = l.Close() // Serve returns the error
	}
	check := time.NewTicker(drainCheckInterval)
	defer check.Stop()
	for l.endIdle() > 0 {
		select {
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}

// endIdle makes idle connections end, and returns how many there still are.
func (l *drainListener) endIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.idle {
		if !conn.finalRead {
			_ = conn.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection
		}
	}
	return len(l.idle)
}

// trackState is the http.Server.ConnState hook.
func (l *drainListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*drainConn)
	if !ok {
		return
	}
	if c.holding != nil {
		c.holding.trackState(state)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.finalRead = false
	if state == http.StateIdle {
		l.idle[c] = struct{}{}
	} else {
		delete(l.idle, c)
	}
}

func (l *drainListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// drainConn is an accepted connection of a drainListener.
type drainConn struct {
	net.Conn
	listener  *drainListener
	holding   *holding // nil: it is not accounted for
	finalRead bool     // the final read has begun; guarded by listener.mu
}

// Read implements net.Conn.
func (c *drainConn) Read(p []byte) (int, error) {
	if c.holding == nil {
		return c.read(p)
	}
	if err := c.holding.beforeRead(); err != nil {
		return 0, err
	}
	n, err := c.read(p)
	if n == 0 {
		return 0, c.holding.interrupted(err)
	}
	if refused := c.holding.received(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// Close implements net.Conn.
func (c *drainConn) Close() error {
	if c.holding != nil {
		c.holding.close()
	}
	return c.Conn.Close()
}

// read reads from the connection. An idle connection that times out because its
// listener drains, or because an Intake ends it, is read a final time, so that a request
// which has arrived is not reset.
func (c *drainConn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if !c.beginFinalRead() && (c.holding == nil || !c.holding.evictedIdle()) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalWait)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// beginFinalRead reports whether the connection is idle, its listener drains, and
// the final read has not begun.
func (c *drainConn) beginFinalRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, idle := c.listener.idle[c]; !idle || !c.listener.draining || c.finalRead {
		return false
	}
	c.finalRead = true
	return true
}
