package entryhost

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/store"
)

// HostKind is the kind of the platform's objects that list the hosts of backend
// servers: one object per host, named by its IP, whose value is a HostEntry.
const HostKind = "host"

// HostEntry is the value of an object of HostKind.
type HostEntry struct {
	State string `json:"state"` // HostLive or HostLeaving
}

// States of a HostEntry. The state of a host that is not on the list is unknown.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

const hostListCheckInterval = time.Second // between checks whether this host watches the store

// hostList applies the platform's list of hosts to the pool. The list lags behind
// the actual state, so it can only mark servers as leaving: a live entry clears
// the mark that came from the list, but no mark from another source.
type hostList struct {
	store  store.Store
	pool   *backend.Pool
	active func() bool // whether this host watches the store
	// changed is called after each change, without locks held.
	changed func()

	mu      sync.Mutex      // guards leaving
	leaving map[string]bool // IPs of leaving hosts
}

func newHostList(store store.Store, pool *backend.Pool, active func() bool) *hostList {
	return &hostList{store: store, pool: pool, active: active, changed: func() {}, leaving: make(map[string]bool)}
}

// run lists and watches the hosts until ctx is done.
func (l *hostList) run(ctx context.Context) {
	var backoff store.Backoff
	for ctx.Err() == nil {
		if !l.active() {
			_ = sleep.For(ctx, hostListCheckInterval)
			continue
		}
		if l.listAndWatch(ctx, &backoff) != nil {
			_ = backoff.Wait(ctx) // on error the loop ends, since ctx is done
		}
	}
}

// listAndWatch lists the hosts and then watches them until an error occurs or this
// host no longer watches the store.
func (l *hostList) listAndWatch(ctx context.Context, backoff *store.Backoff) error {
	hosts, revision, err := l.store.List(ctx, HostKind)
	if err != nil {
		return err
	}
	l.replace(hosts)
	// After the loop this host may no longer watch the store: another host then
	// watches the list and announces leaving servers to its peers, and nobody else
	// would clear the marks set here. They are also cleared after an error of Watch,
	// until the next List.
	defer l.replace(nil)
	for l.active() {
		backoff.Reset()
		if hosts, revision, err = l.store.Watch(ctx, HostKind, revision); err != nil {
			return err
		}
		l.update(hosts)
	}
	return nil
}

// replace applies a complete list: marks of hosts that are not on it are cleared.
func (l *hostList) replace(hosts []store.Object) {
	l.mu.Lock()
	clear(l.leaving)
	l.mu.Unlock()
	l.update(hosts)
}

func (l *hostList) update(hosts []store.Object) {
	l.mu.Lock()
	for _, host := range hosts {
		var entry HostEntry
		err := json.Unmarshal(host.Value, &entry)
		if err == nil && !host.Deleted && entry.State == HostLeaving {
			l.leaving[host.Name] = true
		} else {
			delete(l.leaving, host.Name)
		}
	}
	l.mu.Unlock()
	l.changed()
}

// apply marks the servers in documents that run on leaving hosts and clears the
// marks of the others. It is called when the documents or the list have changed.
func (l *hostList) apply(documents []*contract.Document) {
	for _, document := range documents {
		for _, server := range document.BackendServers {
			ip, _, err := net.SplitHostPort(server.Address)
			if err != nil {
				continue
			}
			if l.isLeaving(ip) {
				l.pool.MarkLeaving(server.Address, backend.SourceHostList, time.Time{})
			} else {
				l.pool.ClearLeaving(server.Address, backend.SourceHostList)
			}
		}
	}
}

func (l *hostList) isLeaving(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[ip]
}
