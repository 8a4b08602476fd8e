package tunnel

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
//
// Lock order: serviceAt, which takes a lock of its own, is called with mu held.
type paths struct {
	serviceAt func(address string) (service string, ok bool)
	logger    *zap.Logger

	mu        sync.Mutex // guards all below
	byAddress map[string]*path
	pruned    time.Time
	reported  map[string]bool // services from which this host is cut off, as logged
}

// path is the state of the path to one address.
type path struct {
	lost      error     // why the last dial failed; nil: the path works
	lostAt    time.Time // when it was lost
	retryAt   time.Time // not tried before, if it is lost
	dialled   time.Time // time of the last result
	tunnelled time.Time // when another host last connected to the address
}

// sound reports whether the server was reached through another host since the path
// was lost, or by the dial that showed the loss. Else it may have ended.
func (p *path) sound() bool { return p.tunnelled.After(p.lostAt.Add(-dialTimeout)) }

func newPaths(serviceAt func(string) (string, bool), logger *zap.Logger) *paths {
	return &paths{serviceAt: serviceAt, logger: logger, byAddress: map[string]*path{}, reported: map[string]bool{}}
}

// check returns nil if the path is to be tried now, else the error of the last dial. A
// lost path is tried by one dial in each retryInterval.
func (p *paths) check(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, now := p.byAddress[address], time.Now()
	if known == nil || known.lost == nil {
		return nil
	}
	if now.Before(known.retryAt) {
		return errors.Wrap(known.lost, "tunnel: path is lost")
	}
	known.retryAt = nextRetry(now)
	return nil
}

// isLost reports whether the last dial of the address failed.
func (p *paths) isLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	return known != nil && known.lost != nil
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
	known := p.path(address)
	before := known.lost
	known.lost, known.dialled = err, now
	switch {
	case err != nil:
		known.retryAt = nextRetry(now)
		if before == nil {
			known.lostAt = now
			p.logger.Warn(msgPathLost, zap.String("address", address), zap.Error(err))
		}
	case before != nil:
		p.logger.Info(msgPathRegained, zap.String("address", address))
	}
	p.reportCutOff(service, now)
}

// recordTunnel records that another host has connected to a server of a service.
func (p *paths) recordTunnel(address, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.path(address).tunnelled = now
	p.reportCutOff(service, now)
}

// path returns the state of a path. Requires mu.
func (p *paths) path(address string) *path {
	known := p.byAddress[address]
	if known == nil {
		known = &path{}
		p.byAddress[address] = known
	}
	return known
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

// cutOff reports whether this host is cut off from the servers of a service, so that a
// failed dial shows nothing about the server: it has lost more paths to sound servers
// than it has working ones, or has lost some and has none that works.
func (p *paths) cutOff(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOffNow(service, time.Now())
}

// cutOffNow requires mu.
func (p *paths) cutOffNow(service string, now time.Time) bool {
	lost, lostToSound, working := 0, 0, 0
	for address, known := range p.byAddress {
		at, listed := p.serviceAt(address)
		switch {
		case !listed: // the server has ended
			delete(p.byAddress, address)
		case at != service || now.Sub(known.dialled) > resultLifetime:
		case known.lost == nil:
			working++
		default:
			lost++
			if known.sound() {
				lostToSound++
			}
		}
	}
	return lostToSound > working || working == 0 && lost > 0
}

// prune forgets unused paths. Requires mu.
func (p *paths) prune(now time.Time) {
	if now.Sub(p.pruned) < pathRetention {
		return
	}
	p.pruned = now
	for address, known := range p.byAddress {
		if now.Sub(known.dialled) > pathRetention && now.Sub(known.tunnelled) > pathRetention {
			delete(p.byAddress, address)
		}
	}
}
