package peer

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// refreshWorkers is the number of concurrent requests of one Refresh.
const refreshWorkers = 16

// Refresh queries the configuration version in force on all hosts whose last
// received version is behind this host's, so that Members is also current for
// hosts outside the scope. Hosts that do not answer keep their last version. At
// most one Refresh per probe interval sends requests and the others return
// immediately, which bounds the cost of a command that polls, such as
// "papayasail wait".
//
// It runs on demand. Gossiping the versions of all hosts to all others would take
// a record for each host and change, 390 in a fleet of 390 hosts, and cost more
// than all other control traffic.
func (n *Node) Refresh(ctx context.Context) {
	if !n.refreshLimit.Allow() {
		return
	}
	newest := n.options.Configuration.Version()
	behind := n.others(func(m Member) bool { return m.State != StateGone && m.ConfigurationVersion < newest })
	var group errgroup.Group
	group.SetLimit(refreshWorkers)
	for _, m := range behind {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, n.options.ProbeTimeout)
			defer cancel()
			_, err := n.exchangeOn(ctx, n.data, m)
			return err
		})
	}
	_ = group.Wait() // probes detect the hosts that do not answer
}
