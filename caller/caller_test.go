package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/network"
)

const (
	callerIP = "10.0.1.1"
	hostA    = "10.0.0.1"
	hostB    = "10.0.0.2"
	tokens   = 6
)

// testHosts is a pair of entry hosts whose responses are scripted by the test.
type testHosts struct {
	t      *testing.T
	fabric *network.Fabric
	client *Client

	mu              sync.Mutex    // guards the fields below
	keys            []string      // Idempotency-Key of each request, in order
	resumed         []string      // Last-Event-ID of each resumption
	addressRequests int           // number of address requests
	noAddresses     bool          // address requests are refused
	addressDelay    time.Duration // delay of the response to an address request
	generate        func(w http.ResponseWriter, host string, from int)
	call            func(w http.ResponseWriter, host string)
}

func newTestHosts(t *testing.T) *testHosts {
	s := &testHosts{t: t, fabric: network.New(network.Options{})}
	for _, ip := range []string{hostA, hostB} {
		s.serve(ip)
	}
	client, err := New(Config{Seeds: []string{hostA + ":80", hostB + ":80"}, Token: "t", Network: s.fabric.Host(callerIP)})
	is.New(t).NoErr(err)
	s.client = client
	t.Cleanup(client.Close)
	return s
}

func (s *testHosts) serve(ip string) {
	listener, err := s.fabric.Host(ip).Listen(ip + ":80")
	is.New(s.t).NoErr(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("POST /v1/services/{service}/generations", func(w http.ResponseWriter, r *http.Request) {
		s.recordRequest(r)
		from := 0
		if last := r.Header.Get("Last-Event-ID"); last != "" {
			from, _ = strconv.Atoi(strings.TrimPrefix(last, "e"))
			from++
		}
		s.generate(w, ip, from)
	})
	mux.HandleFunc("/v1/services/{service}/call/{path...}", func(w http.ResponseWriter, r *http.Request) {
		s.recordRequest(r)
		s.call(w, ip)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

func (s *testHosts) recordRequest(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		s.resumed = append(s.resumed, last)
	}
}

func (s *testHosts) addresses(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.addressRequests++
	noAddresses := s.noAddresses
	s.mu.Unlock()
	time.Sleep(s.addressDelay)
	if noAddresses {
		refuse(w, http.StatusServiceUnavailable, contract.OutcomeNotRun, contract.ReasonHostLeaving, time.Second)
		return
	}
	_ = json.NewEncoder(w).Encode(Addresses{KeepSeconds: 30, Addresses: []Address{
		{URL: "http://" + hostA + ":80", Host: "a", Home: "a.1.1"},
		{URL: "http://" + hostB + ":80", Host: "b", Home: "b.1.1"},
	}})
}

func sendTokens(w http.ResponseWriter, from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "event: token\nid: e%d\ndata: {\"index\":%d,\"text\":\"t%d\"}\n\n", i, i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

func sendEnd(w http.ResponseWriter, count int) {
	fmt.Fprintf(w, "event: end\nid: end\ndata: {\"index\":%d,\"text\":\"\",\"tokens\":%d,\"finish_reason\":\"stop\"}\n\n", count, count)
}

func refuse(w http.ResponseWriter, status int, outcome contract.Outcome, reason contract.Reason, retry time.Duration) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Outcome: outcome, Reason: reason, RetryAfterMS: retry.Milliseconds()})
}

// readComplete reads a stream to its end and checks that each token arrived once and in
// order.
func readComplete(t *testing.T, s *Stream) {
	t.Helper()
	is := is.New(t)
	for i := 0; ; i++ {
		token, err := s.Next()
		if err == io.EOF {
			is.Equal(i, tokens)
			is.Equal(*s.End(), End{Tokens: tokens, FinishReason: "stop"})
			return
		}
		is.NoErr(err)
		is.Equal(token.Index, i)
	}
}

// Guards against lost or repeated tokens when the entry host crashes in the middle
// of a stream: the stream continues with the next token from the other entry host.
func TestStreamResumesAtAnotherHostAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.generate = func(w http.ResponseWriter, host string, from int) {
			if host == hostA {
				sendTokens(w, 0, 3)
				time.Sleep(time.Second)
				s.fabric.Kill(hostA)
				return
			}
			sendTokens(w, from, tokens)
			sendEnd(w, tokens)
		}
		stream, err := s.client.Generate(context.Background(), "outlook", Request{Prompt: "p"})
		is.NoErr(err)
		readComplete(t, stream)
		is.Equal(stream.Host(), "b")
		is.Equal(s.resumed, []string{"e2"})
	})
}

// Guards against streams that stay frozen on a stalled connection.
func TestStreamReconnectsAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.generate = func(w http.ResponseWriter, host string, from int) {
			if host == hostA {
				sendTokens(w, 0, 2)
				time.Sleep(time.Second)
				s.fabric.SilenceOpenConnections(callerIP, hostA)
				time.Sleep(time.Hour)
			}
			sendTokens(w, from, tokens)
			sendEnd(w, tokens)
		}
		stream, err := s.client.Generate(context.Background(), "outlook", Request{})
		is.NoErr(err)
		readComplete(t, stream)
		is.Equal(stream.Resumes(), 1)
		time.Sleep(2 * time.Hour) // lets the sleeping handler end
	})
}

// Guards against a reconnection while a long prompt delays the first token by a
// minute: keep-alive comments show that the connection is alive.
func TestStreamKeepsConnectionWithKeepAlives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.generate = func(w http.ResponseWriter, _ string, _ int) {
			for range 60 {
				fmt.Fprint(w, ": keep-alive\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Second)
			}
			sendTokens(w, 0, tokens)
			sendEnd(w, tokens)
		}
		stream, err := s.client.Generate(context.Background(), "outlook", Request{})
		is.NoErr(err)
		readComplete(t, stream)
		is.Equal(stream.Resumes(), 0)
		is.Equal(len(s.keys), 1)
	})
}

// Guards against wrong or partial streams that the caller takes for complete ones.
func TestStreamRejectsWrongOrPartialStream(t *testing.T) {
	cases := map[string]struct {
		send   func(w http.ResponseWriter)
		reason contract.Reason
	}{
		"doubled token":         {func(w http.ResponseWriter) { sendTokens(w, 0, 2); sendTokens(w, 1, 3) }, contract.ReasonAnswerMismatch},
		"skipped token":         {func(w http.ResponseWriter) { sendTokens(w, 0, 2); sendTokens(w, 3, 4) }, contract.ReasonAnswerMismatch},
		"early end":             {func(w http.ResponseWriter) { sendTokens(w, 0, 2); sendEnd(w, 3) }, contract.ReasonAnswerMismatch},
		"not an event":          {func(w http.ResponseWriter) { fmt.Fprint(w, "event: token\ndata: x\n\n") }, contract.ReasonAnswerMismatch},
		"error event":           {func(w http.ResponseWriter) { sendTokens(w, 0, 1); fmt.Fprint(w, lostEvent) }, contract.ReasonGenerationLost},
		"connection always cut": {func(w http.ResponseWriter) { panic(http.ErrAbortHandler) }, contract.ReasonHomeUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestHosts(t)
				s.generate = func(w http.ResponseWriter, _ string, _ int) { c.send(w) }
				stream, err := s.client.Generate(context.Background(), "outlook", Request{})
				for err == nil {
					_, err = stream.Next()
				}
				var refusal *contract.Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, c.reason)
				is.Equal(refusal.Outcome, contract.OutcomeUnknown)
			})
		})
	}
}

const lostEvent = "event: error\ndata: {\"outcome\":\"unknown\",\"reason\":\"generation_lost\"}\n\n"

// Guards against a second run when the response to a call is lost.
func TestCallRepeatsWithSameKeyAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, host string) {
			if host == hostA {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusCreated)
			fmt.Fprint(w, "acknowledged")
		}
		answer, err := s.client.Call(context.Background(), "gauges", http.MethodPost, "/alarms/7", []byte("{}"), nil)
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusCreated)
		is.Equal(string(answer.Body), "acknowledged")
		is.Equal(answer.Host, "b")
		is.True(strings.HasPrefix(s.keys[0], "a.1.1."))
		for _, key := range s.keys {
			is.Equal(key, s.keys[0])
		}
	})
}

// Guards against a retry before the time that an overloaded entry host requested.
// The call did not run, so the retry may use a key of another home.
func TestCallWaitsForRetryAfterAndUsesNewKeyWhenNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, host string) {
			if host == hostA {
				refuse(w, http.StatusServiceUnavailable, contract.OutcomeNotRun, contract.ReasonOverloaded, 3*time.Second)
				return
			}
			fmt.Fprint(w, "ok")
		}
		begin := time.Now()
		_, err := s.client.Call(context.Background(), "gauges", http.MethodPost, "/alarms/7", nil, nil)
		is.NoErr(err)
		is.Equal(time.Since(begin), 3*time.Second)
		is.True(strings.HasPrefix(s.keys[1], "b.1.1."))
	})
}

// Guards against callers that retry for minutes although the recorded outcome
// stays unknown.
func TestCallEndsAfterRepeatedUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, _ string) {
			refuse(w, http.StatusBadGateway, contract.OutcomeUnknown, contract.ReasonBackendFailed, time.Second)
		}
		_, err := s.client.Call(context.Background(), "gauges", http.MethodPost, "/alarms/7", nil, nil)
		var refusal *contract.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Outcome, contract.OutcomeUnknown)
		is.Equal(len(s.keys), 2)
		is.Equal(s.keys[0], s.keys[1])
	})
}

// Guards against a false "not run": the first attempt may have run, a later one is
// refused as not run, and the user would send the call again with a new key.
func TestUnknownOutcomeNeverTurnsIntoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, host string) {
			if host == hostA {
				panic(http.ErrAbortHandler)
			}
			refuse(w, http.StatusBadRequest, contract.OutcomeNotRun, contract.ReasonKeyInvalid, 0)
		}
		_, err := s.client.Call(context.Background(), "gauges", http.MethodPost, "/alarms/7", nil, nil)
		var refusal *contract.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Outcome, contract.OutcomeUnknown)
		is.Equal(refusal.Reason, contract.ReasonKeyInvalid)
	})
}

// Guards against an unknown outcome after a host closed a connection that it had
// not accepted: the key's home answers that the key was never used.
func TestUnusedKeySettlesBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, _ string) {
			switch len(s.keys) {
			case 1:
				panic(http.ErrAbortHandler)
			case 2:
				refuse(w, http.StatusServiceUnavailable, contract.OutcomeNotRun, contract.ReasonKeyUnused, time.Second)
			default:
				w.WriteHeader(http.StatusOK)
			}
		}
		_, err := s.client.Call(context.Background(), "gauges", http.MethodPost, "/alarms/7", nil, nil)
		is.NoErr(err)
		is.Equal(len(s.keys), 3)
		is.Equal(s.keys[0], s.keys[1])
		is.True(s.keys[2] != s.keys[1])
	})
}

// Guards against an answer without a marked end, which may be a part of one, that counts
// as whole.
func TestAnswerWithoutAMarkedEndIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, _ string) {
			if len(s.keys) > 1 {
				fmt.Fprint(w, "whole")
				return
			}
			w.Header().Set("Transfer-Encoding", "identity") // neither length nor chunks
			fmt.Fprint(w, "who")
		}
		answer, err := s.client.Call(context.Background(), "gauges", http.MethodPost, "/alarms/7", nil, nil)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		is.Equal(len(s.keys), 2)
		is.Equal(s.keys[0], s.keys[1])
	})
}

// Guards against retries of a call with an invalid path, which always fails. It
// must fail at once with the outcome "not run".
func TestInvalidCallFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		begin := time.Now()
		_, err := s.client.Call(context.Background(), "gauges", http.MethodGet, "/%zz", nil, nil)
		var refusal *contract.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Outcome, contract.OutcomeNotRun)
		is.Equal(refusal.Reason, contract.ReasonBadRequest)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// Guards against failed calls while all entry hosts are being replaced and no
// address is available for some seconds: the call must wait.
func TestCallWaitsForAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.noAddresses = true
		s.call = func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "ok") }
		time.AfterFunc(3*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.noAddresses = false
		})
		_, err := s.client.Call(context.Background(), "gauges", http.MethodGet, "/readings", nil, nil)
		is.NoErr(err)
	})
}

// Guards against one address request per call when the address list of a busy
// client expires: concurrent calls must share one.
func TestConcurrentCallsShareAddressRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.addressDelay = time.Millisecond
		s.call = func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "ok") }
		var calls sync.WaitGroup
		for range 50 {
			calls.Go(func() {
				_, err := s.client.Call(context.Background(), "gauges", http.MethodGet, "/readings", nil, nil)
				is.NoErr(err)
			})
		}
		calls.Wait()
		is.Equal(s.addressRequests, 1)
	})
}

// Guards against a backend server's own error response being treated as a refusal
// by the entry host, or retried: it must be returned unchanged.
func TestCallPassesBackendProblemThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHosts(t)
		s.call = func(w http.ResponseWriter, _ string) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusConflict)
			fmt.Fprint(w, `{"title":"gauge is offline"}`)
		}
		answer, err := s.client.Call(context.Background(), "gauges", http.MethodGet, "/readings", nil, nil)
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusConflict)
		is.Equal(s.keys, []string{""}) // one attempt, and a GET needs no key
	})
}
