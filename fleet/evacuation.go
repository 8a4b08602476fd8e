package fleet

import (
	"time"

	"go.uber.org/zap"
)

const (
	msgEvacuated = "failure domain is evacuated: its backend servers get no requests"
	msgReturned  = "failure domain is not evacuated any more"

	// returnedCold is how long servers count as cold after the evacuation of
	// their domain ends, regardless of their host list entries, which lag
	// behind the servers by two seconds.
	returnedCold = 3 * time.Second
)

// SetEvacuated sets whether a failure domain is evacuated, so that its backend
// servers get no requests. Running requests continue to their end, but no run
// is resumed there. A domain without known servers is recorded too, as servers
// may be added later.
//
// After an evacuation the servers of a domain may be cold, but their host list
// entries show it only after the next heartbeat. Because the servers are empty,
// they would get all waiting requests at once, and cold servers crash at that
// rate. They therefore count as cold for returnedCold.
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
			e.markColdFor(returnedCold)
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
	t.notifyChanged()
}

// acceptsRequests reports whether requests may be sent to the server, according
// to its host list entry, its own reports and the evacuations.
func (e *entry) acceptsRequests() bool { return e.acceptsWork() && !e.evacuated }

// EvacuatedOnly reports whether a service has servers that accept work in the given
// failure domains (nil: all), and all of them are in evacuated ones.
func (t *Table) EvacuatedOnly(name string, domains []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, e := range t.service(name).members.all {
		if e.inDomains(domains) && e.acceptsWork() {
			if !e.evacuated {
				return false
			}
			found = true
		}
	}
	return found
}
