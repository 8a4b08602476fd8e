package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fleet"
)

// Guards against requests that reach a server outside the regions in which the route and
// the organisation allow them to be served.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for _, c := range []struct {
		route, organisation []string
		servers             []string // that may serve it
	}{
		{nil, nil, []string{"p1", "p2", "p3"}},
		{[]string{"south"}, nil, []string{"p2"}},
		{nil, []string{"north", "south"}, []string{"p1", "p2"}},
		{[]string{"south"}, []string{"south", "east"}, []string{"p2"}},
		{[]string{"south"}, []string{"north"}, nil},
		{[]string{}, nil, nil},
		{nil, []string{}, nil},
		{[]string{"west"}, nil, nil}, // p3 is in a domain of unknown region
	} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newHarness()
			w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
			w.gateway.options.RegionOf = func(domain string) string { return map[string]string{"d1": "north", "d2": "south"}[domain] }
			w.fleet.Put(fleet.Server{ID: "p2", Service: "plain", Address: "p2:1", Domain: "d2", Slots: 6})
			w.fleet.Put(fleet.Server{ID: "p3", Service: "plain", Address: "p3:1", Domain: "d3", Slots: 6})
			w.fleet.Put(fleet.Server{ID: "e2", Service: "llm", Address: "e2:1", Domain: "d2", Slots: 6})
			w.gateway.Configuration().Route("h", "/read/1").Regions = c.route
			letters := w.gateway.Configuration().Route("h", "/letter/1")
			letters.Regions = c.route
			organisation, _ := w.gateway.Configuration().Organisation("key")
			organisation.Regions = c.organisation
			for range 30 {
				w.calls = nil
				o := w.serve("/read/1")
				if len(c.servers) == 0 {
					is.True(o.NotRun)
					is.Equal(o.Reason, ReasonNoServer)
					continue
				}
				is.True(slices.Contains(c.servers, w.calls[0].Server.ID))
			}
			running := &task{gateway: w.gateway, route: letters, regions: [][]string{c.route, c.organisation}, service: &Service{Name: "llm"}}
			moved := map[string]bool{}
			for _, id := range running.disallowedServers() {
				moved[id] = true
			}
			is.Equal(moved["e2"], len(c.servers) == 0) // the only engine in d2
		})
	}
}

// Guards against restricted requests that wait, or are refused for the wrong reason, because
// of servers in regions in which they may not be served.
func TestServersElsewhereDoNotDecideWhyARequestIsRefused(t *testing.T) {
	for _, c := range []struct {
		region string
		p1, p2 string // in the north and in the south: "evacuated", "backoff" or "short backoff"
		reason Reason
	}{
		{"south", "", "evacuated", ReasonEvacuated},
		{"south", "", "backoff", ReasonFull},
		{"west", "short backoff", "short backoff", ReasonNoServer},
	} {
		synctest.Test(t, func(t *testing.T) {
			is, w := is.New(t), newHarness()
			w.gateway.options.RegionOf = func(domain string) string { return map[string]string{"d1": "north", "d2": "south"}[domain] }
			w.fleet.Put(fleet.Server{ID: "p2", Service: "plain", Address: "p2:1", Domain: "d2", Slots: 6})
			for id, state := range map[string]string{"p1": c.p1, "p2": c.p2} {
				server, _ := w.fleet.Get(id)
				switch state {
				case "evacuated":
					w.fleet.SetEvacuated(server.Domain, true)
				case "backoff":
					w.fleet.SetBackoff(id, 10*time.Second)
				case "short backoff":
					w.fleet.SetBackoff(id, 50*time.Millisecond)
				}
			}
			w.gateway.Configuration().Route("h", "/read/1").Regions = []string{c.region}
			began := time.Now()
			o := w.serve("/read/1")
			is.True(o.NotRun)
			is.Equal(o.Reason, c.reason)
			is.True(time.Since(began) < time.Millisecond)
		})
	}
}
