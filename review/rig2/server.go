package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a sound backend server of a plain service, apart from what its fields say.
type server struct {
	world   *world
	id      string
	service string
	zone    string
	work    time.Duration // of one request

	// shed reports whether the server turns the next request away; nil: never.
	shed func() bool
	// closeEvery is how many answers the server gives on the whole until one of them closes
	// its connection; zero: none does.
	closeEvery int
	// unsigned makes the server answer requests with bytes of something else: a success
	// without a signature.
	unsigned func(r *http.Request) bool

	address  string
	listener net.Listener
	http     *http.Server
	done     chan struct{}

	mu       sync.Mutex // guards all below
	answered int
	seq      int
	running  int
}

// slots is the number of requests that a server runs at a time.
const slots = 6

// start listens and registers the server, whose entry is written at each heartbeat.
func (s *server) start(ip string) error {
	var err error
	if s.listener, err = net.Listen("tcp", ip+":0"); err != nil {
		return err
	}
	s.address, s.done = s.listener.Addr().String(), make(chan struct{})
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(s.listener) }() // ends with stop
	s.register()
	go s.beat()
	return nil
}

func (s *server) stop() {
	close(s.done)
	_ = s.http.Close()
}

func (s *server) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.register()
		case <-s.done:
			return
		}
	}
}

// entry returns what the server writes to the store.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": "ready", wire.Cold: 0, "seq": s.seq,
	}
}

func (s *server) register() { s.world.put("servers", s.id, s.entry()) }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.setHead(w, r)
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
	case r.URL.Path == "/report":
		fmt.Fprintf(w, `{"phase":"mixed","models":[],"busy":false,"seq":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":0,%q:0}`, wire.Copies)
	case r.Header.Get(wire.Expect) != s.id:
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case s.shed != nil && s.shed():
		s.world.note("%s turns %s away", s.id, r.Header.Get(wire.Attempt))
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.answer(w, r, body)
	}
}

// setHead sets the headers that all answers of the server have.
func (s *server) setHead(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	w.Header().Set(wire.Attempt, r.Header.Get(wire.Attempt))
	w.Header().Set("Keep-Alive", "timeout=5")
	w.Header().Set(wire.Load, fmt.Sprintf("%d,0,%d", s.running, slots))
	if s.closeEvery > 0 && s.answered%s.closeEvery == 0 {
		w.Header().Set("Connection", "close")
	}
}

func (s *server) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(wire.Attempt)
	s.world.ledger.add(id)
	s.world.note("%s runs %s %s %s for tenant %q", s.id, id, r.Method, r.URL.Path, r.Header.Get(wire.Organisation))
	s.count(1)
	time.Sleep(s.work)
	s.count(-1)
	if s.unsigned != nil && s.unsigned(r) {
		w.Header().Set("Content-Type", "text/html")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "<html>try again later</html>") // fails only if the caller is gone
		return
	}
	w.Header().Set(wire.Stamp, "stamp-"+id)
	if strings.HasPrefix(r.URL.Path, "/letter/") {
		s.stream(w, id)
		return
	}
	fmt.Fprintf(w, "done %s %d", id, len(body))
}

// stream answers with a stream of events.
func (s *server) stream(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d of 5\n\n", i, id, i)
		if control.Flush() != nil {
			return // the caller is gone
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *server) count(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += by
}
