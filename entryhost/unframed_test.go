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
)

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
