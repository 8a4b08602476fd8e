package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// outcome is what a client has seen of one request.
type outcome struct {
	status int  // of the answer; zero: none
	kept   bool // the connection had served a request before
	closed bool // the host closed or reset the connection without an answer, before the deadline
	detail string
}

// keptClient sends one request after the other on a kept connection to one host.
type keptClient struct {
	host   *host
	key    string
	front  string
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

func (w *world) newClient(h *host) *keptClient {
	return &keptClient{host: h, key: "key-1", front: w.front(h)}
}

func (c *keptClient) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.used = nil, 0
}

// post sends one request that is not idempotent, and never sends it again.
func (c *keptClient) post(id string, body []byte, deadline time.Duration) outcome {
	until := time.Now().Add(deadline)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return outcome{detail: "no connection"}
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	seen := outcome{kept: c.used > 0}
	_ = c.conn.SetDeadline(until)
	head := fmt.Sprintf("POST /write/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		wire.Attempt, id, wire.Deadline, deadline.Milliseconds(), c.key, len(body))
	response, err := c.exchange(head, body)
	if err != nil {
		seen.closed, seen.detail = !errors.Is(err, os.ErrDeadlineExceeded), err.Error()
		c.close()
		return seen
	}
	seen.status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	c.used++
	if err != nil || response.Close {
		c.close()
	}
	return seen
}

func (c *keptClient) exchange(head string, body []byte) (*http.Response, error) {
	if _, err := io.WriteString(c.conn, head); err != nil {
		return nil, err
	}
	if _, err := c.conn.Write(body); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// results counts what the clients have seen.
type results struct {
	mu       sync.Mutex
	statuses map[int]int
	lost     int // on a kept connection, run by a sound worker, closed without an answer
}

func newResults() *results { return &results{statuses: map[int]int{}} }

// add records what a client has seen of a request, and which worker ran it.
func (r *results) add(w *world, workers []*worker, id string, h *host, seen outcome) {
	sound := ""
	for _, k := range workers {
		if k.ran(id) && !k.garbled(id) {
			sound = k.id
		}
	}
	lost := seen.closed && seen.kept && sound != ""
	w.log("%s at %s: status %d, kept connection %t, closed without an answer %t, run by sound worker %q %s", id, h.name, seen.status, seen.kept, seen.closed, sound, seen.detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[seen.status]++
	if lost {
		r.lost++
		w.log("LOST %s", id)
	}
}

// lostAllowed is the number of requests that the rule LOST excuses.
const lostAllowed = 3

// judgeLost applies the rule LOST to the requests on kept connections.
func (w *world) judgeLost(r *results, kills *killCount) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.log("answers by status (0: none): %v", r.statuses)
	w.log("processes over their memory limit: %v", kills.counts())
	w.log("kept connections closed without an answer after a sound worker got the request: %d; the rule allows %d", r.lost, lostAllowed)
	fmt.Printf("answers %v, over the memory limit %v, lost %d\n", r.statuses, kills.counts(), r.lost)
	switch {
	case r.statuses[http.StatusOK] == 0:
		return unclear
	case r.lost > lostAllowed:
		return broken
	}
	return held
}
