package gatewayhost

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/store"
)

// statusBackend answers status queries with a status that the test sets.
type statusBackend struct {
	servers
	status  *atomic.Pointer[fleet.SelfReport] // nil: no answer
	queries *atomic.Int64
}

func (b statusBackend) QueryStatus(context.Context, fleet.Server, string) (fleet.SelfReport, error) {
	b.queries.Add(1)
	status := b.status.Load()
	if status == nil {
		return fleet.SelfReport{}, errors.New("no answer")
	}
	answer := *status
	answer.Asked = time.Now()
	return answer, nil
}

// Guards against a server that no host uses any more once its refusals closed connections,
// and against work for one that is really leaving.
func TestHostAsksSuspectsWhetherTheyTakeWork(t *testing.T) {
	for name, c := range map[string]struct {
		status fleet.SelfReport
		usable bool
	}{
		"takes work": {fleet.SelfReport{TakesWork: true}, true},
		"leaves":     {fleet.SelfReport{Leaves: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				backend := statusBackend{status: &atomic.Pointer[fleet.SelfReport]{}, queries: &atomic.Int64{}}
				h := newHostWith(backend, "a", network.New(network.Options{}).Host("10.0.0.1"), "10.0.0.1", store.NewMemory())
				h.fleet.SetMemory("s", 1000)
				server := fleet.Server{ID: "i-1", Service: "s", Address: "10.9.9.9:1", Domain: "d", Slots: 2}
				h.fleet.Put(server)
				ctx, stop := context.WithCancel(t.Context())
				go func() { _ = h.querySuspects(ctx) }()
				time.Sleep(time.Minute)
				is.Equal(backend.queries.Load(), int64(0)) // not while nothing is suspected
				h.fleet.Suspect(server.Incarnation(), fleet.SuspectLeaving)
				time.Sleep(10 * time.Second)
				is.True(backend.queries.Load() > 5)
				is.True(h.fleet.Candidates("s", "d")[0].Doubtful) // its silence proves nothing
				backend.status.Store(&fleet.SelfReport{MayLeave: true})
				time.Sleep(10 * time.Second)
				is.True(h.fleet.Candidates("s", "d")[0].Doubtful)
				backend.status.Store(&c.status)
				time.Sleep(2 * time.Second)
				candidates := h.fleet.Candidates("s", "d")
				is.Equal(len(candidates) == 1, c.usable)
				is.True(!c.usable || !candidates[0].Doubtful)
				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against another host's report that ends the use of a server for good, and against
// its revision by a view that is older than the report.
func TestPeerReportsAreRevisedByACurrentView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, memory := standaloneHost(notLeaving)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = h.views.Run(ctx) }()
		go func() { _ = h.revisePeerReports(ctx) }()
		server := fleet.Server{ID: "i-1", Service: "s", Address: "10.9.9.9:1", Domain: "d", Slots: 2}
		h.fleet.Put(server)
		time.Sleep(time.Second)
		h.fleet.MarkLeaving(server.Incarnation(), fleet.SourcePeer)
		time.Sleep(fleet.PeerReportTTL / 2)
		memory.SetFaults(store.Faults{Outage: true})
		time.Sleep(fleet.PeerReportTTL)
		memory.SetFaults(store.Faults{})
		time.Sleep(fleet.PeerReportTTL / 2)
		is.Equal(len(h.fleet.Candidates("s", "d")), 0)
		time.Sleep(fleet.PeerReportTTL)
		is.Equal(len(h.fleet.Candidates("s", "d")), 1)
		stop()
		synctest.Wait()
	})
}
