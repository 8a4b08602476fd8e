package entryhost

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var eventIDs = regexp.MustCompile(`(?m)^id: ?(\S+)`)

// generate requests a generation of outlook from host i, or resumes one after the
// event ID last, and returns status and body.
func (s *site) generate(i int, last string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+hostIP(i)+":7480/v1/services/outlook/generations", strings.NewReader(`{"prompt":"p","stop_after":20}`))
	s.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Content-Type", "application/json")
	if last != "" {
		request.Header.Set("Last-Event-ID", last)
	}
	response, body := s.do(request)
	return response.StatusCode, body
}

// Guards against streams that cannot be resumed while the event key is rotated host by host.
func TestEventKeyRotationHostByHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		fresh := strings.Repeat("cd", 32)
		for i, keys := range []string{
			"event_key: " + testEventKey + "\nprevious_event_keys: [{event_key: " + fresh + "}]", // first step
			"event_key: " + fresh + "\nprevious_event_keys: [{event_key: " + testEventKey + "}]", // second step
			"event_key: " + fresh, // last step
		} {
			s.eventKeys = keys
			s.start(i+1, 4)
		}
		time.Sleep(5 * time.Second)
		for _, c := range []struct{ from, at, status int }{
			{0, 1, 200}, {0, 2, 200}, {1, 2, 200}, {2, 1, 200}, {2, 3, 200}, {3, 2, 200}, {0, 3, 400}, {3, 0, 400},
		} {
			const seen = 8 // events received by the caller
			var ids [][]string
			for tries := 0; len(ids) <= seen; tries++ { // lengths are random, some are shorter: the API ignores stop_after
				if tries == 20 {
					t.Fatalf("no generation of more than %d events", seen)
				}
				status, body := s.generate(c.from, "")
				s.is.Equal(status, http.StatusOK)
				ids = eventIDs.FindAllStringSubmatch(body, -1)
			}
			resumed, rest := s.generate(c.at, ids[seen-1][1])
			if resumed != c.status {
				t.Fatalf("event ID of host %d resumed at host %d: %d %s", c.from, c.at, resumed, rest)
			}
			if resumed == http.StatusOK && len(eventIDs.FindAllString(rest, -1)) != len(ids)-seen {
				t.Fatalf("event ID of host %d resumed at host %d: got %d events, want %d", c.from, c.at, len(eventIDs.FindAllString(rest, -1)), len(ids)-seen)
			}
		}
	})
}
