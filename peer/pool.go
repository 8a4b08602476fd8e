package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/papayasail/papayasail/link"

	"github.com/papayasail/papayasail/peer/peerpb"
)

const (
	// bufferBytes is the size of the read buffer and of the write buffer of one
	// connection. It is small because control messages are small, and because the
	// buffers of all connections add up in a fleet of 390 hosts.
	bufferBytes = 4 << 10
	// windowBytes is the flow control window. A fixed window also disables the
	// pings of the bandwidth estimator.
	windowBytes = 64 << 10
	// messageBytes is the maximum size of a message: a page of configuration,
	// or a forwarded request or its response, whose bodies have lower limits.
	messageBytes = 32 << 20
	// headerBytes is the maximum size of a message's headers.
	headerBytes = 16 << 10
)

// pool is a pool of connections to other hosts. At most limit are kept, unless
// more are in use.
type pool struct {
	network  link.Network
	counters *counters
	limit    int
	idle     time.Duration
	closing  sync.WaitGroup // connections being closed

	mu     sync.Mutex // guards closed, conns and the fields of its entries
	conns  map[string]*pooledConn
	closed bool // no new connections are opened
}

type pooledConn struct {
	client  peerpb.PeerClient
	conn    *grpc.ClientConn
	users   int
	lastUse time.Time
	dropped bool // removed from the pool; closed after its last use
}

func newPool(network link.Network, counters *counters, limit int, idle time.Duration) *pool {
	return &pool{network: network, counters: counters, limit: limit, idle: idle, conns: make(map[string]*pooledConn)}
}

// call runs f with a connection to address. After a timeout or a lost
// connection the next call opens a new one.
func (p *pool) call(address string, f func(peerpb.PeerClient) error) error {
	return p.callConn(address, func(c *pooledConn) error { return f(c.client) })
}

func (p *pool) callConn(address string, f func(*pooledConn) error) error {
	c, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer p.release(c)
	err = f(c)
	if code := status.Code(err); code == codes.Unavailable || code == codes.DeadlineExceeded {
		p.drop(address, c)
	}
	return err
}

// errPoolClosed means that the node has stopped. It prevents a probe that races
// with the stop from opening a connection that is never closed.
var errPoolClosed = errors.New("peer: pool closed")

func (p *pool) acquire(address string) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	c, ok := p.conns[address]
	if !ok {
		conn, err := p.dial(address)
		if err != nil {
			return nil, err
		}
		p.evict()
		c = &pooledConn{client: peerpb.NewPeerClient(conn), conn: conn}
		p.conns[address] = c
	}
	c.users++
	c.lastUse = time.Now()
	return c, nil
}

func (p *pool) release(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.users--
	p.closeUnused(c)
}

// closeUnused closes a dropped connection that is not in use. The caller must
// hold mu.
//
// Failure: grpc.ClientConn.Close waits seconds for a transport whose link
// accepts no bytes. If it ran while mu is held, one such peer would block
// every other exchange, so it runs in a goroutine.
func (p *pool) closeUnused(c *pooledConn) {
	switch {
	case !c.dropped || c.users > 0:
	case p.closed:
		go c.conn.Close() // pool.close may be in closing.Wait, which forbids adding to it
	default:
		p.closing.Go(func() { _ = c.conn.Close() })
	}
}

// drop removes the connection c to address if it is still the current one.
func (p *pool) drop(address string, c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		p.remove(address, c)
	}
}

func (p *pool) remove(address string, c *pooledConn) {
	delete(p.conns, address)
	c.dropped = true
	p.closeUnused(c)
}

// evict removes the connection that has been idle for longest if the pool is
// full.
func (p *pool) evict() {
	if len(p.conns) < p.limit {
		return
	}
	var oldest string
	for address, c := range p.conns {
		if c.users == 0 && (oldest == "" || c.lastUse.Before(p.conns[oldest].lastUse)) {
			oldest = address
		}
	}
	if oldest != "" {
		p.remove(oldest, p.conns[oldest])
	}
}

// sweep closes connections that have been idle for the idle timeout.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if c.users == 0 && now.Sub(c.lastUse) >= p.idle {
			p.remove(address, c)
		}
	}
}

// close closes all connections, including those in use, and waits until they
// are closed. Later calls fail with errPoolClosed.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.conns {
		p.closing.Go(func() { _ = c.conn.Close() })
	}
	clear(p.conns)
	p.mu.Unlock()
	p.closing.Wait()
}

func (p *pool) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(p.dialNetwork),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithMaxHeaderListSize(headerBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageBytes), grpc.MaxCallSendMsgSize(messageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(0),
	)
}

func (p *pool) dialNetwork(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.counters.wrap(conn), nil
}
