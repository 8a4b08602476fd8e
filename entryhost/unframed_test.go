package entryhost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/plain"
)

// Guards against tokens that are lost or come twice when streams without length or chunks
// end or break off, between or inside events, in order or by a reset.
func TestGenerationsSurviveUnframedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		client := s.caller(hostIP(0)+":7480", hostIP(1)+":7480")
		defer client.Close()
		for _, end := range []engine.StreamEnd{engine.EndWhole, engine.CutBetween, engine.CutInside, engine.ResetBetween, engine.ResetInside} {
			for _, e := range s.engines {
				e.UnframedStreams(end, end) // the second one resumes the first
			}
			stream, err := client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 20})
			s.is.NoErr(err)
			s.is.Equal(s.readAll(stream), 20)
		}
	})
}

// Guards against a part of an answer without length that counts as the answer, at the home of
// its key and at a host that asks the home.
func TestUnframedAnswersOfPlainServicesAreWholeOrUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		for asked := range 2 {
			for mode, want := range map[plain.Mode]string{
				plain.Unframed: `200 "POST /alarms/7/ack: seen"`, plain.UnframedCut: `"outcome":"unknown"`, plain.UnframedReset: `"outcome":"unknown"`,
			} {
				s.plain.QueueModes(mode)
				key := fmt.Sprintf("%s.ack-%d-%d", s.hosts[0].ledger.Home(), asked, mode)
				first := s.acknowledge(asked, key)
				s.is.True(strings.Contains(first, want))
				s.is.Equal(s.acknowledge(asked, key), first)
				s.is.Equal(s.plain.RunsByKey()[key], 1)
			}
		}
	})
}

// Guards against an answer whose end callers without chunks see only by the end of their
// connection.
func TestAnswersHaveALengthForCallersWithoutChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		conn, err := s.fabric.Host("10.0.3.1").Dial(context.Background(), hostIP(0)+":7480")
		s.is.NoErr(err)
		defer conn.Close()
		body := strings.Repeat("x", 8<<10)
		_, err = fmt.Fprintf(conn, "POST /v1/services/gauges/call/alarms/7/ack HTTP/1.0\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s.ack-1\r\nContent-Length: %d\r\n\r\n%s",
			testToken, s.hosts[0].ledger.Home(), len(body), body)
		s.is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		s.is.NoErr(err)
		answer, err := io.ReadAll(response.Body)
		s.is.NoErr(err)
		s.is.Equal(response.StatusCode, http.StatusOK)
		s.is.Equal(response.ContentLength, int64(len(answer)))
	})
}
