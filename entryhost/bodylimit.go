package entryhost

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/relay"
)

const (
	// maxOperatorBody bounds the body of an operator's request, in bytes; the platform stores
	// objects of at most 1 MiB.
	maxOperatorBody = 4 << 20
	// decodingFactor is how many times its size a body needs while it is decoded.
	decodingFactor = 2
)

// bufferBody reads the whole body of a request before it is decoded, within maxOperatorBody
// and the memory for callers: the generated decoders set no limit.
func bufferBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		account := link.RequestAccount(r.Context())
		body, err := account.ReadAll(r.Body, maxOperatorBody)
		if err == nil {
			err = account.Reserve(decodingFactor * int64(len(body)))
		}
		switch {
		case err == nil:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		case errors.Is(err, bytebudget.ErrTooLarge):
			w.Header().Set("Connection", "close")
			relay.WriteRefusal(w, contract.NotRun(contract.ReasonBodyTooLarge, 0, "the body is over the limit").WithStatus(http.StatusRequestEntityTooLarge))
		case errors.IsAny(err, bytebudget.ErrExhausted, link.ErrEvicted):
			relay.WriteRefusal(w, relay.FullRefusal())
		default:
			relay.WriteRefusal(w, contract.NotRun(contract.ReasonBadRequest, 0, "the body could not be read").WithStatus(http.StatusBadRequest).WithCause(err))
		}
	})
}
