package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/link"
)

// Guards against a part of an answer that counts as whole because its connection was reset while
// the upload was being written.
func TestPartOfAnswerBeforeResetOfUploadIsNotWhole(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\n\r\n{}", HeaderRequestID, request.Header.Get(HeaderRequestID))
			}
			time.Sleep(2 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	client := NewClient(link.NewTCP(3*time.Second), ClientOptions{})
	defer client.Close()
	for range 20 {
		_, err := client.Call(context.Background(), listener.Addr().String(), PlainRequest{Method: http.MethodPost, Path: "/x", Body: make([]byte, 64<<20)})
		is.True(err != nil)
	}
	_, err = client.Call(context.Background(), listener.Addr().String(), PlainRequest{Method: http.MethodPost, Path: "/x", Body: []byte("short")})
	is.True(err != nil) // reset, though all was sent
}
