package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/internal/boundedlog"
	"github.com/papayasail/papayasail/internal/shortid"
)

// Guards against long IDs and prompts that callers choose and that hosts keep in logs and in
// the queues of allocators.
func TestWhatCallersNameIsBoundedInLogsAndPlacements(t *testing.T) {
	is, w := is.New(t), newHarness()
	output := &strings.Builder{}
	writer := boundedlog.NewWriter(output)
	w.gateway.options.Logger = boundedlog.New(writer, zap.InfoLevel, prometheus.NewRegistry())
	id := strings.Repeat("a", 60<<10)
	request := w.request("/letter/1")
	request.ID = id
	for range 1000 {
		request.Prompt.SharedParts = append(request.Prompt.SharedParts, id)
	}
	placed := ""
	w.place = func(_ context.Context, request allocation.PlacementRequest) allocation.Placement {
		placed = request.Request
		return allocation.Placement{}
	}
	request.Deadline = request.Arrived.Add(50 * time.Millisecond)
	outcome := w.gateway.Serve(t.Context(), request, &recorder{})
	outcome.Release()
	writer.Close()
	is.True(strings.Contains(output.String(), `"msg":"request"`))
	is.True(output.Len() < 8<<10)
	is.Equal(placed, shortid.Of(id))
}
