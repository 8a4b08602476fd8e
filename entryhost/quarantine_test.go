package entryhost

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayasail/papayasail/backend"
)

const riskyServers = 9

// crashingServers are servers that crash on a call to /crash or on a generation
// whose prompt is "crash".
type crashingServers struct {
	mu      sync.Mutex // guards ended
	crashes int
}

// serveRisky adds the service risky, whose servers crash on the requests
// named at crashingServers.
func (s *site) serveRisky(kind string) *crashingServers {
	c := &crashingServers{}
	document := "service: risky\nowner: hydrology\n" + kind + "\nbackend_servers:\n"
	for i := range riskyServers {
		address := fmt.Sprintf("10.0.4.%d:9000", i+1)
		document += fmt.Sprintf("  - {name: risky-%d, address: %q, failure_domain: ankara}\n", i+1, address)
		server := &http.Server{}
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
			body, _ := io.ReadAll(r.Body) // a body that cannot be read counts as harmless
			if r.URL.Path != "/crash" && !strings.Contains(string(body), `"prompt":"crash"`) {
				_, _ = io.WriteString(w, "{}") // error ignored: the next read detects a closed connection
				return
			}
			c.mu.Lock()
			c.crashes++
			c.mu.Unlock()
			_ = server.Close()
			panic(http.ErrAbortHandler)
		})
		s.serve(address, server.Serve, server.Close)
	}
	s.accept("risky", document)
	time.Sleep(2 * time.Second)
	return c
}

func (c *crashingServers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// requestRisky sends a request for the service risky to host i and returns status
// and body.
func (s *site) requestRisky(i int, method, path, content string) (int, string) {
	request, err := http.NewRequest(method, "http://"+hostIP(i)+":7480/v1/services/risky/"+path, strings.NewReader(content))
	s.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, body := s.do(request)
	return response.StatusCode, body
}

// Guards against a call that crashes one server after another because its caller
// repeats it at each host.
func TestCallThatCrashesServersIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		servers := s.serveRisky("kind: plain")
		for i := range 9 {
			s.requestRisky(i%3, http.MethodGet, "call/crash", "")
			time.Sleep(time.Second)
		}
		s.is.True(servers.count() <= 3)
		status, body := s.requestRisky(0, http.MethodGet, "call/crash", "")
		s.is.Equal(status, http.StatusServiceUnavailable)
		s.is.True(strings.Contains(body, `"outcome":"not_run"`) && strings.Contains(body, `"reason":"quarantined"`))
		status, _ = s.requestRisky(1, http.MethodGet, "call/harmless", "")
		s.is.Equal(status, http.StatusOK)
	})
}

// Guards against a generation that crashes one engine after another through
// retries by the entry host and repeats by the caller.
func TestGenerationThatCrashesEnginesIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		servers := s.serveRisky(`kind: model
model: {name: basin, version: "3", max_tokens: 4096, idempotent: true}`)
		body := ""
		for i := range 9 {
			_, body = s.requestRisky(i%3, http.MethodPost, "generations", `{"prompt":"crash"}`)
			time.Sleep(time.Second)
		}
		s.is.True(servers.count() > 0)
		s.is.True(servers.count() <= 3)
		s.is.True(strings.Contains(body, `"reason":"quarantined"`))
	})
}

// Guards against several hosts trying a quarantined part at once, because each has just
// started and knows only itself.
func TestStartingHostTriesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 0)
		defer s.close()
		s.start(0, 2) // its peer does not run
		time.Sleep(joinTimeout / 2)
		s.is.True(!s.hosts[0].quarantine.TrialHost(7))
		time.Sleep(joinTimeout)
		s.is.True(s.hosts[0].quarantine.TrialHost(7)) // it is alone
	})
}
