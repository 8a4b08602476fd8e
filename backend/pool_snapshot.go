package backend

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/contract"
)

// Server is one backend server in a snapshot. It is immutable.
type Server struct {
	contract.BackendServer
	State State
	// Model is the version of the service's model that it serves, name@version.
	// It is the target version if the server reports no models, and empty for a
	// plain service.
	Model      string
	Load       LoadReport
	ReportedAt time.Time // when Load was received; zero if never
	ReadySince time.Time // start of its slow start; zero if none
}

// Snapshot is an immutable view of one service's backend servers. Callers of
// Pool.Snapshot share it until the state changes.
type Snapshot struct {
	Document *contract.Document
	// Servers are in the document's order.
	Servers []*Server
	// ServerListVersion increases when the list of servers changes, not with their state.
	ServerListVersion uint64
	// SlowStart is the duration of a slow start.
	SlowStart time.Duration

	expires time.Time // when a state next changes with time; zero if it does not
}

// Ramp returns the share of its full load that a server may get at time now: 1,
// or less during its slow start. Without the ramp a server that returns empty
// would attract all new work at once and be overloaded.
func (s *Snapshot) Ramp(server *Server, now time.Time) float64 {
	if server.ReadySince.IsZero() || s.SlowStart <= 0 {
		return 1
	}
	const minShare = 0.1
	share := float64(now.Sub(server.ReadySince)) / float64(s.SlowStart)
	return min(1, max(minShare, share))
}

func (s *Snapshot) contains(address string) bool {
	for _, server := range s.Servers {
		if server.Address == address {
			return true
		}
	}
	return false
}

// Snapshot returns the current view of a service, or nil if it is not in force.
func (p *Pool) Snapshot(service string) *Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.services[service]
	if entry == nil {
		return nil
	}
	now := time.Now()
	if entry.snapshot == nil || entry.snapshot.expired(now) {
		entry.snapshot = p.buildSnapshot(entry, now)
	}
	return entry.snapshot
}

func (s *Snapshot) expired(now time.Time) bool {
	return !s.expires.IsZero() && !now.Before(s.expires)
}

// buildSnapshot creates a snapshot from the table. The caller holds mu.
func (p *Pool) buildSnapshot(service *poolService, now time.Time) *Snapshot {
	snapshot := &Snapshot{
		Document:          service.document,
		Servers:           make([]*Server, len(service.members)),
		ServerListVersion: service.serverListVersion,
		SlowStart:         p.options.SlowStart,
	}
	for i, member := range service.members {
		state, until := member.state(now)
		if !until.IsZero() && (snapshot.expires.IsZero() || until.Before(snapshot.expires)) {
			snapshot.expires = until
		}
		declared := service.document.BackendServers[i]
		p.logStateChange(member, declared, state)
		model, loaded := servedModel(service.document.Model, member)
		if !loaded && state == StateReady {
			state = StateUnloaded
		}
		snapshot.Servers[i] = member.immutableView(declared, state, model)
	}
	return snapshot
}

// servedModel returns the version of a service's model that a server has
// loaded, and false if the server reports models but no version of this one.
//
// It also accepts older versions: if only the version of the new document
// counted during a rolling update, every generation would be refused while the
// servers still have the old one.
func servedModel(model *contract.ModelSpec, member *poolServer) (string, bool) {
	if model == nil {
		return "", true
	}
	if len(member.load.Models) == 0 {
		return model.Target(), true // the loaded models are not known
	}
	return model.Served(member.load.Models)
}

// logStateChange logs a change of state. The caller holds mu.
func (p *Pool) logStateChange(member *poolServer, declared contract.BackendServer, state State) {
	if member.lastState != state && member.lastState != "" {
		p.options.Logger.Info(logStateChanged, zap.String("server", declared.Name),
			zap.String("address", declared.Address), zap.String("state", string(state)))
	}
	member.lastState = state
}

// immutableView returns the immutable view of a server; it reuses the last one if
// nothing changed. The caller holds the pool's mu.
func (s *poolServer) immutableView(declared contract.BackendServer, state State, model string) *Server {
	last := s.view
	if last != nil && last.State == state && last.Model == model && last.BackendServer == declared {
		return last
	}
	s.view = &Server{
		BackendServer: declared,
		State:         state,
		Model:         model,
		Load:          s.load,
		ReportedAt:    s.reportedAt,
		ReadySince:    s.readySince,
	}
	return s.view
}
