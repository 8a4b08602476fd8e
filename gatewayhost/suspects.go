package gatewayhost

import (
	"context"
	"sync"
	"time"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
)

const (
	// suspectsInterval is the interval at which this host looks for suspects that are to
	// be queried; suspectTimeout bounds one query.
	suspectsInterval = 100 * time.Millisecond
	suspectTimeout   = 500 * time.Millisecond
	// revisionInterval is the interval at which reports of other hosts are revised.
	revisionInterval = 2 * time.Second
)

// querySuspects queries servers that may take no new work (see fleet.Suspicion) until
// their own answers decide, or ctx ends.
//
// A suspect gets few requests or none, so that requests alone might never show that it
// takes work.
func (h *Host) querySuspects(ctx context.Context) error {
	for sleep.For(ctx, suspectsInterval) == nil {
		due, suspects := h.fleet.SuspectsDue()
		if !suspects {
			select {
			case <-h.fleet.Suspected():
			case <-ctx.Done():
			}
			continue
		}
		var group sync.WaitGroup
		for _, server := range due {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
				defer cancel()
				status, _ := h.queryStatus(ctx, server) // without an answer, the status is empty, and the suspicion remains
				h.fleet.ApplySelfReport(server.Incarnation(), status)
			})
		}
		group.Wait()
	}
	return ctx.Err()
}

// revisePeerReports compares what other hosts report of leaving servers with the store,
// until ctx ends.
func (h *Host) revisePeerReports(ctx context.Context) error {
	for sleep.For(ctx, revisionInterval) == nil {
		if h.viewCurrentFor(fleet.PeerReportTTL) {
			h.fleet.RevisePeerReports()
		}
	}
	return ctx.Err()
}
