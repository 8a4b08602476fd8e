package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// watchersDark has the hosts that watch the store lose power for two seconds, and a worker
// leave at that time. A frozen process stands for a machine without power; when power is
// back, its process is new.
func watchersDark(w *world, trouble bool) int {
	const (
		drainBound = 2000 * time.Millisecond // of the settings
		darkFor    = 2000 * time.Millisecond
		leaveAfter = 100 * time.Millisecond
		quiet      = 6 * time.Second
		watchLasts = 7 * time.Second // a watch without changes is renewed sooner
		firstBatch = 50 * time.Millisecond
		batchEvery = 100 * time.Millisecond
		batches    = 9
		batchSize  = 6
	)
	workers := w.startSmall(3, 2, 2)
	time.Sleep(quiet)
	dark := w.watchers(watchLasts)
	w.log("hosts that watch the store: %v", names(dark))
	if len(dark) == 0 || len(dark) > 4 {
		return unclear // a share of 0.55 of seven hosts is four at most
	}
	if trouble {
		for _, h := range dark {
			h.signal(syscall.SIGSTOP)
		}
		w.log("%v have lost power", names(dark))
	}
	began := time.Now()
	time.Sleep(leaveAfter)
	leaving := workers[0]
	acknowledged := leaving.leave()
	w.log("the store has acknowledged that %s is draining", leaving.id)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(darkFor)))
			for _, h := range dark {
				h.signal(syscall.SIGKILL)
				w.start(h)
			}
			w.log("%v have power again and start", names(dark))
		})
	}
	results := newResults()
	for _, h := range w.hosts {
		if slices.Contains(dark, h) {
			continue
		}
		for batch := range batches {
			for n := range batchSize {
				group.Go(func() {
					time.Sleep(time.Until(acknowledged.Add(drainBound + firstBatch + time.Duration(batch)*batchEvery)))
					client, id := w.newClient(h), fmt.Sprintf("%s-%d-%d", h.name, batch, n)
					defer client.close()
					results.add(w, workers, id, h, client.post(id, []byte("acknowledge "+id), 1500*time.Millisecond))
				})
			}
		}
	}
	group.Wait()
	return w.judgeDrain(results, leaving, acknowledged.Add(drainBound))
}

// judgeDrain applies the rule DRAIN to the requests that reached a leaving worker.
func (w *world) judgeDrain(r *results, leaving *worker, until time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	for _, id := range leaving.attempts() {
		if at, _ := leaving.arrival(id); at.After(until) {
			late++
			w.log("DRAIN %s reached %s %.3f s after drainMs", id, leaving.id, at.Sub(until).Seconds())
		}
	}
	w.log("answers by status (0: none): %v", r.statuses)
	w.log("requests that reached the leaving worker later than drainMs after the acknowledgement: %d; the rule allows none", late)
	fmt.Printf("answers %v, late at the leaving worker %d\n", r.statuses, late)
	switch {
	case r.statuses[200] == 0:
		return unclear
	case late > 0:
		return broken
	}
	return held
}

func names(hosts []*host) (list []string) {
	for _, h := range hosts {
		list = append(list, h.name)
	}
	return list
}
