// Package plain is a small stand-in for a plain service, for tests, the demo and
// benchmarks. It answers exact calls, records which calls ran, and can answer late,
// with another request's answer, or not at all. It works in testing/synctest bubbles.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/unframed"
)

// Paths of the stand-in. Calls with any other path are answered the same way.
const (
	PathVerdicts = "/verdicts" // POST: not idempotent
	PathAlarms   = "/alarms"   // POST {id}/ack: not idempotent
	PathReadings = "/readings" // GET: idempotent
	PathReplies  = "/replies"  // POST: classify a reply; not idempotent
)

const (
	maxRequestBytes = 8 << 20
	retryAfter      = "1" // seconds
)

// Config configures a Service.
type Config struct {
	Name  string
	Delay time.Duration // duration of a call
}

// Mode is the handling of a call.
type Mode int

const (
	// Answer runs the call and answers it.
	Answer Mode = iota
	// Refuse does not run the call and reports that it did not run.
	Refuse
	// Fail runs the call and answers with status 500.
	Fail
	// Cross runs the call and answers with the id and the answer of another request.
	Cross
	// DropBefore breaks the connection without running the call.
	DropBefore
	// DropAfter runs the call and breaks the connection before the answer.
	DropAfter
	// Late runs the call and answers after the additional delay set by SetLateDelay.
	Late
	// Truncate runs the call and breaks the connection within the answer.
	Truncate
	// Unframed runs the call and answers with neither length nor chunks; the answer ends
	// with its connection.
	Unframed
	// UnframedCut is Unframed, but closes the connection in order within the answer.
	UnframedCut
	// UnframedReset is Unframed, but resets the connection within the answer.
	UnframedReset
)

// Run is the record of one call that ran.
type Run struct {
	RequestID string
	Key       string // idempotency key, if any
	Method    string
	Path      string
	Body      string
	Started   time.Time
}

// Service is a stand-in plain service. It is an http.Handler.
type Service struct {
	config  Config
	closing chan struct{} // closed by Close

	mu        sync.Mutex // guards the fields below
	modes     []Mode     // of the next calls
	lateDelay time.Duration
	leaving   bool
	closed    bool
	runs      []Run
	byKey     map[string]int
	byID      map[string]int
	running   int
	servers   []*http.Server
}

// New returns a service.
func New(config Config) *Service {
	return &Service{config: config, closing: make(chan struct{}), byKey: map[string]int{}, byID: map[string]int{}}
}

// QueueModes appends modes for the next calls, one for each call.
func (s *Service) QueueModes(modes ...Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes = append(s.modes, modes...)
}

// ClearModes discards the queued modes that no call has used yet.
func (s *Service) ClearModes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes = nil
}

// Closed reports whether the service is closed.
func (s *Service) Closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// SetLateDelay sets the additional delay of answers in mode Late.
func (s *Service) SetLateDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateDelay = d
}

// Leave makes the service refuse new calls and report that it is leaving, or accept
// calls again if leaving is false.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Runs returns the calls that ran, in the order of their starts.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// RunsOf returns how many calls with this body ran.
func (s *Service) RunsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, run := range s.runs {
		if run.Body == body {
			count++
		}
	}
	return count
}

// RunsByKey returns how many calls ran, by idempotency key.
func (s *Service) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byKey)
}

// RunsByRequestID returns how many calls ran, by request id.
func (s *Service) RunsByRequestID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byID)
}

const failure = "failed"

// FailText is the body of an answer in mode Fail.
const FailText = failure + "\n"

// AnswerText returns the body of the answer to a call, which lets a caller check
// that an answer belongs to its call.
func AnswerText(method, path, body string) string {
	return fmt.Sprintf("%s %s: %s", method, path, body)
}

// Serve serves calls on a listener until Close. It returns http.ErrServerClosed
// after Close.
func (s *Service) Serve(listener net.Listener) error {
	server := &http.Server{Handler: s}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errors.CombineErrors(http.ErrServerClosed, listener.Close())
	}
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	return server.Serve(listener)
}

// Close stops the service immediately.
func (s *Service) Close() error {
	s.mu.Lock()
	if !s.closed {
		close(s.closing)
	}
	s.closed = true
	servers := s.servers
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Close())
	}
	return err
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
	if r.URL.Path == backend.PathLoad {
		s.serveLoad(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	s.serveCall(w, r, string(body))
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, body string) {
	mode, lateDelay := s.admit()
	switch mode {
	case Refuse:
		refuse(w, http.StatusServiceUnavailable)
		return
	case DropBefore:
		panic(http.ErrAbortHandler)
	}
	defer s.finishCall()
	s.record(r, body)
	s.wait(s.config.Delay)
	switch mode {
	case DropAfter:
		panic(http.ErrAbortHandler)
	case Fail:
		http.Error(w, failure, http.StatusInternalServerError)
		return
	case Cross:
		w.Header().Set(backend.HeaderRequestID, "crossed")
		body = "another request's body"
	case Late:
		s.wait(lateDelay)
	}
	answer := AnswerText(r.Method, r.URL.Path, body)
	switch mode {
	case Unframed, UnframedCut, UnframedReset:
		writeUnframed(w, answer, mode)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if mode == Truncate {
		io.WriteString(w, answer[:len(answer)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, answer)
}

// writeUnframed writes an answer, a JSON string with the text, that ends with its
// connection.
func writeUnframed(w http.ResponseWriter, text string, mode Mode) {
	answer, err := json.Marshal(text)
	if err != nil {
		panic(err) // unreachable: a string can be encoded
	}
	if mode != Unframed {
		answer = answer[:len(answer)/2]
	}
	w.Header().Set("Content-Type", backend.ContentTypeJSON)
	unframed.Begin(w)
	_, _ = w.Write(answer) // fails only if the caller disconnected
	if mode == UnframedReset {
		unframed.Reset(w)
	}
}

// admit counts a call that will run and returns its mode and the delay for mode Late.
func (s *Service) admit() (Mode, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return Refuse, 0
	}
	mode := Answer
	if len(s.modes) > 0 {
		mode, s.modes = s.modes[0], s.modes[1:]
	}
	if mode != Refuse && mode != DropBefore {
		s.running++
	}
	return mode, s.lateDelay
}

func (s *Service) finishCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) record(r *http.Request, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{
		RequestID: r.Header.Get(backend.HeaderRequestID),
		Key:       r.Header.Get(backend.HeaderKey),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      body,
		Started:   time.Now(),
	}
	s.runs = append(s.runs, run)
	s.byID[run.RequestID]++
	if run.Key != "" {
		s.byKey[run.Key]++
	}
}

// wait waits for d or until Close, even if the caller has disconnected.
func (s *Service) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	report := backend.LoadReport{Sequence: uint64(len(s.runs)), Running: s.running, Leaving: s.leaving}
	s.mu.Unlock()
	w.Header().Set("Content-Type", backend.ContentTypeJSON)
	json.NewEncoder(w).Encode(report)
}

// refuse answers that the call did not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(backend.HeaderNotRun, "true")
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, http.StatusText(status), status)
}
