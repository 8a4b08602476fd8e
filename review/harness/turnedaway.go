package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	configBound = 2000 * time.Millisecond // of the settings
	outerBound  = 5000 * time.Millisecond // of the settings
	awayFor     = 9 * time.Second
)

// watchersTurnedAway has the store turn away the hosts that watch it for nine seconds, and
// serve the others and the operator, who takes keys away meanwhile. It does so several
// times.
func watchersTurnedAway(w *world, trouble bool) int {
	const (
		episodes   = 6
		settle     = 3 * time.Second
		shift      = 83 * time.Millisecond // the hosts check the store each 500 ms
		quiet      = 3 * time.Second
		watchLasts = 7 * time.Second // a watch without changes is renewed sooner
	)
	workers := w.startSmall(3, 3, 3)
	time.Sleep(quiet)
	late := lateRuns{last: map[string]time.Duration{}}
	results := newResults()
	version := 3
	configure := func(keys []string) time.Time {
		version += 2
		w.put("config", "main", configuration(version, keys...))
		w.log("the store has acknowledged version %d, with the keys %v", version, keys)
		return time.Now()
	}
	for episode := range episodes {
		configure(deploymentKeys)
		time.Sleep(settle + time.Duration(episode)*shift)
		away := w.watchers(watchLasts)
		w.log("hosts that watch the store: %v", names(away))
		if len(away) > 3 {
			away = away[:3] // a share of 0.35 of nine hosts
		}
		w.revokeKeys(trouble, away, workers, configure, results, &late)
	}
	return w.judgeConfig(results, &late)
}

// revokeKeys is one time in which the store turns hosts away and keys are taken away.
func (w *world) revokeKeys(trouble bool, away []*host, workers []*worker, configure func([]string) time.Time, results *results, late *lateRuns) {
	const (
		sendEvery = 50 * time.Millisecond
		sendFor   = 10 * time.Second
	)
	began := time.Now()
	if trouble {
		w.turnAway(away, true)
		w.log("the store answers 503 to %v", names(away))
		time.AfterFunc(awayFor, func() {
			w.turnAway(away, false)
			w.log("the store serves all hosts again")
		})
	}
	var group sync.WaitGroup
	for i, at := range []time.Duration{300 * time.Millisecond, 1100 * time.Millisecond, 4000 * time.Millisecond, 5500 * time.Millisecond} {
		time.Sleep(time.Until(began.Add(at)))
		left := len(deploymentKeys) - 1 - i
		key, acknowledged := deploymentKeys[left], configure(deploymentKeys[:left])
		for _, h := range w.hosts {
			if slices.Contains(away, h) {
				continue
			}
			group.Go(func() {
				client := w.newClient(h)
				client.key = key
				defer client.close()
				for n := 0; time.Since(began) < sendFor; n++ {
					sent := time.Since(acknowledged)
					id := fmt.Sprintf("%s-%s-%d-%d", h.name, key, acknowledged.UnixMilli(), n)
					results.add(w, workers, id, h, client.post(id, []byte("acknowledge "+id), 1500*time.Millisecond))
					if sent > configBound && slices.ContainsFunc(workers, func(k *worker) bool { return k.ran(id) }) {
						late.add(key, sent)
						w.log("CONFIG %s was sent with %s %.3f s after the acknowledgement and has run", id, key, sent.Seconds())
					}
					time.Sleep(sendEvery)
				}
			})
		}
	}
	group.Wait()
}

// lateRuns are the requests with a key that was taken away more than configMs before.
type lateRuns struct {
	mu          sync.Mutex
	count       int
	beyondOuter int                      // sent also later than outerMs after that
	last        map[string]time.Duration // the latest one, by key
}

func (l *lateRuns) add(key string, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if sent > configBound+outerBound {
		l.beyondOuter++
	}
	l.last[key] = max(l.last[key], sent)
}

// judgeConfig applies the rule CONFIG to the requests with keys that were taken away.
func (w *world) judgeConfig(r *results, l *lateRuns) int {
	w.log("answers by status (0: none): %v", r.statuses)
	w.log("last late request by key, after the acknowledgement: %v", l.last)
	w.log("requests sent later than configMs that have run: %d, of these later than configMs + outerMs: %d; the rule allows none", l.count, l.beyondOuter)
	fmt.Printf("answers %v, late %d (%d beyond outerMs), last %v\n", r.statuses, l.count, l.beyondOuter, l.last)
	switch {
	case r.statuses[http.StatusUnauthorized] == 0:
		return unclear
	case l.count > 0:
		return broken
	}
	return held
}
