package peer

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/link"
)

// directDialer opens tunnels to any address.
type directDialer struct{ link.Network }

func (d directDialer) DialForPeer(ctx context.Context, address string) (net.Conn, error) {
	return d.Dial(ctx, address)
}
func (directDialer) CutOff(string) bool { return false }

// startTunnels returns a host, the name of another one that opens tunnels, and the
// address of a server that serves each connection as given, all over loopback.
func startTunnels(t testing.TB, serve func(conn net.Conn)) (node *Node, helper, server string) {
	t.Helper()
	is := is.New(t)
	network := link.NewTCP(3 * time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { serve(conn); conn.Close() }()
		}
	}()
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		return l.Addr().String()
	}
	addresses := []string{free(), free()}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); listener.Close() })
	for _, address := range addresses {
		started := New(Options{
			Self: Member{Host: address, FailureDomain: "a", PeerAddress: address}, Network: network, Seeds: addresses[:1], Configuration: newTableFake(),
			Backends: directDialer{network},
		})
		go func() { _ = started.Run(ctx) }()
		node = started
	}
	<-node.Joined()
	return node, addresses[0], listener.Addr().String()
}

func echo(conn net.Conn) { _, _ = io.Copy(conn, conn) }

// BenchmarkTunnel measures one request of 1 KB with an answer of the same size through a
// tunnel, the work of both hosts and of the echoing server together.
func BenchmarkTunnel(b *testing.B) {
	is := is.New(b)
	node, helper, server := startTunnels(b, echo)
	data := make([]byte, 1<<10)
	for b.Loop() {
		conn, err := node.OpenTunnel(b.Context(), helper, server)
		is.NoErr(err)
		_, err = conn.Write(data)
		is.NoErr(err)
		_, err = io.ReadFull(conn, data)
		is.NoErr(err)
		conn.Close()
	}
}

// BenchmarkOpenTunnels reports the memory of one open tunnel at both hosts together.
func BenchmarkOpenTunnels(b *testing.B) {
	const open = 200
	is := is.New(b)
	node, helper, server := startTunnels(b, echo)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var conns []net.Conn
		for range open {
			conn, err := node.OpenTunnel(b.Context(), helper, server)
			is.NoErr(err)
			conns = append(conns, conn)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/open/1024, "KB/tunnel")
		for _, conn := range conns {
			conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}
