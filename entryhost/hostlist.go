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

// HostKind is the kind of the platform's objects that list the hosts of
// backend servers: one object a host, named by its IP, with a HostEntry.
const HostKind = "host"

// HostEntry is the value of an object of HostKind.
type HostEntry struct {
	State string `json:"state"` // HostLive or HostLeaving
}

// States of a HostEntry. Of a host that is not on the list nothing is known.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

const hostListPause = time.Second // between checks whether this host watches

// hostList follows the platform's list of hosts into the pool. The list lags
// behind reality, so it only ever takes servers out: what it says of a host
// that lives ends its own word about it and nobody else's.
type hostList struct {
	store  store.Store
	pool   *backend.Pool
	active func() bool // whether this host watches the store
	// changed is called after each change, without locks held.
	changed func()

	mu      sync.Mutex      // guards leaving
	leaving map[string]bool // IPs of hosts that are leaving
}

func newHostList(store store.Store, pool *backend.Pool, active func() bool) *hostList {
	return &hostList{store: store, pool: pool, active: active, changed: func() {}, leaving: make(map[string]bool)}
}

// run follows the list until ctx ends.
func (l *hostList) run(ctx context.Context) {
	var backoff store.Backoff
	for ctx.Err() == nil {
		if !l.active() {
			_ = sleep.For(ctx, hostListPause)
			continue
		}
		if l.follow(ctx, &backoff) != nil {
			_ = backoff.Wait(ctx) // the loop ends with ctx
		}
	}
}

// follow lists the hosts and then watches them until an error, or until this
// host is no longer one that watches.
func (l *hostList) follow(ctx context.Context, backoff *store.Backoff) error {
	hosts, revision, err := l.store.List(ctx, HostKind)
	if err != nil {
		return err
	}
	l.replace(hosts)
	// Another host watches from now on, and its word reaches this one as a
	// peer's; a mark that stayed here would never end.
	defer l.replace(nil)
	for l.active() {
		backoff.Reset()
		if hosts, revision, err = l.store.Watch(ctx, HostKind, revision); err != nil {
			return err
		}
		l.take(hosts)
	}
	return nil
}

// replace takes a whole list: a host that is no longer on it, leaves no mark.
func (l *hostList) replace(hosts []store.Object) {
	l.mu.Lock()
	clear(l.leaving)
	l.mu.Unlock()
	l.take(hosts)
}

func (l *hostList) take(hosts []store.Object) {
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

// apply marks the servers of documents that stand on leaving hosts. It is
// called when the documents or the list have changed.
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
