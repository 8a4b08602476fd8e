package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/record"
	"github.com/papayasail/papayasail/routing"
	"github.com/papayasail/papayasail/store"
)

// BenchmarkRelayToken measures the cost of one token over loopback TCP,
// including the engine's and the caller's side; b.N is split over the streams.
// The engine writes burst tokens per flush: 1 as at its usual pace, 32 batched.
func BenchmarkRelayToken(b *testing.B) {
	for _, c := range []struct{ streams, burst int }{{1, 1}, {1, 32}, {300, 1}} {
		b.Run(fmt.Sprintf("streams=%d/burst=%d", c.streams, c.burst), func(b *testing.B) {
			each := b.N/c.streams + 1
			relay := benchRelay(listen(b, engineWriting(each, c.burst)))
			host := listen(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { relay.Generate(w, r, "outlook") }))
			b.ReportAllocs()
			b.ResetTimer()
			var callers errgroup.Group
			for range c.streams {
				callers.Go(func() error { return readTokens("http://"+host+"/", each) })
			}
			if err := callers.Wait(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// readTokens starts a generation and reads its stream, which must have want
// tokens.
func readTokens(url string, want int) error {
	response, err := http.Post(url, "application/json", strings.NewReader(`{"prompt":"x"}`))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	tokens := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if lines.Text() == "event: "+EventToken {
			tokens++
		}
	}
	if tokens != want {
		return fmt.Errorf("got %d tokens, want %d", tokens, want)
	}
	return nil
}

func listen(b *testing.B, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns after Close
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// engineWriting returns a handler that answers any generation with n tokens
// without pause, flushing after each burst.
func engineWriting(n, burst int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", backend.ContentTypeSSE)
		w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
		var id string
		if _, err := fmt.Fscanf(r.Body, `{"model":"basin@3","prompt":"x","max_tokens":1000000000,"stream":true,"generation_id":"%36s`, &id); err != nil {
			panic(err)
		}
		for i := range n {
			fmt.Fprintf(w, `data: {"id":"%s","index":%d,"choices":[{"text":"token %d "}]}`+"\n\n", id, i, i)
			if (i+1)%burst == 0 {
				w.(http.Flusher).Flush()
			}
		}
		fmt.Fprintf(w, `data: {"id":"%s","index":%d,"choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", id, n, n)
	})
}

func benchRelay(engine string) *Relay {
	document := &contract.Document{
		Service: "outlook", Kind: contract.KindModel, Deadlines: contract.Deadlines{Queue: time.Second, FirstToken: time.Second},
		Model:          &contract.ModelSpec{Name: "basin", Version: "3", MaxTokens: 1e9, Idempotent: true},
		BackendServers: []contract.BackendServer{{Name: "engine-1", Address: engine}},
	}
	return New(Options{
		Configuration: fixedConfiguration{document}, Scheduler: fixedScheduler{engine}, Organisations: anyone{},
		Backend: backend.NewClient(link.TCP{}, backend.ClientOptions{}), Signer: NewSigner([]byte(strings.Repeat("k", 32))),
		Ledger: record.NewLedger(record.Options{Host: "h1"}), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

type fixedConfiguration struct{ document *contract.Document }

func (c fixedConfiguration) Document(string) (*contract.Document, store.Version, bool) {
	return c.document, 1, true
}
func (c fixedConfiguration) Version() store.Version { return 1 }

type anyone struct{}

func (anyone) Authenticate(string, string) (string, bool) { return "akarsu", true }

type fixedScheduler struct{ address string }

func (s fixedScheduler) Acquire(context.Context, routing.Request) (routing.Grant, error) {
	return fixedGrant(s), nil
}

type fixedGrant struct{ address string }

func (g fixedGrant) Server() string              { return "engine-1" }
func (g fixedGrant) Address() string             { return g.address }
func (g fixedGrant) Model() string               { return "basin@3" }
func (g fixedGrant) Progress(int, time.Duration) {}
func (g fixedGrant) Done(routing.Result)         {}
