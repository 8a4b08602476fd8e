package peer

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer/peerpb"
)

// endedStream is a tunnel's stream that has ended: sends fail, and some time later the
// received data and the reason of the end arrive.
type endedStream struct {
	tunnelStream
	sendErr  error
	received []string
	reason   error
}

func (s *endedStream) Send(*peerpb.TunnelRequest) error { return s.sendErr }

func (s *endedStream) Recv() (*peerpb.TunnelResponse, error) {
	time.Sleep(time.Second)
	if len(s.received) == 0 {
		return nil, s.reason
	}
	data := s.received[0]
	s.received = s.received[1:]
	return &peerpb.TunnelResponse{Data: []byte(data)}, nil
}

// Guards against a tunnel that breaks while a request is being sent and reads like a
// connection that the server closed in order.
func TestTunnelThatBreaksWhileSendingIsNoOrderlyEnd(t *testing.T) {
	broke := errors.New("path broke")
	for _, c := range []struct {
		name   string
		stream endedStream
		want   error
	}{
		{"broken", endedStream{sendErr: io.EOF, reason: broke}, broke},
		{"broken after data", endedStream{sendErr: io.EOF, received: []string{"a", "b"}, reason: broke}, broke},
		{"answered and closed by the server", endedStream{sendErr: io.EOF, received: []string{"a", "b"}, reason: io.EOF}, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var want string
			for _, data := range c.stream.received {
				want += data
			}
			conn := newTunnelConn(&c.stream, "helper", func() {})
			defer conn.Close()
			for range 2 {
				_, err := conn.Write([]byte("request")) // like a connection whose other end has closed
				is.NoErr(err)
			}
			got, err := io.ReadAll(conn)
			is.Equal(string(got), want)     // what the server sent before the end
			is.True(errors.Is(err, c.want)) // ReadAll returns nil for an orderly end
		})
	}
}

// Guards against a tunnel whose message cannot be sent and that reads like a connection
// that the server closed in order.
func TestTunnelThatCannotSendIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, cancelled := is.New(t), make(chan struct{})
		stream := &endedStream{sendErr: errors.New("too large"), reason: errors.New("cancelled")}
		conn := newTunnelConn(stream, "helper", func() { close(cancelled) })
		defer conn.Close()
		_, err := conn.Write([]byte("request"))
		is.NoErr(err)
		<-cancelled
		_, err = io.ReadAll(conn)
		is.True(errors.Is(err, stream.reason))
	})
}
