package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// caller is a client: it asks a directory where to connect, keeps the answer, opens a
// connection for each request, and tries again as the pages allow.
type caller struct {
	world *world
	zone  string
	http  *http.Client

	mu      sync.Mutex // guards the fields below
	addrs   []string
	expires time.Time
}

func newCaller(w *world, zone string) *caller {
	return &caller{world: w, zone: zone, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// request is what a client asks for.
type request struct {
	method, path string
	key          string // "": none is sent
	kind         string // safe, unsafe or stream
	deadline     time.Duration
	prompt       bool // the headers of a generation are sent
}

// result is the end of one client attempt.
type result struct {
	id     string
	sent   time.Time
	status int // zero: no whole answer
	stamp  string
	body   string
}

// retries is how often a client tries again.
const retries = 1

// do sends a request, and again after a failure, and returns all attempts.
func (c *caller) do(r request) []result {
	deadline := time.Now().Add(r.deadline)
	var results []result
	for range 1 + retries {
		last, wait := c.try(r, deadline)
		results = append(results, last)
		if !mayRetry(r, last) {
			return results
		}
		if wait = min(wait, time.Until(deadline)/3); wait > 0 {
			time.Sleep(wait)
		}
		if time.Until(deadline) < 50*time.Millisecond {
			return results
		}
	}
	return results
}

// mayRetry reports whether a client tries again after a result.
func mayRetry(r request, last result) bool {
	switch last.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return false
	}
	return r.kind == "safe" && (last.status == 0 || last.status >= http.StatusInternalServerError)
}

// try makes one client attempt, and returns how long the host asks the client to wait.
func (c *caller) try(r request, deadline time.Time) (result, time.Duration) {
	attempt := result{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	address, err := c.resolve()
	if err != nil {
		c.world.note("client finds no host for %s: %v", attempt.id, err)
		return attempt, 100 * time.Millisecond
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	body := io.Reader(http.NoBody)
	if r.method != http.MethodGet {
		body = strings.NewReader("body of " + attempt.id)
	}
	message, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		panic(err) // the requests are this program's own
	}
	message.Host = callerHost
	message.Header.Set(wire.Attempt, attempt.id)
	message.Header.Set(wire.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if r.key != "" {
		message.Header.Set("Authorization", "Token "+r.key)
	}
	if r.prompt {
		message.Header.Set("X-Model", "m")
		message.Header.Set(wire.Tokens, "100,20")
		message.Header.Set(wire.Parts, fmt.Sprintf("5c1e07a2:50,%s:50", attempt.id[:8]))
	}
	c.world.note("client sends %s %s %s with key %q to %s", attempt.id, r.method, r.path, r.key, address)
	wait := c.exchange(message, &attempt)
	c.world.note("client gets %d for %s, signature %q, %d bytes", attempt.status, attempt.id, attempt.stamp, len(attempt.body))
	return attempt, wait
}

// exchange sends a request and reads the whole answer.
func (c *caller) exchange(message *http.Request, attempt *result) (wait time.Duration) {
	response, err := c.http.Do(message)
	if err != nil {
		c.forget(message.URL.Host)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	attempt.status, attempt.stamp, attempt.body = response.StatusCode, response.Header.Get(wire.Stamp), string(body)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// resolve returns the address of a host at random, of those that a directory names.
func (c *caller) resolve() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 || time.Now().After(c.expires) {
		if err := c.ask(); err != nil && len(c.addrs) == 0 {
			return "", err
		}
	}
	return c.addrs[rand.IntN(len(c.addrs))], nil
}

// ask asks up to three directories. Requires mu.
func (c *caller) ask() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {callerHost}, "region": {"ic-anadolu"}, "zone": {c.zone}}
	hosts, err := c.world.hosts, error(nil)
	first := rand.IntN(len(hosts))
	for i := range min(3, len(hosts)) {
		var response *http.Response
		if response, err = client.Get("http://" + hosts[(first+i)%len(hosts)].address("directory") + "/resolve?" + query.Encode()); err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err == nil && len(answer.Addrs) > 0 {
			c.addrs, c.expires = answer.Addrs, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
			return nil
		}
	}
	if err == nil {
		err = fmt.Errorf("the directory names no host")
	}
	return err
}

// forget drops an address that has failed.
func (c *caller) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, known := range c.addrs {
		if known == address {
			c.addrs = append(c.addrs[:i:i], c.addrs[i+1:]...)
			return
		}
	}
}

// traffic is requests of one kind at a steady rate, and their attempts.
type traffic struct {
	mu      sync.Mutex // guards results
	results []result
	stop    chan struct{}
	group   sync.WaitGroup
}

// send sends a request at each interval, by clients of all zones in turn, until stop.
func (w *world) send(r request, interval time.Duration) *traffic {
	t := &traffic{stop: make(chan struct{})}
	callers := []*caller{newCaller(w, "zone-0"), newCaller(w, "zone-1"), newCaller(w, "zone-2")}
	t.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-t.stop:
				return
			}
			t.group.Go(func() {
				results := callers[i%len(callers)].do(r)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.results = append(t.results, results...)
			})
		}
	})
	return t
}

// end stops the traffic and returns all attempts.
func (t *traffic) end() []result {
	close(t.stop)
	t.group.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.results
}

// served counts the attempts sent in a time, and those of them that were answered with a
// signed success.
func served(results []result, from, to time.Time) (sent, answered int) {
	for _, r := range results {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.status >= 200 && r.status < 300 && r.stamp != "" {
			answered++
		}
	}
	return sent, answered
}
