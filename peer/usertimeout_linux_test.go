package peer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/papayasail/papayasail/link"
)

// recordingNetwork records the connections that it opens and accepts.
type recordingNetwork struct {
	link.TCP

	mu    sync.Mutex // guards conns
	conns []syscall.Conn
}

func (r *recordingNetwork) record(conn net.Conn, err error) (net.Conn, error) {
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.conns = append(r.conns, conn.(syscall.Conn))
	}
	return conn, err
}

func (r *recordingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return r.record(r.TCP.Dial(ctx, address))
}

func (r *recordingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := r.TCP.Listen(address)
	return recordingListener{listener, r}, err
}

type recordingListener struct {
	net.Listener
	network *recordingNetwork
}

func (l recordingListener) Accept() (net.Conn, error) { return l.network.record(l.Listener.Accept()) }

// Guards against an RPC library that replaces the time after which a silent connection
// between hosts is given up, in either direction.
func TestConnectionsBetweenHostsKeepTheirUserTimeout(t *testing.T) {
	const silence = 3 * time.Second
	is := is.New(t)
	network := &recordingNetwork{TCP: link.NewTCP(silence)}
	addresses := []string{freeAddress(t), freeAddress(t)}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for i, address := range addresses {
		node := New(Options{
			Self: Member{Host: address, FailureDomain: "a", PeerAddress: address}, Network: network, Seeds: addresses[:1], Configuration: newTableFake(),
			ProbeInterval: 50 * time.Millisecond,
		})
		running.Go(func() { _ = node.Run(ctx) })
		if i > 0 {
			<-node.Joined()
		}
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	is.True(len(network.conns) >= 2) // both ends of one connection
	for _, conn := range network.conns {
		raw, err := conn.SyscallConn()
		is.NoErr(err)
		err = raw.Control(func(fd uintptr) {
			ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			is.NoErr(err)
			is.Equal(time.Duration(ms)*time.Millisecond, silence)
		})
		is.NoErr(err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer listener.Close()
	return listener.Addr().String()
}
