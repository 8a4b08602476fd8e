package fleet

import "go.uber.org/zap"

const (
	// outcomeWeight is the weight of the newest outcome in the moving failure rate.
	outcomeWeight = 0.15
	// doubtfulAbove and trustedBelow are failure rates. They leave room for
	// services that fail some of their calls regardless of the server.
	doubtfulAbove = 0.4
	trustedBelow  = 0.2
)

// health is the moving failure rate of a server.
type health struct {
	rate     float64
	doubtful bool
}

func newHealth() health { return health{} }

// recordOutcome adds one outcome to the failure rate of a server. Requires mu.
//
// A server may fail many of its requests while its health check passes.
// Failures are quick, so its load looks low and least-loaded placement would
// send it more and more. A doubtful server gets work only when the others are
// full; that work also shows when it has recovered.
func (t *Table) recordOutcome(e *entry, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	e.health.rate += outcomeWeight * (sample - e.health.rate)
	switch {
	case !e.health.doubtful && e.health.rate > doubtfulAbove:
		e.health.doubtful = true
		t.logger.Warn(msgDoubtful, zap.String("server", e.server.ID), zap.Float64("failure_rate", e.health.rate))
	case e.health.doubtful && e.health.rate < trustedBelow:
		e.health.doubtful = false
		t.logger.Info(msgTrusted, zap.String("server", e.server.ID), zap.Float64("failure_rate", e.health.rate))
	}
}
