package fleet

import "go.uber.org/zap"

const (
	// outcomeWeight is the weight of the newest outcome in the failure rate.
	outcomeWeight = 0.15
	// doubtfulAbove and trustedBelow are failure rates. Services fail some of
	// their calls by themselves.
	doubtfulAbove = 0.4
	trustedBelow  = 0.2
)

// health is the recent failure rate of a server.
type health struct {
	rate     float64
	doubtful bool
}

func newHealth() health { return health{} }

// judge takes in one outcome. Called with mu held.
//
// Failure: a server fails a good part of its requests while its health check
// passes and its load looks low, since failures are quick; least loaded
// first would send it more and more. A doubtful server gets work only when
// the others are full, which is also how it is found to be well again.
func (t *Table) judge(e *entry, failed bool) {
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
