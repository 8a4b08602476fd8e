package peer

import (
	"context"
	"time"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
)

const (
	// propagationIntervals is the number of probe intervals within which gossip
	// reaches all hosts.
	propagationIntervals = 4
	// maxOtherDigests is the number of other digests above which they are
	// cleared.
	maxOtherDigests = 64
	// joinSeeds is the maximum number of seeds that a joining host syncs with;
	// it has joined after the first.
	joinSeeds = 3
)

// syncLoop runs the syncs requested by probes, one at a time.
func (n *Node) syncLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-n.syncs:
			n.syncWith(ctx, from.PeerAddress)
		}
	}
}

// compareMembership requests a full membership sync when digests differ
// persistently. This is the anti-entropy for gossip, whose retransmissions are
// bounded and may miss a host. While gossip is in flight digests differ for a
// few seconds.
func (n *Node) compareMembership(from Member, digest uint64) {
	_, own, _ := n.table.summary()
	if !n.digestsDifferPersistently(own, digest) || from.PeerAddress == "" || !n.syncLimit.Allow() {
		return
	}
	select {
	case n.syncs <- from:
	default: // another sync is queued
	}
}

// digestsDifferPersistently records a received digest, and reports whether it
// differs and was first received at least propagationIntervals probe intervals
// ago while this host's own digest stayed the same.
//
// Failure: several hosts missed the same update. Their digests match each
// other. If the time were measured from the last matching digest, each match
// would restart it, and they would never sync with the hosts that have the
// update.
func (n *Node) digestsDifferPersistently(own, received uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.digestsDiffered = own != received
	if n.digest != own || len(n.otherDigests) > maxOtherDigests {
		n.digest = own
		clear(n.otherDigests)
	}
	if !n.digestsDiffered {
		return false
	}
	first, known := n.otherDigests[received]
	if !known {
		n.otherDigests[received] = time.Now()
		return false
	}
	return time.Since(first) >= propagationIntervals*n.options.ProbeInterval
}

// lastDigestDiffered reports whether the last digest received differed.
func (n *Node) lastDigestDiffered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.digestsDiffered
}

// missingMembers returns the records whose hashes are not in have.
func (n *Node) missingMembers(have []uint64) []Member {
	held := make(map[uint64]bool, len(have))
	for _, hash := range have {
		held[hash] = true
	}
	var missing []Member
	members, hashes := n.table.all()
	for i, m := range members {
		if !held[hashes[i]] {
			missing = append(missing, m)
		}
	}
	return missing
}

// syncWith fetches the member records that this host lacks from the host at
// address, and reports whether it answered.
func (n *Node) syncWith(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, hashes := n.table.all()
	request := &peerpb.SyncRequest{
		From: n.table.localMember().toProto(), Have: hashes, Leaving: leavingToProto(n.leaving.list(time.Now())),
		Suspects: quarantineToProto(n.options.Quarantine.All()), RateLimits: rateLimitsToProto(n.options.RateLimits.RateLimits()),
		ColdServers: coldServersToProto(n.options.ColdServers.ColdServers()),
	}
	var response *peerpb.SyncResponse
	err := n.control.call(address, func(client peerpb.PeerClient) (err error) {
		response, err = client.Sync(ctx, request)
		return err
	})
	if err != nil {
		n.counters.syncs.WithLabelValues(resultFailed).Inc()
		return false
	}
	members := append(membersFromProto(response.GetMembers()), memberFromProto(response.GetFrom()))
	n.mergeMembers(members)
	n.table.stopRetransmitting(members)
	n.mergeLeaving(response.GetLeaving())
	n.mergeQuarantine(response.GetSuspects())
	n.mergeRateLimits(response.GetRateLimits())
	n.mergeColdServers(response.GetColdServers())
	n.counters.syncs.WithLabelValues(resultDone).Inc()
	return true
}

// joinLoop syncs with the seeds, in random order, until some answer. Without
// deliveries it pulls the whole configuration from the first, so that a host that
// starts while the platform is unavailable gets it from its peers; with them, see
// PullSnapshot.
//
// Failure: hosts that start together join through different seeds and form
// separate clusters that find each other only by chance. A host therefore joins
// through up to joinSeeds seeds.
func (n *Node) joinLoop(ctx context.Context) error {
	for {
		answered := 0
		for _, seed := range n.shuffledSeeds() {
			if answered == joinSeeds || !n.syncWith(ctx, seed) {
				continue
			}
			answered++
			n.joinedOnce.Do(func() {
				if !n.deliversChanges() {
					_, _ = n.pullFrom(ctx, seed) // probes request it again
				}
				close(n.joined)
			})
		}
		if answered > 0 {
			signal(n.pushSignal) // introduce this host
			return n.syncAgain(ctx)
		}
		if err := sleep.For(ctx, n.options.ProbeInterval); err != nil {
			return err
		}
	}
}

// syncAgain syncs the membership once more with a seed.
//
// Failure: the whole fleet starts at once. Hosts sync with their seeds before
// these have the other members, and gossip misses a host. Until its digest has
// differed for some seconds, that host has an incomplete membership and takes on
// duties of other hosts: about one host in a thousand then watches the store in
// addition to the three that should.
func (n *Node) syncAgain(ctx context.Context) error {
	if err := sleep.For(ctx, propagationIntervals*n.options.ProbeInterval); err != nil {
		return err
	}
	for _, seed := range n.shuffledSeeds() {
		if n.syncWith(ctx, seed) {
			break
		}
	}
	return nil
}

// MatchesSeed reports whether a seed has the same members as this host. If not, it
// syncs with the seed. Without a seed that answers there is nothing to compare, and
// it returns true.
func (n *Node) MatchesSeed(ctx context.Context) bool {
	for _, seed := range n.shuffledSeeds() {
		probing, cancel := context.WithTimeout(ctx, n.options.ProbeTimeout)
		response, err := n.sendProbe(probing, n.control, Member{PeerAddress: seed})
		cancel()
		if err != nil {
			continue
		}
		n.receive(response)
		if _, own, _ := n.table.summary(); own == response.GetMembershipDigest() {
			return true
		}
		n.syncWith(ctx, seed)
		return false
	}
	return true
}

func (n *Node) shuffledSeeds() []string {
	var seeds []string
	for _, seed := range n.options.Seeds {
		if seed != n.options.Self.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}
