// Package network is an in-memory network for tests. Each machine has its own view
// of one Fabric, through which it dials and listens as over TCP. Faults of links
// and machines can be injected and removed at any time. It uses only timers and
// condition variables, so it works in testing/synctest bubbles.
package network

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/link"
)

const (
	defaultBufferBytes = 64 << 10
	firstFreePort      = 30000
	backlog            = 1024 // connections per listener that wait to be accepted
)

// Options configures a Fabric.
type Options struct {
	// BufferBytes is the number of unread bytes in one direction of a connection
	// above which the writer blocks; zero: 64 KiB.
	BufferBytes int
}

// Fabric is a set of machines, named by IP, and the links between them.
//
// One mutex guards everything in a Fabric, connections and listeners
// included; there is no other lock, so there is no lock order.
type Fabric struct {
	options Options

	mu        sync.Mutex // guards the fields below and all fields of conn, half and listener
	changed   *sync.Cond // with mu: a fault, a listener or a machine changed
	links     map[direction]*linkState
	frozen    map[string]bool
	listeners map[string]*listener // by address
	conns     map[*conn]struct{}   // both ends of each open connection
	lastPort  map[string]int
}

// direction identifies one direction of a link.
type direction struct{ from, to string }

// linkState contains the faults and the delay of one direction of a link.
type linkState struct {
	cut     bool
	refused bool // new connections only
	silent  bool
	stalled bool
	delay   time.Duration
}

// New returns a Fabric without faults.
func New(options Options) *Fabric {
	if options.BufferBytes <= 0 {
		options.BufferBytes = defaultBufferBytes
	}
	f := &Fabric{
		options:   options,
		links:     map[direction]*linkState{},
		frozen:    map[string]bool{},
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		lastPort:  map[string]int{},
	}
	f.changed = sync.NewCond(&f.mu)
	return f
}

// Host returns the view of the network of the machine with this IP.
func (f *Fabric) Host(ip string) link.Network { return &host{fabric: f, ip: ip} }

// host is one machine's view of the fabric.
type host struct {
	fabric *Fabric
	ip     string
}

// Dial connects to address. It fails with ECONNREFUSED if nothing listens there or
// the link is cut, and blocks while the link is silent or stalled or this machine is
// frozen, at most until ctx ends.
func (h *host) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := h.fabric.dial(ctx, h.ip, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	return conn, nil
}

// Listen accepts connections at address, whose host part must be empty, the
// unspecified address or this machine's IP.
func (h *host) Listen(address string) (net.Listener, error) {
	l, err := h.fabric.listen(h.ip, address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	return l, nil
}

func (f *Fabric) listen(ip, address string) (*listener, error) {
	name, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if name != "" && name != ip && !net.ParseIP(name).IsUnspecified() {
		return nil, syscall.EADDRNOTAVAIL
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrap(err, "port")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if port == 0 {
		port = f.freePortLocked(ip)
	}
	l := &listener{fabric: f, addr: tcpAddr(ip, port)}
	l.ready = sync.NewCond(&f.mu)
	key := l.addr.String()
	if f.listeners[key] != nil {
		return nil, syscall.EADDRINUSE
	}
	f.listeners[key] = l
	f.changed.Broadcast()
	return l, nil
}

func (f *Fabric) freePortLocked(ip string) int {
	if f.lastPort[ip] < firstFreePort {
		f.lastPort[ip] = firstFreePort
	}
	f.lastPort[ip]++
	return f.lastPort[ip]
}

func (f *Fabric) dial(ctx context.Context, from, address string) (*conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.changed.Broadcast()
	})
	defer stop()
	if err := f.awaitRoundTripLocked(ctx, from, to); err != nil {
		return nil, err
	}
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		forward, reverse := f.linkLocked(from, to), f.linkLocked(to, from)
		switch {
		case f.frozen[from] || forward.silent || reverse.silent || forward.stalled || reverse.stalled:
			f.changed.Wait()
			continue
		case forward.cut || reverse.cut || forward.refused || reverse.refused:
			return nil, syscall.ECONNREFUSED
		}
		l := f.listeners[address]
		if l == nil || len(l.queue) >= backlog {
			return nil, syscall.ECONNREFUSED
		}
		return f.connectLocked(from, l), nil
	}
}

// awaitRoundTripLocked waits for the handshake of a new connection. It releases the mutex
// while it waits.
func (f *Fabric) awaitRoundTripLocked(ctx context.Context, from, to string) error {
	roundTrip := f.linkLocked(from, to).delay + f.linkLocked(to, from).delay
	if roundTrip == 0 {
		return nil
	}
	f.mu.Unlock()
	defer f.mu.Lock()
	timer := time.NewTimer(roundTrip)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Fabric) connectLocked(from string, l *listener) *conn {
	local := tcpAddr(from, f.freePortLocked(from))
	out := newHalf(f, from, l.addr.IP.String())
	in := newHalf(f, l.addr.IP.String(), from)
	near := &conn{fabric: f, local: local, remote: l.addr, in: in, out: out}
	far := &conn{fabric: f, local: l.addr, remote: local, in: out, out: in}
	near.peer, far.peer = far, near
	f.conns[near] = struct{}{}
	f.conns[far] = struct{}{}
	l.queue = append(l.queue, far)
	l.ready.Signal()
	return near
}

func (f *Fabric) linkLocked(from, to string) *linkState {
	key := direction{from, to}
	state := f.links[key]
	if state == nil {
		state = &linkState{}
		f.links[key] = state
	}
	return state
}

// wakeLocked makes every blocked operation check the faults again.
func (f *Fabric) wakeLocked() {
	f.changed.Broadcast()
	for c := range f.conns {
		c.in.changed.Broadcast()
		c.out.changed.Broadcast()
	}
	for _, l := range f.listeners {
		l.ready.Broadcast()
	}
}

func tcpAddr(ip string, port int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.ParseIP(ip), Port: port}
}
