package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	partOfAnswer = "part of an answer"
	// longUpload does not fit into the buffers of a connection.
	longUpload   = 64 << 20
	lastOfUpload = 4 << 20
)

// exchangeWith connects to a server that gets its end of the connection, writes an upload while
// it reads, and returns what both calls gave.
func exchangeWith(t *testing.T, upload int, serve func(conn *net.TCPConn)) (answer string, readErr, writeErr error) {
	t.Helper()
	is := is.New(t)
	network := NewTCP(3 * time.Second)
	listener, err := network.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := io.ReadFull(conn, make([]byte, 1)); err == nil { // the upload has begun
			serve(conn.(*net.TCPConn))
		}
	}()
	conn, err := network.Dial(context.Background(), listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, upload))
		written <- err
	}()
	body, readErr := io.ReadAll(conn)
	writeErr = <-written
	<-served
	return string(body), readErr, writeErr
}

// Guards against a connection that was reset during an upload and that looks closed in order
// to its reader, because the kernel has reported the reset to the writer.
func TestResetDuringAnUploadIsNoOrderlyEnd(t *testing.T) {
	const rounds = 100
	whole := 0
	for range rounds {
		answer, err, _ := exchangeWith(t, longUpload, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, partOfAnswer) // the reader sees what is missing
			time.Sleep(2 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		if err == nil {
			whole++
			is.New(t).Equal(answer, partOfAnswer)
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d resets look like an end in order", whole, rounds)
	}
}

// Guards against a server that closes in order with an upload unfinished, which the kernel then
// resets, and whose part of an answer looks complete.
func TestEndThatLeavesAnUploadUnfinishedIsNoOrderlyEnd(t *testing.T) {
	_, err, _ := exchangeWith(t, longUpload, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, partOfAnswer) // the reader sees what is missing
		_ = conn.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	is.New(t).True(err != nil)
}

// Guards against answers that count as broken because their server ended them in order before
// it had read the upload, and read the rest.
func TestAnswerThatEndsBeforeTheUploadIsWhole(t *testing.T) {
	is := is.New(t)
	answer, readErr, writeErr := exchangeWith(t, longUpload, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, partOfAnswer) // the reader sees what is missing
		_, _ = io.CopyN(io.Discard, conn, longUpload-lastOfUpload)
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, lastOfUpload-1)
	})
	is.NoErr(readErr)
	is.NoErr(writeErr)
	is.Equal(answer, partOfAnswer)
}

// Guards against a reader that waits for a server which has closed its end and reads nothing.
func TestEndDuringAnUploadThatIsNotReadIsBounded(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	began := time.Now()
	_, err, _ := exchangeWith(t, longUpload, func(conn *net.TCPConn) {
		defer close(ended)
		_ = conn.CloseWrite()
		time.Sleep(time.Second)
	})
	<-ended
	is.True(err != nil)
	is.True(time.Since(began) < 3*time.Second)
}
