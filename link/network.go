// Package link opens, pools and monitors network connections between machines.
package link

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Network opens connections and listeners. TCP is the production
// implementation; tests use an in-memory network that can cut, silence and
// delay links.
type Network interface {
	// Dial connects to address, an IP:port. A Read of the connection returns io.EOF only if
	// the remote end closed it in order, never after a reset.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at address, an IP:port; port 0 picks a free
	// one.
	Listen(address string) (net.Listener, error)
}

// ErrPathLost marks errors of dials that show nothing about the remote end: this host
// has lost the paths to most ends of its kind.
var ErrPathLost = errors.New("link: path lost")

// SilenceReporter is implemented by networks that report addresses which do not answer
// dials: open connections to them may be silent too.
type SilenceReporter interface {
	// OnSilent adds a callback, which must not block.
	OnSilent(callback func(address string))
}

// Refused reports whether the result of a dial means that nothing listens at
// the address. It closes conn if the dial succeeded.
func Refused(conn net.Conn, err error) bool {
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// TCP is the Network of the operating system's TCP stack.
type TCP struct {
	Dialer net.Dialer
	Config net.ListenConfig
}

// Dial connects over TCP.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	if t.Dialer.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.Dialer.Timeout)
		defer cancel()
	}
	if err := dialFault(ctx, address); err != nil {
		return nil, err
	}
	conn, err := t.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &tcpConn{Conn: conn}, nil
}

// Listen listens over TCP.
func (t TCP) Listen(address string) (net.Listener, error) {
	return t.Config.Listen(context.Background(), "tcp", address)
}
