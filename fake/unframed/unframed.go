// Package unframed lets the handlers of stand-ins write close-delimited HTTP answers, which
// have neither a length nor chunks.
package unframed

import "net/http"

// Begin makes the answer of a handler end with its connection, which is closed in order
// when the handler returns. It must be called before the head is written.
func Begin(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

// Reset sends what was written of an answer and resets its connection. The handler must
// not use w afterwards.
func Reset(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.Flush() // fails only if the connection has ended
	conn, _, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the connection has ended
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection has ended
	}
	conn.Close()
}
