package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	msgEvacuated = "failure domain is evacuated: its backend servers get no requests"
	msgReturned  = "failure domain is not evacuated any more"

	// returnedCold is how long servers of a domain that is back count as cold
	// whatever their entries say: an entry follows its server by two seconds.
	returnedCold = 3 * time.Second
)

// SetEvacuated notes whether the backend servers of a failure domain may get
// requests. What runs there goes on to its end, but no run is taken up there
// again. A domain without servers here is noted all the same: they may come.
//
// Failure: a domain is given back with its servers cold, and their entries say
// so only after a heartbeat. As the emptiest of all they would get what waits
// everywhere, at a rate at which cold servers crash.
func (t *Table) SetEvacuated(domain string, evacuated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated[domain] == evacuated {
		return
	}
	servers, work := 0, 0
	for _, e := range t.servers {
		if e.server.Domain != domain {
			continue
		}
		servers++
		work += len(e.work)
		e.evacuated = evacuated
		if !evacuated {
			e.coldFor(returnedCold)
		}
	}
	fields := []zap.Field{zap.String("domain", domain), zap.Int("servers", servers), zap.Int("own_work", work)}
	if evacuated {
		t.evacuated[domain] = true
		t.logger.Warn(msgEvacuated, fields...)
		return
	}
	delete(t.evacuated, domain)
	t.logger.Info(msgReturned, fields...)
	t.wake()
}

// takesRequests reports whether a request may be sent to the server now, as far
// as its entry, its own word and the evacuations go.
func (e *entry) takesRequests() bool { return e.takesWork() && !e.evacuated }

// EvacuatedOnly reports whether a service has servers that would take work, all
// of them in failure domains that are evacuated.
func (t *Table) EvacuatedOnly(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := t.service(name).members
	return slices.ContainsFunc(members, (*entry).takesWork) && !slices.ContainsFunc(members, (*entry).takesRequests)
}
