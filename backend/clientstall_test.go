package backend_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/network"
)

// Guards against a write that blocks forever because a stalled engine reads nothing.
func TestStartTimesOutOnEngineThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := network.New(network.Options{})
		listener, err := fabric.Host("10.0.1.1").Listen("10.0.1.1:9000")
		is.NoErr(err)
		defer listener.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			if conn, err := listener.Accept(); err == nil {
				accepted <- conn
			}
		}()
		client := backend.NewClient(fabric.Host("10.0.0.1"), backend.ClientOptions{StreamReadTimeout: 2 * time.Second})
		began := time.Now()
		_, err = client.Start(context.Background(), "10.0.1.1:9000", backend.CompletionRequest{Prompt: strings.Repeat("x", 1<<20)})
		var call *backend.CallError
		is.True(errors.As(err, &call))
		is.Equal(call.Evidence, backend.Silent) // bytes were sent: the request may have run
		is.Equal(time.Since(began), 2*time.Second)
		conn := <-accepted
		is.NoErr(conn.Close())
	})
}
