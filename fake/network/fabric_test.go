package network

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
)

const (
	left  = "10.0.0.1"
	right = "10.0.0.2"
)

// pair returns both ends of a connection from left to right.
func pair(t *testing.T, f *Fabric) (near, far net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := f.Host(right).Listen(right + ":0")
	is.NoErr(err)
	near, err = f.Host(left).Dial(context.Background(), l.Addr().String())
	is.NoErr(err)
	far, err = l.Accept()
	is.NoErr(err)
	is.NoErr(l.Close())
	return near, far
}

func TestSilencedConnectionStaysSilentAfterHealWhileNewOnesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		near, far := pair(t, f)
		f.Silence(left, right)
		_, err := near.Write([]byte("lost"))
		is.NoErr(err) // the sender does not notice
		f.Heal(left, right)
		_, err = near.Write([]byte("lost too"))
		is.NoErr(err)
		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = far.Read(make([]byte, 8))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.NoErr(near.Close())
		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = far.Read(make([]byte, 8))
		is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the close does not arrive either

		fresh, other := pair(t, f)
		_, err = fresh.Write([]byte("here"))
		is.NoErr(err)
		buf := make([]byte, 8)
		n, err := other.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), "here")
	})
}

func TestSilentLinkBlocksDialUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		l, err := f.Host(right).Listen(right + ":80")
		is.NoErr(err)
		defer l.Close()
		f.Silence(left, right)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		_, err = f.Host(left).Dial(ctx, right+":80")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(start), time.Second)
	})
}

func TestCutBreaksConnectionsAndRefusesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		near, far := pair(t, f)
		l, err := f.Host(right).Listen(right + ":80")
		is.NoErr(err)
		defer l.Close()
		f.Cut(left, right)
		_, err = near.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
		_, err = far.Write([]byte("x"))
		is.True(errors.Is(err, syscall.EPIPE))
		_, err = f.Host(left).Dial(context.Background(), right+":80")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		f.Heal(left, right)
		_, err = f.Host(left).Dial(context.Background(), right+":80")
		is.NoErr(err)
	})
}

func TestFreezeStallsAndThawFindsDeadlinePassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		near, far := pair(t, f)
		f.Freeze(right)
		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := near.Write([]byte("x"))
		is.NoErr(err) // the frozen machine's kernel accepts the bytes
		start := time.Now()
		time.AfterFunc(time.Minute, func() { f.Thaw(right) })
		_, err = far.Read(make([]byte, 1))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(start), time.Minute)
	})
}

// Guards against a read that blocks forever after a machine was frozen in it and the
// link was cut meanwhile.
func TestThawWakesReaderOfBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		_, far := pair(t, f)
		f.Freeze(right)
		time.AfterFunc(time.Second, func() { f.Cut(left, right) })
		time.AfterFunc(2*time.Second, func() { f.Thaw(right) })
		_, err := far.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
	})
}

func TestKillResetsOthersAndFreesTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		near, _ := pair(t, f)
		l, err := f.Host(right).Listen(right + ":80")
		is.NoErr(err)
		f.Kill(right)
		_, err = near.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
		_, err = l.Accept()
		is.True(errors.Is(err, net.ErrClosed))
		_, err = f.Host(right).Listen(right + ":80")
		is.NoErr(err)
	})
}

func TestStallHoldsBytesBackAndDelayPostponesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		near, far := pair(t, f)
		f.Delay(left, right, 3*time.Millisecond)
		f.Stall(left, right)
		_, err := near.Write([]byte("x"))
		is.NoErr(err)
		start := time.Now()
		time.AfterFunc(time.Second, func() { f.Heal(left, right) })
		_, err = far.Read(make([]byte, 1))
		is.NoErr(err)
		is.Equal(time.Since(start), time.Second)
		start = time.Now()
		_, err = near.Write([]byte("y"))
		is.NoErr(err)
		_, err = far.Read(make([]byte, 1))
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Millisecond)
	})
}

func TestFullBufferBlocksWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{BufferBytes: 4})
		near, _ := pair(t, f)
		is.NoErr(near.SetWriteDeadline(time.Now().Add(time.Second)))
		n, err := near.Write([]byte("123456"))
		is.Equal(n, 4)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

func TestHTTPRunsOverFabric(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		l, err := f.Host(right).Listen(right + ":80")
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(w, r.Body)
		})}
		go server.Serve(l)
		near := f.Host(left)
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return near.Dial(ctx, address)
		}}
		client := &http.Client{Transport: transport}
		for range 3 {
			response, err := client.Get("http://" + right + ":80/")
			is.NoErr(err)
			is.NoErr(response.Body.Close())
		}
		transport.CloseIdleConnections()
		is.NoErr(server.Close())
	})
}

func TestGRPCRunsOverFabric(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{})
		l, err := f.Host(right).Listen(right + ":90")
		is.NoErr(err)
		server := grpc.NewServer()
		grpc_health_v1.RegisterHealthServer(server, health.NewServer())
		go server.Serve(l)
		client, err := grpc.NewClient("passthrough:///"+right+":90",
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(f.Host(left).Dial))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = grpc_health_v1.NewHealthClient(client).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
		is.NoErr(err)
		is.NoErr(client.Close())
		server.Stop()
	})
}

// Guards against a reset that reads like an end in order.
func TestResetAndCloseAreTwoEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		close func(f *Fabric, near, far net.Conn)
		want  error
	}{
		{"closed", func(_ *Fabric, _, far net.Conn) { far.Close() }, nil},
		{"process ended", func(f *Fabric, _, _ net.Conn) { f.Exit(right) }, nil},
		{"closed with unread bytes", func(_ *Fabric, near, far net.Conn) {
			_, _ = near.Write([]byte("unread"))
			far.Close()
		}, syscall.ECONNRESET},
		{"closed without lingering", func(_ *Fabric, _, far net.Conn) {
			_ = far.(interface{ SetLinger(int) error }).SetLinger(0)
			far.Close()
		}, syscall.ECONNRESET},
		{"killed", func(f *Fabric, _, _ net.Conn) { f.Kill(right) }, syscall.ECONNRESET},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := New(Options{})
			near, far := pair(t, f)
			_, err := far.Write([]byte("answer"))
			is.NoErr(err)
			c.close(f, near, far)
			got, err := io.ReadAll(near)
			if string(got) != "answer" || !errors.Is(err, c.want) {
				t.Errorf("%s: read %q and error %v", c.name, got, err)
			}
			near.Close()
		})
	}
}
