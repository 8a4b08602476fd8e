package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against requests without a valid key that are served once the last key was
// removed, and against denials where no key is needed.
func TestKeysAreNeededWithoutAnyKey(t *testing.T) {
	for name, c := range map[string]struct {
		keys   map[string]*Organisation
		public bool
		status int
	}{
		"no organisations": {nil, false, http.StatusOK},
		"no keys":          {map[string]*Organisation{}, false, http.StatusUnauthorized},
		"other keys":       {map[string]*Organisation{"other": {Name: "o"}}, false, http.StatusUnauthorized},
		"no keys, public":  {map[string]*Organisation{}, true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newHarness()
				w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
				before := w.gateway.Configuration()
				route := *before.Route("h", "/read/1")
				route.Public = c.public
				w.gateway.SetConfiguration(NewConfiguration(2, []*Route{&route}, []*Service{before.Services["plain"]}, c.keys, ClientLimits{}))
				is.Equal(w.serve("/read/1").Status, c.status)
			})
		})
	}
}

// Guards against requests that are served, or denied for good, by what a configuration does
// not say: a service that it does not have, a split without weights, parts that cannot be read.
func TestIncompleteConfigurationRefusesAsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		change func(route *Route, configuration *Configuration)
		path   string
		reason Reason
	}{
		"no service":        {func(_ *Route, c *Configuration) { delete(c.Services, "plain") }, "/read/1", ReasonNoService},
		"no weights":        {func(r *Route, _ *Configuration) { r.Targets[0].Weight = 0 }, "/read/1", ReasonNoService},
		"unreadable route":  {func(r *Route, _ *Configuration) { r.Unreadable = true }, "/read/1", ReasonUnreadable},
		"unreadable routes": {func(_ *Route, c *Configuration) { c.Problems = []error{errors.New("route")} }, "/other/1", ReasonUnreadable},
		"unreadable keys": {func(_ *Route, c *Configuration) {
			c.Problems, c.keys = []error{errors.New("tenant")}, map[string]*Organisation{}
		}, "/read/1", ReasonUnreadable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newHarness()
				configuration := w.configuration(2, "key")
				c.change(configuration.Route("h", "/read/1"), configuration)
				w.gateway.SetConfiguration(configuration)
				o := w.serve(c.path)
				is.True(o.NotRun)
				is.Equal(o.Status, http.StatusServiceUnavailable)
				is.Equal(o.Reason, c.reason)
				is.Equal(len(w.calls), 0)
			})
		})
	}
}
