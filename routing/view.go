package routing

import (
	"slices"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// refresh updates the view to the newest snapshot. It returns false if the
// service is not in force. Called with mu held.
func (s *service) refresh(now time.Time) bool {
	snapshot := s.dispatcher.options.Pool.Snapshot(s.name)
	if snapshot == nil {
		return false
	}
	if snapshot != s.view.snapshot {
		s.view.apply(snapshot, s, now)
	}
	return true
}

// view joins a snapshot of the pool with this host's own load data.
type view struct {
	snapshot          *backend.Snapshot
	serverListVersion uint64
	servers           []*candidate // one for each server in the snapshot, in its order
	subset            []int        // indexes into servers of this host's subset
	scratch           []*candidate // buffer for service.candidates
}

// candidate is one server with this host's data about its load.
type candidate struct {
	server     *backend.Server
	serverLoad *serverLoad
}

// apply applies a new snapshot. Load data is looked up again only if the list of
// servers has changed.
func (v *view) apply(snapshot *backend.Snapshot, s *service, now time.Time) {
	if v.snapshot == nil || v.snapshot.Document != snapshot.Document {
		s.z = quantile(snapshot.Document.Placement.Risk)
	}
	if v.snapshot == nil || v.serverListVersion != snapshot.ServerListVersion {
		v.serverListVersion = snapshot.ServerListVersion
		v.servers = make([]*candidate, len(snapshot.Servers))
		for i, server := range snapshot.Servers {
			v.servers[i] = &candidate{serverLoad: s.serverLoad(server.Address)}
		}
		v.subset = backend.Subset(s.dispatcher.options.Host, snapshot.Servers, s.dispatcher.options.MaxPolledServers)
		v.scratch = make([]*candidate, 0, len(snapshot.Servers))
	}
	v.snapshot = snapshot
	for i, server := range snapshot.Servers {
		c := v.servers[i]
		if c.server == server {
			continue
		}
		c.server = server
		c.serverLoad.gaps.target.Store(int64(snapshot.Document.Placement.TargetGap))
		if !server.ReportedAt.IsZero() {
			c.serverLoad.apply(server, s.lengths, &s.lags, s.random, now)
		}
	}
}

// candidates returns the servers that may run a request: those in this host's
// subset, or if there are none, those in the whole list. If no server is found,
// recoverable reports whether one may become available without operator action;
// otherwise it has no meaning. Called with mu held; the result is valid until the
// next call.
func (s *service) candidates(request *Request) (found []*candidate, recoverable bool) {
	found = s.view.scratch[:0]
	for _, i := range s.view.subset {
		if c := s.view.servers[i]; eligible(c, request) {
			found = append(found, c)
		}
	}
	if len(found) > 0 {
		return found, true
	}
	for _, c := range s.view.servers {
		if eligible(c, request) {
			found = append(found, c)
		} else if mayRecover(c, request) {
			recoverable = true
		}
	}
	return found, recoverable
}

// eligible reports whether a server may run the request.
func eligible(c *candidate, request *Request) bool {
	return c.server.State == backend.StateReady && !slices.Contains(request.Exclude, c.server.Name)
}

// mayRecover reports whether a server is unavailable now, but may take the
// request again without operator action.
func mayRecover(c *candidate, request *Request) bool {
	down := c.server.State == backend.StateEjected || c.server.State == backend.StateUnreachable
	down = down || c.server.State == backend.StateUnloaded
	return down && !slices.Contains(request.Exclude, c.server.Name)
}
