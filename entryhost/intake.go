package entryhost

import (
	"encoding/json"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/relay"
)

// newIntake returns the intake of the host's server for callers and operators.
func (h *Host) newIntake() *link.Intake {
	refusal, err := json.Marshal(relay.ProblemOf(relay.FullRefusal()))
	if err != nil {
		refusal = nil // unreachable with these fields; the status alone is sent
	}
	limits := h.settings.Limits
	return link.NewIntake(link.IntakeOptions{
		Memory: int64(limits.CallerMemory), Connections: limits.CallerConnections, RefusalType: backend.ProblemJSON, RefusalBody: refusal,
		Logger: h.logger, Registerer: h.options.Registry,
	})
}
