package link_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/link"
)

// intakeServer serves with an intake until the end of the bubble. Each request reads its body
// and waits until release is closed; nil: it does not wait.
func intakeServer(t *testing.T, fabric *network.Fabric, o link.IntakeOptions, release chan struct{}) *link.Intake {
	is := is.New(t)
	listener, err := fabric.Host("10.0.0.1").Listen(serverAddress)
	is.NoErr(err)
	server := link.NewDrainServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := link.RequestAccount(r.Context()).ReadAll(r.Body, 1<<20)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if release != nil {
			<-release
		}
		_, _ = io.WriteString(w, "ok") // the test reads the response
	})})
	o.RefusalBody = []byte("not run")
	server.Intake = link.NewIntake(o)
	go func() { _ = server.Serve(listener) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
	return server.Intake
}

// connect opens a connection to the server and sends text.
func connect(t *testing.T, fabric *network.Fabric, text string) net.Conn {
	is := is.New(t)
	is.Helper()
	conn, err := fabric.Host("10.0.0.2").Dial(t.Context(), serverAddress)
	is.NoErr(err)
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	synctest.Wait()
	time.Sleep(10 * time.Millisecond)
	return conn
}

// closed reports whether the server has closed a connection, and what it sent before.
func closed(conn net.Conn) (sent string, ended bool) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection
	data, err := io.ReadAll(conn)
	var timeout net.Error
	return string(data), !errors.As(err, &timeout) || !timeout.Timeout()
}

func headOf(lines int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: h\r\n")
	for i := range lines {
		fmt.Fprintf(&b, "H%d: v\r\n", i)
	}
	return b.String()
}

func inIntakeBubble(t *testing.T, test func(t *testing.T, is *is.I, fabric *network.Fabric)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), network.New(network.Options{})) })
}

// Guards against ordinary callers that are turned away while others hold the memory with
// requests that they do not complete.
func TestIntakeEndsWhatHoldsMostForLongest(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		intake := intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: 100}, nil)
		idle := connect(t, fabric, requestText)
		readAnswer(t, idle)
		head := connect(t, fabric, headOf(1200))
		body := connect(t, fabric, headOf(300)+"Content-Length: 9\r\n\r\n")
		for range 40 {
			readAnswer(t, connect(t, fabric, requestText))
		}
		second := connect(t, fabric, headOf(1200))
		sent, ended := closed(head)
		is.True(ended)
		is.True(strings.HasPrefix(sent, "HTTP/1.1 503 "))
		is.True(strings.HasSuffix(sent, "\r\n\r\nnot run"))
		_, err := io.WriteString(body, "the body.")
		is.NoErr(err)
		readAnswer(t, body) // it holds less
		_, err = io.WriteString(idle, requestText)
		is.NoErr(err)
		readAnswer(t, idle)
		second.Close()
		is.True(intake.Budget().Free() < 1<<20)
	})
}

// Guards against a body that is held back while others are turned away, and against an answer
// to it that does not say that it has not run.
func TestIntakeEndsIncompleteBodies(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: 3}, nil)
		held := connect(t, fabric, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nthe")
		time.Sleep(time.Second)
		for range 3 {
			readAnswer(t, connect(t, fabric, requestText))
		}
		sent, ended := closed(held)
		is.True(ended)
		is.True(strings.HasPrefix(sent, "HTTP/1.1 503 "))
		is.True(strings.Contains(sent, "\r\nConnection: close\r\n"))
	})
}

// Guards against a request that has arrived whole and is cut off because others need room.
func TestIntakeDoesNotEndWholeRequests(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		release := make(chan struct{})
		intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: 2}, release)
		first, second := connect(t, fabric, requestText), connect(t, fabric, requestText)
		surplus, err := fabric.Host("10.0.0.2").Dial(t.Context(), serverAddress)
		is.NoErr(err)
		sent, ended := closed(surplus)
		is.True(ended)
		is.Equal(sent, "")
		close(release)
		readAnswer(t, first)
		readAnswer(t, second)
	})
}

// Guards against a request that is lost because it arrives on an idle connection which is
// being ended.
func TestIntakeServesRequestThatArrivesOnAnEndingConnection(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: 2}, nil)
		oldest, idle := connect(t, fabric, requestText), connect(t, fabric, requestText)
		readAnswer(t, oldest)
		readAnswer(t, idle)
		fabric.Delay("10.0.0.2", "10.0.0.1", 20*time.Millisecond)
		_, err := io.WriteString(oldest, requestText) // arrives after the next connection
		is.NoErr(err)
		connected := make(chan struct{})
		go func() {
			connect(t, fabric, requestText)
			close(connected)
		}()
		readAnswer(t, oldest)
		<-connected
	})
}

// Guards against ordinary callers that end each other's connections, whose requests are on
// their way, while others keep idle ones.
func TestIntakeEndsIdleConnectionsBeforeThoseThatHaveJustBegun(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		const limit = 8
		intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: limit}, nil)
		kept := connect(t, fabric, requestText)
		readAnswer(t, kept)
		time.Sleep(time.Second)
		for range limit - 1 {
			readAnswer(t, connect(t, fabric, requestText))
		}
		first := connect(t, fabric, "") // 10 ms pass
		second := connect(t, fabric, "GET / HTT")
		for _, c := range []struct {
			conn net.Conn
			rest string
		}{{first, requestText}, {second, "P/1.1\r\nHost: h\r\n\r\n"}} {
			_, err := io.WriteString(c.conn, c.rest)
			is.NoErr(err)
			readAnswer(t, c.conn)
		}
		_, ended := closed(kept)
		is.True(ended)
	})
}

// Guards against idle connections of callers that are ended before connections on which
// nothing or only a part of a request has arrived, and in another order than from the oldest.
func TestIntakeEndsIdleConnectionsLast(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: 4}, nil)
		var idle []net.Conn
		for range 2 {
			conn := connect(t, fabric, requestText)
			readAnswer(t, conn)
			idle = append(idle, conn)
		}
		silent, partial := connect(t, fabric, ""), connect(t, fabric, "POST /")
		time.Sleep(time.Second)
		for _, expected := range []net.Conn{partial, silent} { // a request holds more
			readAnswer(t, connect(t, fabric, requestText))
			_, ended := closed(expected)
			is.True(ended)
		}
		readAnswer(t, connect(t, fabric, requestText))
		sent, ended := closed(idle[0])
		is.True(ended)
		is.Equal(sent, "")
		_, err := io.WriteString(idle[1], requestText)
		is.NoErr(err)
		readAnswer(t, idle[1])
	})
}

// Guards against pipelined requests whose heads are read ahead and not accounted for.
func TestIntakeCountsHeadsReadAhead(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		intake := intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: 4}, nil)
		free := intake.Budget().Free()
		conn := connect(t, fabric, requestText+requestText+requestText)
		reader := bufio.NewReader(conn)
		for range 3 {
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		}
		is.True(intake.Budget().Free() < free)
		conn.Close()
		time.Sleep(time.Second)
		is.Equal(intake.Budget().Free(), free)
		is.Equal(intake.Connections(), 0)
	})
}

// Guards against a caller that is refused in calm although its request is within the limits.
func TestIntakeServesSingleLargeHead(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		intakeServer(t, fabric, link.IntakeOptions{Memory: 4 << 20, Connections: 4}, nil)
		for range 3 {
			conn := connect(t, fabric, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 5400)+"\r\n")
			readAnswer(t, conn)
		}
	})
}

// Guards against heads over the limit in force, and against a limit that a smaller head meets.
func TestIntakeLimitsHeads(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		limit := 16 << 10
		intakeServer(t, fabric, link.IntakeOptions{Memory: 16 << 20, Connections: 100, MaxHeadBytes: func() int { return limit }}, nil)
		head := func(size int) string {
			const start, end = "GET / HTTP/1.1\r\nHost: h\r\nLong: ", "\r\n\r\n"
			return start + strings.Repeat("a", size-len(start)-len(end)) + end
		}
		conn := connect(t, fabric, requestText)
		readAnswer(t, conn)
		for range 3 {
			_, err := io.WriteString(conn, head(limit))
			is.NoErr(err)
			readAnswer(t, conn)
		}
		sent, ended := closed(connect(t, fabric, head(limit+16<<10)))
		is.True(ended)
		is.True(strings.HasPrefix(sent, "HTTP/1.1 431 "))
		limit = 64 << 10
		readAnswer(t, connect(t, fabric, head(limit)))
	})
}

// Guards against more open connections than the limit for good, which slow down each accept,
// because requests have arrived on connections that were being ended.
func TestIntakeReturnsToItsLimit(t *testing.T) {
	inIntakeBubble(t, func(t *testing.T, is *is.I, fabric *network.Fabric) {
		const limit = 8
		intake := intakeServer(t, fabric, link.IntakeOptions{Memory: 1 << 20, Connections: limit}, nil)
		var idle []net.Conn
		for range limit {
			conn := connect(t, fabric, requestText)
			readAnswer(t, conn)
			idle = append(idle, conn)
		}
		fabric.Delay("10.0.0.2", "10.0.0.1", 50*time.Millisecond)
		call := func() {
			conn, err := fabric.Host("10.0.0.3").Dial(t.Context(), serverAddress)
			is.NoErr(err)
			_, err = io.WriteString(conn, requestText)
			is.NoErr(err)
			readAnswer(t, conn)
		}
		for _, conn := range idle[:2] {
			_, err := io.WriteString(conn, requestText) // arrives after the next connections
			is.NoErr(err)
		}
		call()
		call()
		for _, conn := range idle[:2] {
			readAnswer(t, conn)
		}
		is.Equal(intake.Connections(), limit+2)
		call()
		time.Sleep(time.Second)
		is.Equal(intake.Connections(), limit)
	})
}
