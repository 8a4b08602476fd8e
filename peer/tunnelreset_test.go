package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a tunnel that ends in order although the server reset its connection while an
// upload was being written.
func TestResetOfAnUploadBehindATunnelIsNoOrderlyEnd(t *testing.T) {
	const rounds = 50
	node, helper, server := startTunnels(t, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 1)) // the upload has begun
		_, _ = io.WriteString(conn, "part of an answer")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	orderly := 0
	for range rounds {
		conn, err := node.OpenTunnel(t.Context(), helper, server)
		is.New(t).NoErr(err)
		go func() { _, _ = conn.Write(make([]byte, 64<<20)) }() // ends with the connection
		if _, err := io.ReadAll(conn); err == nil {
			orderly++
		}
		conn.Close()
	}
	if orderly > 0 {
		t.Errorf("%d of %d resets look like an end in order", orderly, rounds)
	}
}
