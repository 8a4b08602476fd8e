package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against logs in which a call cannot be traced across its caller's retries.
func TestLogNamesTheFingerprintOfACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newHarness()
		core, logs := observer.New(zapcore.InfoLevel)
		w.gateway.options.Logger = zap.New(core)
		w.send = func(context.Context, Call) (*Reply, error) { return answer(http.StatusOK, "ok"), nil }
		for _, id := range []string{"first", "again"} {
			r := w.request("/write/1")
			r.ID = id
			w.gateway.Serve(context.Background(), r, &recorder{})
		}
		lines := logs.FilterMessage(MsgRequest).All()
		is.Equal(len(lines), 2)
		is.True(lines[0].ContextMap()["fingerprint"] != nil)
		is.Equal(lines[0].ContextMap()["fingerprint"], lines[1].ContextMap()["fingerprint"])
	})
}
