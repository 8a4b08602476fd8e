package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that wait for servers which refuse requests for longer
// than a caller may wait, or that are refused just before the servers accept again.
func TestAllServersAskForNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
		rest := func(d time.Duration) {
			for _, id := range []string{"p1", "p2", "e1", "e2"} {
				w.fleet.SetBackoff(id, d)
			}
		}
		rest(3 * time.Second)
		for _, path := range []string{"/write/1", "/letter/1"} {
			began := time.Now()
			o := w.serve(path)
			is.Equal(o.Reason, ReasonFull)
			is.True(o.NotRun && o.RetryAfter >= retryFull)
			is.Equal(time.Since(began), time.Duration(0))
		}
		time.Sleep(3*time.Second - 20*time.Millisecond)
		is.Equal(w.serve("/write/1").Status, http.StatusOK)
		is.Equal(len(w.calls), 1)
	})
}
