package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer/peerpb"
)

const (
	// maxTunnels bounds the connections that a host keeps open for others.
	maxTunnels = 256
	// tunnelBufferBytes is the size of the pieces in which a tunnel carries bytes.
	tunnelBufferBytes = 8 << 10
)

// ErrTunnelRejected marks errors of BackendDialer for addresses that it does not dial
// for other hosts.
var ErrTunnelRejected = errors.New("peer: no tunnel to this address")

// BackendDialer opens this host's own connections to backend servers on behalf of
// other hosts.
type BackendDialer interface {
	// DialForPeer connects to a backend server directly, never through another host.
	DialForPeer(ctx context.Context, address string) (net.Conn, error)
	// CutOff reports whether this host fails to reach most servers of the service of the
	// one at the address.
	CutOff(address string) bool
}

// noBackends is the BackendDialer of a host that opens no tunnels.
type noBackends struct{}

func (noBackends) DialForPeer(context.Context, string) (net.Conn, error) {
	return nil, ErrTunnelRejected
}
func (noBackends) CutOff(string) bool { return false }

// TunnelError is the answer of a host that opened no connection.
type TunnelError struct {
	Host   string
	Result peerpb.TunnelResult
	CutOff bool // the host itself fails to reach most servers of the service
}

// Error implements error.
func (e *TunnelError) Error() string {
	return fmt.Sprintf("peer: host %q opened no tunnel: %s (cut off: %t)", e.Host, e.Result, e.CutOff)
}

// Refused reports whether nothing listens at the address.
func (e *TunnelError) Refused() bool { return e.Result == peerpb.TunnelResult_REFUSED }

// Is makes a conclusive refusal equal to syscall.ECONNREFUSED.
func (e *TunnelError) Is(target error) bool {
	return target == syscall.ECONNREFUSED && e.Refused() && e.Conclusive()
}

// Conclusive reports whether the answer is evidence about the server, not about the
// host that gave it.
func (e *TunnelError) Conclusive() bool {
	return !e.CutOff && (e.Refused() || e.Result == peerpb.TunnelResult_UNREACHABLE)
}

// Tunnel implements peerpb.PeerServer.
func (s *service) Tunnel(stream grpc.BidiStreamingServer[peerpb.TunnelRequest, peerpb.TunnelResponse]) error {
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	n := s.node
	if n.tunnels.Add(1) > maxTunnels || n.tunnelsDone.Load() {
		n.tunnels.Add(-1)
		return stream.Send(&peerpb.TunnelResponse{Result: peerpb.TunnelResult_REJECTED})
	}
	defer n.tunnels.Add(-1)
	conn, result := n.dialForPeer(stream.Context(), request.GetAddress())
	if conn == nil {
		return stream.Send(&peerpb.TunnelResponse{Result: result, CutOff: n.options.Backends.CutOff(request.GetAddress())})
	}
	defer conn.Close()
	defer context.AfterFunc(stream.Context(), func() { conn.Close() })()
	if err := stream.Send(&peerpb.TunnelResponse{Result: peerpb.TunnelResult_OPENED}); err != nil {
		return err
	}
	// A server that closes its end for requests may still be answering, so the end of
	// this direction does not close the connection.
	go func() { _ = writeAll(conn, stream.Recv) }()
	return readAll(conn, func(data []byte) error { return stream.Send(&peerpb.TunnelResponse{Data: data}) })
}

// tunnelCheckInterval is the interval between checks for open tunnels.
const tunnelCheckInterval = 50 * time.Millisecond

// FinishTunnels waits until no connection is open for other hosts, opens no more from then
// on, and returns an error if ctx ends before that.
func (n *Node) FinishTunnels(ctx context.Context) error {
	defer n.tunnelsDone.Store(true)
	for {
		for n.Tunnels() > 0 {
			if err := sleep.For(ctx, tunnelCheckInterval); err != nil {
				return err
			}
		}
		if n.tunnelsDone.Swap(true) {
			return nil // none was opened since the last check
		}
	}
}

// Tunnels returns the number of connections that are open for other hosts. After
// FinishTunnels it does not rise.
func (n *Node) Tunnels() int { return int(n.tunnels.Load()) }

func (n *Node) dialForPeer(ctx context.Context, address string) (net.Conn, peerpb.TunnelResult) {
	conn, err := n.options.Backends.DialForPeer(ctx, address)
	switch {
	case err == nil:
		return conn, peerpb.TunnelResult_OPENED
	case errors.Is(err, ErrTunnelRejected):
		return nil, peerpb.TunnelResult_REJECTED
	case link.Refused(nil, err):
		return nil, peerpb.TunnelResult_REFUSED
	}
	return nil, peerpb.TunnelResult_UNREACHABLE
}

// writeAll writes the data of received messages until an error, which is io.EOF at
// the end of the stream.
func writeAll[M interface{ GetData() []byte }](conn net.Conn, receive func() (M, error)) error {
	for {
		message, err := receive()
		if err != nil {
			return err
		}
		if _, err := conn.Write(message.GetData()); err != nil {
			return err
		}
	}
}

// readAll sends what it reads until the end of the connection. The result is nil if
// the other end closed it in order.
func readAll(conn net.Conn, send func([]byte) error) error {
	for {
		buffer := make([]byte, tunnelBufferBytes) // not reused: send may keep it
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := send(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// OpenTunnel connects to a backend server from another host. Ctx bounds only the time
// until the connection is open. Errors: ErrUnknownHost, ErrHostGone, ErrUnreachable,
// and *TunnelError.
func (n *Node) OpenTunnel(ctx context.Context, host, address string) (net.Conn, error) {
	member, err := n.lookUp(host)
	if err != nil {
		return nil, err
	}
	pooled, err := n.data.acquire(member.PeerAddress)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	end := func() {
		cancel()
		n.data.release(pooled)
	}
	detach := context.AfterFunc(ctx, cancel)
	stream, err := openTunnel(streamCtx, pooled.client, host, address)
	var answer *TunnelError
	switch opened := detach(); {
	case err == nil && opened:
		return newTunnelConn(stream, host, end), nil
	case errors.As(err, &answer):
	default:
		if ctx.Err() != context.Canceled {
			n.data.drop(member.PeerAddress, pooled) // the connection may be silent
		}
		err = errors.Mark(errors.Wrapf(errors.CombineErrors(err, ctx.Err()), "peer: host %q", host), ErrUnreachable)
	}
	end()
	return nil, err
}

type tunnelStream = grpc.BidiStreamingClient[peerpb.TunnelRequest, peerpb.TunnelResponse]

func openTunnel(ctx context.Context, client peerpb.PeerClient, host, address string) (tunnelStream, error) {
	stream, err := client.Tunnel(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&peerpb.TunnelRequest{Address: address}); err != nil {
		return nil, err
	}
	response, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if response.GetResult() != peerpb.TunnelResult_OPENED {
		return nil, &TunnelError{Host: host, Result: response.GetResult(), CutOff: response.GetCutOff()}
	}
	return stream, nil
}

// tunnelConn is a connection to a backend server through another host. Its near end
// is one side of a pipe; two goroutines carry the bytes of the other side.
type tunnelConn struct {
	net.Conn
	host    string
	failure atomic.Pointer[error] // why the stream ended; nil: in order, or not yet
}

// newTunnelConn returns the connection of an open stream. End is called when it is
// closed at either end.
func newTunnelConn(stream tunnelStream, host string, end func()) *tunnelConn {
	near, far := net.Pipe()
	c := &tunnelConn{Conn: near, host: host}
	go func() {
		err := writeAll(far, stream.Recv)
		if !errors.Is(err, io.EOF) {
			c.failure.Store(&err)
		}
		far.Close() // after the reason is known; ends the copy in the other direction
	}()
	go func() {
		err := readAll(far, func(data []byte) error { return stream.Send(&peerpb.TunnelRequest{Data: data}) })
		if errors.Is(err, io.EOF) {
			// The stream has ended. The other direction receives what came before the end,
			// and the reason; until then what is still written is dropped.
			_, _ = io.Copy(io.Discard, far) // ends when either end is closed
		}
		end()
	}()
	return c
}

// Through returns the host that the connection leads through.
func (c *tunnelConn) Through() string { return c.host }

// SingleUse implements link.SingleUse.
func (c *tunnelConn) SingleUse() {}

// Read implements net.Conn. It returns io.EOF only if the server closed the
// connection in order.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if failure := c.failure.Load(); errors.Is(err, io.EOF) && failure != nil {
		return n, *failure
	}
	return n, closedError(err)
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, closedError(err)
}

// closedError translates the pipe's error for a closed connection.
func closedError(err error) error {
	if errors.Is(err, io.ErrClosedPipe) {
		return net.ErrClosed
	}
	return err
}
