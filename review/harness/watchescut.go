package main

import (
	"fmt"
	"sync"
	"time"
)

// watchesCut has the store cut off once the watches that wait, and then a worker leave that
// never reports draining. Nothing else is disturbed.
func watchesCut(w *world, trouble bool) int {
	const (
		drainBound = 2000 * time.Millisecond // of the settings
		quiet      = 5 * time.Second
		leaveAfter = time.Second
		firstBatch = 50 * time.Millisecond
		batchEvery = 100 * time.Millisecond
		batches    = 9
		batchSize  = 6
	)
	workers := w.startSmall(3, 2, 2)
	time.Sleep(quiet)
	if trouble {
		w.log("the store cuts off the %d watches that wait", w.cutWatches())
	}
	time.Sleep(leaveAfter)
	leaving := workers[0]
	acknowledged := leaving.leaveSilently()
	w.log("the store has acknowledged that %s is gone", leaving.id)
	var group sync.WaitGroup
	results := newResults()
	for _, h := range w.hosts {
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
