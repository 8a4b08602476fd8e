package tunnel

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	msgPathLost     = "path to backend server lost"
	msgPathRegained = "path to backend server regained"
	msgCutOff       = "host has lost the paths to most backend servers of a service; it asks other hosts for tunnels"
	msgNotCutOff    = "host reaches most backend servers of a service itself again"

	// retryInterval is the mean interval at which a lost path is tried again. The jitter
	// spreads the return to paths that heal at the same moment.
	retryInterval = time.Second
	// pathRetention is how long an unused path is remembered.
	pathRetention = time.Minute
	// resultLifetime is how long the result of a dial counts for whether this host is cut
	// off. Kept connections make dials of a working path rare.
	resultLifetime = 30 * time.Second
)

// paths is what this host knows of its own paths to backend servers.
type paths struct {
	logger *zap.Logger

	mu        sync.Mutex // guards all below
	byAddress map[string]*path
	pruned    time.Time
	reported  map[string]bool // services from which this host is cut off, as logged
}

// path is the state of the path to one address.
type path struct {
	service string
	lost    bool
	retryAt time.Time // not tried before, if it is lost
	dialled time.Time // time of the last result
}

func newPaths(logger *zap.Logger) *paths {
	return &paths{logger: logger, byAddress: map[string]*path{}, reported: map[string]bool{}}
}

// mayTry reports whether the path is to be tried now. A lost path is tried by one
// dial in each retryInterval.
func (p *paths) mayTry(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, now := p.byAddress[address], time.Now()
	if known == nil || !known.lost {
		return true
	}
	if now.Before(known.retryAt) {
		return false
	}
	known.retryAt = nextRetry(now)
	return true
}

// nextRetry returns a time after half to one and a half times retryInterval.
func nextRetry(now time.Time) time.Time {
	return now.Add(retryInterval/2 + rand.N(retryInterval))
}

// record records the result of dialling a server of a service; nil: it succeeded.
func (p *paths) record(address, service string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.prune(now)
	known := p.byAddress[address]
	if known == nil {
		known = &path{}
		p.byAddress[address] = known
	}
	before := known.lost
	known.service, known.lost, known.dialled = service, err != nil, now
	switch {
	case known.lost:
		known.retryAt = nextRetry(now)
		if !before {
			p.logger.Warn(msgPathLost, zap.String("address", address), zap.Error(err))
		}
	case before:
		p.logger.Info(msgPathRegained, zap.String("address", address))
	}
	p.reportCutOff(service, now)
}

// reportCutOff logs whether this host is cut off from a service, if that has changed.
// Requires mu.
func (p *paths) reportCutOff(service string, now time.Time) {
	cutOff := p.cutOffNow(service, now)
	switch {
	case cutOff == p.reported[service]:
	case cutOff:
		p.reported[service] = true
		p.logger.Warn(msgCutOff, zap.String("service", service))
	default:
		delete(p.reported, service)
		p.logger.Info(msgNotCutOff, zap.String("service", service))
	}
}

// cutOff reports whether most of the known paths to servers of a service
// are lost, so that a failed dial shows nothing about the server.
func (p *paths) cutOff(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOffNow(service, time.Now())
}

// cutOffNow requires mu.
func (p *paths) cutOffNow(service string, now time.Time) bool {
	lost, working := 0, 0
	for _, known := range p.byAddress {
		switch {
		case known.service != service || now.Sub(known.dialled) > resultLifetime:
		case known.lost:
			lost++
		default:
			working++
		}
	}
	return lost > working
}

// prune forgets unused paths. Requires mu.
func (p *paths) prune(now time.Time) {
	if now.Sub(p.pruned) < pathRetention {
		return
	}
	p.pruned = now
	for address, known := range p.byAddress {
		if now.Sub(known.dialled) > pathRetention {
			delete(p.byAddress, address)
		}
	}
}
