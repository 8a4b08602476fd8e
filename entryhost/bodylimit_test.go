package entryhost

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a body that the generated decoders read without a limit, and against one
// within the limit that does not reach them whole.
func TestOperatorBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	var got int
	handler := bufferBody(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		got = len(body)
	}))
	for size, status := range map[int]int{0: http.StatusOK, 1 << 20: http.StatusOK, maxOperatorBody: http.StatusOK, maxOperatorBody + 1: http.StatusRequestEntityTooLarge} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("a", size))))
		is.Equal(w.Code, status)
		if status == http.StatusOK {
			is.Equal(got, size)
		} else {
			is.True(strings.Contains(w.Body.String(), `"not_run"`))
		}
	}
}
