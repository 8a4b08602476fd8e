package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
)

// stubHost is a stand-in entry host; the test sets the version in force.
type stubHost struct {
	ip      string
	version atomic.Uint64 // of the service gauges
}

func (s *stubHost) serve(t *testing.T, fabric *network.Fabric, members string) {
	listener, err := fabric.Host(s.ip).Listen(s.ip + ":80")
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/operator/services", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `[{"service":"gauges","version":%d,"owner":"o","kind":"plain"}]`, s.version.Load())
	})
	mux.HandleFunc("GET /v1/operator/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"host":"a","configuration_version":9,"services":[],"backend_servers":[],"members":[%s],"store_reachable":true}`, members)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func memberJSON(name, ip, state string) string {
	return fmt.Sprintf(`{"host":%q,"incarnation":1,"failure_domain":"d","state":%q,"configuration_version":9,"caller_address":"http://%s:80"}`, name, state, ip)
}

// Guards against a wait that ends early, as host b advertises a newer object of
// another service but lacks this one, and against a wait for host c, which is gone.
func TestWaitAsksEachEntryHostForTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := network.New(network.Options{})
		members := strings.Join([]string{memberJSON("a", "10.0.0.1", "alive"), memberJSON("b", "10.0.0.2", "suspect"), memberJSON("c", "10.0.0.3", "gone")}, ",")
		a, b := &stubHost{ip: "10.0.0.1"}, &stubHost{ip: "10.0.0.2"}
		a.serve(t, fabric, members)
		b.serve(t, fabric, members)
		a.version.Store(7)
		b.version.Store(6)
		wait := func(bound string) (int, string) {
			var out, errs bytes.Buffer
			app := App{Out: &out, Err: &errs, Network: fabric.Host("10.0.9.1")}
			code := app.Run(context.Background(), []string{"--host", "10.0.0.1:80", "--token", "t", "wait", "gauges", "--min-version", "7", "--for", bound})
			return code, out.String() + errs.String()
		}
		code, out := wait("3s")
		is.Equal(code, ExitFailed)
		is.Equal(out, "papayasail: version 7 of gauges is not in force yet, or nobody answers, on: b\n")

		time.AfterFunc(5*time.Second, func() { b.version.Store(8) })
		begin := time.Now()
		code, out = wait("30s")
		is.Equal(code, ExitOK)
		is.True(strings.Contains(out, "on 2 entry hosts"))
		is.True(time.Since(begin) >= 5*time.Second)
	})
}
