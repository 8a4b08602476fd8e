package link

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// servedByChild is the variable that makes this test's program serve streams until it is
// killed; it contains the word that ResetOnClose gets.
const servedByChild = "LINK_TEST_SERVES"

const firstPart = "first part\n"

// serveUntilKilled prints its address, begins an answer to each request and never ends it.
func serveUntilKilled() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if os.Getenv(servedByChild) == "reset" && ResetOnClose(r.Context(), true) != nil {
			os.Exit(1)
		}
		_, _ = io.WriteString(w, firstPart) // the test sees what is missing
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Minute)
	}
	_, _ = io.WriteString(os.Stdout, listener.Addr().String()+"\n")
	_ = NewDrainServer(&http.Server{Handler: http.HandlerFunc(handler)}).Serve(listener)
}

// Guards against a host that is killed and whose unfinished close-delimited streams look
// complete.
func TestResetOnCloseHoldsWhenTheProcessIsKilled(t *testing.T) {
	if os.Getenv(servedByChild) != "" {
		serveUntilKilled()
		return
	}
	for word, want := range map[string]error{"reset": syscall.ECONNRESET, "close": nil} {
		is := is.New(t)
		child := exec.Command(os.Args[0], "-test.run=^TestResetOnCloseHoldsWhenTheProcessIsKilled$")
		child.Env = append(os.Environ(), servedByChild+"="+word)
		out, err := child.StdoutPipe()
		is.NoErr(err)
		is.NoErr(child.Start())
		address, err := bufio.NewReader(out).ReadString('\n')
		is.NoErr(err)
		conn, err := net.Dial("tcp", address[:len(address)-1])
		is.NoErr(err)
		_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_, err = io.ReadFull(response.Body, make([]byte, len(firstPart)))
		is.NoErr(err)
		is.NoErr(child.Process.Kill())
		_ = child.Wait() // reports that it was killed
		_, err = io.ReadAll(response.Body)
		if !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", word, err, want)
		}
		conn.Close()
	}
}
