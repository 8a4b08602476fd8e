// Package standin runs stand-ins of external systems as processes: the platform's
// metadata store, a model engine, a plain service. Their faults and states can be
// set by flags at the start and over HTTP, under /admin/, at any time.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/link"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Paths of the administrative interface. They answer even while the stand-in refuses
// other requests.
const (
	PathRuns     = "/admin/runs"     // GET: the runs, as JSON
	PathCounters = "/admin/counters" // GET: totals of an engine, as JSON
	PathLeave    = "/admin/leave"    // POST ?on=true|false: refuse new work
	PathPause    = "/admin/pause"    // POST ?on=true|false: suspend the steps of an engine
	PathReclaim  = "/admin/reclaim"  // POST ?after=10s: close an engine after that time
	PathNext     = "/admin/next"     // POST ?mode=NAME: mode of the next call of a plain service
)

// App is one run of the program.
type App struct {
	Out     io.Writer
	Err     io.Writer
	Network link.Network // nil: TCP
}

// standIn is a configured stand-in that is ready to serve.
type standIn struct {
	handler http.Handler
	run     func(context.Context) // background work, may be nil; the stand-in ends when it returns
}

// builder creates a stand-in after its flags have been parsed.
type builder func() standIn

// Run runs the program until ctx ends and returns its exit code.
func (a *App) Run(ctx context.Context, arguments []string) int {
	if a.Network == nil {
		a.Network = link.TCP{}
	}
	helpShown := false
	parser := kingpin.New("standin", "Stand-ins of outside systems, for trials and tests.")
	parser.UsageWriter(a.Out).ErrorWriter(a.Err)
	parser.Terminate(func(int) {
		helpShown = true
		parser.UsageWriter(io.Discard).ErrorWriter(io.Discard) // kingpin would continue to print
	})
	address := parser.Flag("listen", "IP:port to listen at.").Default("127.0.0.1:0").String()
	builders := map[string]builder{
		"platform": platformCommand(parser),
		"engine":   engineCommand(parser),
		"plain":    plainCommand(parser),
	}
	name, err := parser.Parse(arguments)
	if helpShown {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(a.Err, "standin: %v, try --help\n", err)
		return ExitUsage
	}
	if err := a.serve(ctx, *address, builders[name]()); err != nil {
		fmt.Fprintf(a.Err, "standin: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

// serve serves a stand-in until ctx ends.
func (a *App) serve(ctx context.Context, address string, s standIn) error {
	listener, err := a.Network.Listen(address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	server := &http.Server{Handler: s.handler, BaseContext: func(net.Listener) context.Context { return ctx }}
	if s.run != nil {
		go func() {
			s.run(ctx)
			stop()
		}()
	}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the program exits next
	}()
	fmt.Fprintln(a.Out, "listening at", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// onOff returns a handler that calls set with the value of ?on=true|false.
func onOff(set func(bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("on") {
		case "true":
			set(true)
		case "false":
			set(false)
		default:
			http.Error(w, "want ?on=true or ?on=false", http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
