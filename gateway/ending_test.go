package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash that is taken for the end of a stream: it would count as a success
// of the server and clear the request that crashes its servers.
func TestCrashInsideAnEventCountsAsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		w.put("e3", "llm")
		w.send = func(_ context.Context, call Call) (*Reply, error) {
			w.crash(call)
			return answer(http.StatusOK, eventText(1)+"id: 2\nda"), nil
		}
		for range 2 {
			caller := &recorder{}
			o := w.gateway.Serve(context.Background(), w.request("/letter/1"), caller)
			is.True(o.Streamed && !o.Complete)
			is.Equal(caller.body.String(), eventText(1))
			time.Sleep(2 * time.Second)
		}
		answered := 0
		for _, evidence := range w.fleet.TakeEvidence("llm") {
			answered += evidence.Answered
		}
		is.Equal(answered, 0)
		is.Equal(w.serve("/letter/1").Reason, ReasonQuarantined)
	})
}
