package main

import (
	"fmt"
	"sync"
	"time"
)

// endlessLine has one of three workers hand out wrong bytes in 3 of 100 answers: zeros
// without a line end, at less than the speed of its link.
func endlessLine(w *world, trouble bool) int {
	const (
		spells      = 4
		spell       = 6900 * time.Millisecond
		pause       = 7 * time.Second
		clients     = 18
		thinkTime   = 250 * time.Millisecond
		garbledOf   = 33 // one of so many answers
		garbageSize = 120 << 20
	)
	workers := w.startSmall(1, 1, 1)
	var kills killCount
	stop := make(chan struct{})
	for _, h := range w.hosts {
		go w.enforceMemory(h, &kills, stop)
	}
	began := time.Now()
	faulty := func() bool {
		at := time.Since(began)
		return at >= pause && at%(pause+spell) >= pause
	}
	if trouble {
		workers[0].garbageBytes, workers[0].garbledOf, workers[0].faulty = garbageSize, garbledOf, faulty
	}
	results := newResults()
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			client := w.newClient(w.hosts[c%len(w.hosts)])
			defer client.close()
			for n := 0; time.Since(began) < spells*(pause+spell); n++ {
				id := fmt.Sprintf("c%d-%d", c, n)
				results.add(w, workers, id, client.host, client.post(id, []byte("acknowledge "+id), 1500*time.Millisecond))
				time.Sleep(thinkTime)
			}
		})
	}
	group.Wait()
	close(stop)
	return w.judgeLost(results, &kills)
}
