package main

import (
	"net/http"
	"sync"
	"time"
)

// Keys of the only organisation, and one that no configuration has held.
const (
	keyOne   = "xd9dnn2ctnfzs989anu6"
	keyTwo   = "wsjnbanfqasnmgkcuyj8"
	keyNever = "zz0never0issued0key0"
)

const (
	hostCount   = 3
	serverCount = 3
	// settle is how long traffic runs before the first change.
	settle = 4 * time.Second
	// work is how long a server works on a request.
	work = 20 * time.Millisecond
)

// read returns a safe request on a route.
func read(name, key string) request {
	return request{method: http.MethodGet, path: "/" + name + "/2f", key: key, kind: "safe", deadline: 1500 * time.Millisecond}
}

// addServers starts sound servers of a plain service.
func (w *world) addServers(service string) ([]*server, error) {
	var added []*server
	for range serverCount {
		s := &server{service: service, work: work}
		if err := w.addServer(s); err != nil {
			return nil, err
		}
		added = append(added, s)
	}
	return added, nil
}

// lastKey takes the only organisation's keys away, one after the other.
//
// Broken: a request runs whose key no configuration ever held, or one whose key was taken
// away longer than configMs ago.
func lastKey(w *world, trouble bool) (broken bool, err error) {
	if _, err := w.addServers("app"); err != nil {
		return false, err
	}
	routes := []map[string]any{route("read", "safe", "app", 2)}
	w.configure(configuration(3, routes, []string{keyOne, keyTwo}))
	if err := w.addHosts(hostCount); err != nil {
		return false, err
	}
	valid, outside := w.send(read("read", keyOne), 100*time.Millisecond), w.send(read("read", keyNever), 100*time.Millisecond)
	time.Sleep(settle)
	taken := time.Now().Add(time.Hour)
	if trouble {
		taken = w.configure(configuration(7, routes, []string{keyTwo}))
		time.Sleep(1500 * time.Millisecond)
		w.configure(configuration(12, routes, []string{}))
	}
	time.Sleep(8 * time.Second)
	late, never := 0, 0
	for _, r := range valid.end() {
		if r.sent.After(taken.Add(configBound)) && w.ledger.count(r.id) > 0 {
			late++
		}
	}
	for _, r := range outside.end() {
		never += min(1, w.ledger.count(r.id))
	}
	w.note("ROUTE: %d requests ran whose key no configuration ever held", never)
	w.note("CONFIG: %d requests ran that were sent later than configMs after their key was taken away", late)
	return never+late > 0, nil
}

// otherWriter lets another writer overwrite the entries of servers shortly before the final
// fault; the servers write theirs again at their next heartbeat.
//
// Broken: of the requests sent later than recoverS after the machines are back, less than a
// quarter is served, though a quarter or more was before the final fault.
func otherWriter(w *world, trouble bool) (broken bool, err error) {
	servers, err := w.addServers("app")
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("read", "safe", "app", 2)}
	w.configure(configuration(3, routes, []string{keyOne}))
	if err := w.addHosts(hostCount); err != nil {
		return false, err
	}
	began := time.Now()
	requests := w.send(read("read", keyOne), 50*time.Millisecond)
	time.Sleep(settle)
	if trouble {
		w.overwriteEntries(servers)
	}
	w.configure(configuration(7, routes, []string{keyOne}))
	fault := time.Now()
	for _, h := range w.hosts {
		h.kill(restartDelay)
	}
	time.Sleep(restartDelay)
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	back := time.Now()
	w.note("all machines are back")
	time.Sleep(recoverBound + 8*time.Second)
	results := requests.end()
	sentBefore, servedBefore := served(results, began, fault)
	sentAfter, servedAfter := served(results, back.Add(recoverBound), time.Now())
	w.note("RECOVER: before the final fault %d of %d were served, later than recoverS after it %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter, nil
}

// overwriteEntries overwrites the entry of each server just after its heartbeat.
func (w *world) overwriteEntries(servers []*server) {
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			s.awaitHeartbeat()
			entry := s.entry()
			entry["service"] = "not-named"
			w.put("servers", s.id, entry)
			w.note("another writer overwrites the entry of %s, with a service that isn't named", s.id)
		})
	}
	group.Wait()
}

// awaitHeartbeat waits until the server has written its entry.
func (s *server) awaitHeartbeat() {
	s.mu.Lock()
	before := s.seq
	s.mu.Unlock()
	for {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		written := s.seq > before
		s.mu.Unlock()
		if written {
			return
		}
	}
}

// noSignature lets some servers spoil some of their answers to streams: a success comes
// without the server's signature.
//
// Broken: a client gets a success without the signature.
func noSignature(w *world, trouble bool) (broken bool, err error) {
	servers, err := w.addServers("app")
	if err != nil {
		return false, err
	}
	for _, s := range servers[:2] {
		s.unsigned = everyNth(33, trouble)
	}
	routes := []map[string]any{route("letter", "stream", "app", 1)}
	w.configure(configuration(3, routes, []string{keyOne}))
	if err := w.addHosts(hostCount); err != nil {
		return false, err
	}
	letters := w.send(request{method: http.MethodPost, path: "/letter/2f", key: keyOne, kind: "stream", deadline: 3 * time.Second, prompt: true}, 40*time.Millisecond)
	time.Sleep(12 * time.Second)
	bare, signed := 0, 0
	for _, r := range letters.end() {
		switch {
		case r.status < 200 || r.status >= 300:
		case r.stamp == "":
			bare++
			w.note("MIXED: %s got %d without a signature: %q", r.id, r.status, r.body)
		default:
			signed++
		}
	}
	w.note("MIXED: %d successes without a signature, %d with one", bare, signed)
	return bare > 0, nil
}

// everyNth returns a function that reports true at every nth call, or never.
func everyNth(n int, on bool) func(*http.Request) bool {
	var mu sync.Mutex
	calls := 0
	return func(*http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		calls++
		return on && calls%n == 0
	}
}

// shedAndDrop lets one server after the other turn part of its requests away for want of
// room, and close some of its connections with an answer, whatever the answer.
//
// Broken: in steady state afterwards, the route that was added later is served less than a
// quarter as often as the first one.
func shedAndDrop(w *world, trouble bool) (broken bool, err error) {
	servers, err := w.addServers("app")
	if err != nil {
		return false, err
	}
	if _, err := w.addServers("other"); err != nil {
		return false, err
	}
	for i, s := range servers {
		s.closeEvery = 16
		s.shed = w.greyInTurn(i, trouble)
	}
	first, later := route("first", "safe", "other", 2), route("later", "safe", "app", 2)
	w.configure(configuration(3, []map[string]any{first}, []string{keyOne}))
	if err := w.addHosts(hostCount); err != nil {
		return false, err
	}
	w.configure(configuration(7, []map[string]any{first, later}, []string{keyOne}))
	time.Sleep(configBound)
	w.greyFrom = time.Now()
	onFirst, onLater := w.send(read("first", keyOne), 20*time.Millisecond), w.send(read("later", keyOne), 10*time.Millisecond)
	time.Sleep(greyTurns * greyFor)
	time.Sleep(stableWindow)
	steady := time.Now()
	w.note("all servers take requests again")
	time.Sleep(10 * time.Second)
	sentFirst, servedFirst := served(onFirst.end(), steady, time.Now())
	sentLater, servedLater := served(onLater.end(), steady, time.Now())
	w.note("CONFIG: in steady state %d of %d are served on the first route, %d of %d on the route that was added later", servedFirst, sentFirst, servedLater, sentLater)
	return sentLater >= 20 && servedFirst > 0 && 4*servedLater*sentFirst < servedFirst*sentLater, nil
}

const (
	// greyFor and greyShare are the length of the trouble of one server and the share of its
	// requests that it turns away; greyTurns is how often one is in trouble.
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
	greyTurns = 9
)

// lastRoute removes the only route.
//
// Broken: a request sent later than configMs after that runs on the dropped route.
func lastRoute(w *world, trouble bool) (broken bool, err error) {
	if _, err := w.addServers("app"); err != nil {
		return false, err
	}
	only := configuration(3, []map[string]any{route("read", "safe", "app", 2)}, []string{keyOne})
	w.configure(only)
	if err := w.addHosts(hostCount); err != nil {
		return false, err
	}
	requests := w.send(read("read", keyOne), 100*time.Millisecond)
	time.Sleep(settle)
	dropped := time.Now().Add(time.Hour)
	if trouble {
		none := configuration(7, nil, []string{keyOne})
		none["routes"], none["services"] = []any{}, only["services"]
		dropped = w.configure(none)
	}
	time.Sleep(8 * time.Second)
	late := 0
	for _, r := range requests.end() {
		if r.sent.After(dropped.Add(configBound)) && w.ledger.count(r.id) > 0 {
			late++
		}
	}
	w.note("CONFIG: %d requests ran on a route that had been dropped more than configMs before", late)
	return late > 0, nil
}
