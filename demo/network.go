package demo

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/link"
)

// loopback is TCP on the loopback interface with ports reserved in advance: the
// settings contain every address before anything listens, and a free port that is
// not reserved could be bound by another program meanwhile.
type loopback struct {
	link.TCP

	mu       sync.Mutex // guards reserved
	reserved map[string]net.Listener
}

func newLoopback() *loopback { return &loopback{reserved: map[string]net.Listener{}} }

// reserve binds a free port and returns its address, for a later call of Listen.
func (l *loopback) reserve() (string, error) {
	listener, err := l.TCP.Listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo: free port")
	}
	address := listener.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved[address] = listener
	return address, nil
}

// Listen returns the reserved listener of an address, or a new one.
func (l *loopback) Listen(address string) (net.Listener, error) {
	l.mu.Lock()
	listener, ok := l.reserved[address]
	delete(l.reserved, address)
	l.mu.Unlock()
	if ok {
		return listener, nil
	}
	return l.TCP.Listen(address)
}

// Dial connects over TCP.
func (l *loopback) Dial(ctx context.Context, address string) (net.Conn, error) {
	return l.TCP.Dial(ctx, address)
}

// close releases the reserved ports on which Listen was not called.
func (l *loopback) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, listener := range l.reserved {
		listener.Close()
		delete(l.reserved, address)
	}
}
