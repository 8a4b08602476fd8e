package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	msgNotWatched = "broken connection not watched for a crash: too many are"

	// lookTimeout bounds one look whether a server has ended; the request's caller
	// waits for the first one.
	lookTimeout = 100 * time.Millisecond
	// mostWatched bounds the broken runs that are watched at a time.
	mostWatched = 256
)

// lookPauses are the times between the looks whether a server has ended.
var lookPauses = []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// Run is one run of a request on a backend server.
type Run struct {
	Fingerprint uint64
	Sent        Mark   // what was known when it was sent
	Early       bool   // it had just begun
	Request     string // id, for logs; empty: none
	Server      string
}

// Broken takes in that the connection to the server of a run broke before the
// end of the answer. Ended looks whether the server has ended; one that lives
// has not crashed. A server that crashes may close its connections before its
// port, so it is looked at again for a while.
func (t *Table) Broken(run Run, ended func(context.Context) bool) {
	if look(ended) {
		t.Crashed(run)
		return
	}
	select {
	case t.watched <- struct{}{}:
	default:
		t.logger.Warn(msgNotWatched, zap.String("request", run.Request), fingerprintField(run.Fingerprint), zap.String("server", run.Server))
		return
	}
	t.watch(run, ended, lookPauses)
}

// watch looks at the server after each of the pauses, until it has ended.
func (t *Table) watch(run Run, ended func(context.Context) bool, pauses []time.Duration) {
	if len(pauses) == 0 {
		<-t.watched
		return
	}
	time.AfterFunc(pauses[0], func() {
		if look(ended) {
			<-t.watched
			t.Crashed(run)
			return
		}
		t.watch(run, ended, pauses[1:])
	})
}

func look(ended func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	return ended(ctx)
}
