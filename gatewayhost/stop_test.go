package gatewayhost

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/gateway"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/store"
)

// streaming answers every request with a stream of the given duration.
type streaming struct {
	servers
	duration time.Duration
}

func (s streaming) Send(context.Context, gateway.Call) (*gateway.Reply, error) {
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("id: 1\ndata: a\n\n")) // the caller may be gone
		time.Sleep(s.duration)
		_ = writer.Close()
	}()
	return &gateway.Reply{Status: http.StatusOK, Header: http.Header{}, Body: reader, Complete: true}, nil
}

// discardStream discards a stream.
type discardStream struct{}

func (discardStream) Begin(int, http.Header) error { return nil }
func (discardStream) Event([]byte) error           { return nil }

// Guards against seconds in which no host accepts connections, when all hosts are
// stopped in turn.
func TestStoppingHostAcceptsRequestsWhileGenerationsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := network.New(network.Options{})
		h := newHost("a", fabric.Host("10.0.0.1"), "10.0.0.1", store.NewMemory(), notLeaving)
		h.gateway = gateway.New(gateway.Options{
			Fleet: h.fleet, Backend: streaming{duration: 5 * time.Second}, Allocator: h.allocation, Quarantine: h.quarantine, Logger: zap.NewNop(), Budget: &gateway.Budget{Window: time.Second, Hosts: h.fleet.Sharers().Count},
			Confirm: h.confirm, OtherHostsAvailable: h.hasLivePeers, Metrics: gateway.NewMetrics(prometheus.NewRegistry()),
		})
		route := &gateway.Route{Host: "h", PathPrefix: "/", Kind: gateway.Generation, Timeout: 39 * time.Second, Goal: time.Second, Attempts: 1, Targets: []gateway.Target{{Service: "s", Weight: 1}}}
		h.gateway.SetConfiguration(gateway.NewConfiguration(1, []*gateway.Route{route}, []*gateway.Service{{Name: "s"}}, nil, gateway.ClientLimits{}))
		h.fleet.Put(fleet.Server{ID: "e", Service: "s", Address: "10.9.9.9:1", Slots: 4})

		listener, err := fabric.Host("10.0.0.1").Listen("10.0.0.1:8000")
		is.NoErr(err)
		server := link.NewDrainServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
		go func() { _ = server.Serve(listener) }()
		go h.gateway.Serve(t.Context(), &gateway.Request{ID: "r1", Host: "h", Path: "/", Arrived: time.Now(), Deadline: time.Now().Add(39 * time.Second)}, discardStream{})
		time.Sleep(100 * time.Millisecond)
		is.Equal(h.gateway.InFlightGenerations(), 1)

		began, stopped := time.Now(), make(chan time.Duration, 1)
		go func() {
			h.stop(server)
			stopped <- time.Since(began)
		}()
		time.Sleep(3 * time.Second)
		conn, err := fabric.Host("10.0.0.2").Dial(t.Context(), "10.0.0.1:8000")
		is.NoErr(err) // three seconds after the stop began
		is.NoErr(conn.Close())
		took := <-stopped
		is.True(took > 4*time.Second && took < 6*time.Second) // ends with its last generation
		_, err = fabric.Host("10.0.0.2").Dial(t.Context(), "10.0.0.1:8000")
		is.True(err != nil)
	})
}
