package peer

import (
	"time"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// mergeRateLimits merges records of servers' rate limits, and starts an early round
// of gossip if any limit has begun or ended.
func (n *Node) mergeRateLimits(list []*peerpb.RateLimit) {
	if len(list) > 0 && n.options.RateLimits.MergeRateLimits(rateLimitsFromProto(list)) {
		signal(n.pushSignal)
	}
}

func rateLimitsFromProto(list []*peerpb.RateLimit) []fleet.RateLimit {
	records := make([]fleet.RateLimit, 0, len(list))
	for _, p := range list {
		records = append(records, fleet.RateLimit{Server: p.GetServer(), PerSecond: p.GetPerSecond(), Age: time.Duration(p.GetAgeMs()) * time.Millisecond})
	}
	return records
}

func rateLimitsToProto(records []fleet.RateLimit) []*peerpb.RateLimit {
	list := make([]*peerpb.RateLimit, 0, len(records))
	for _, r := range records {
		list = append(list, &peerpb.RateLimit{Server: r.Server, PerSecond: r.PerSecond, AgeMs: uint32(r.Age.Milliseconds())})
	}
	return list
}

// noRateLimits is an empty RateLimits, for hosts that exchange none.
type noRateLimits struct{}

func (noRateLimits) GossipRateLimits() []fleet.RateLimit    { return nil }
func (noRateLimits) RateLimits() []fleet.RateLimit          { return nil }
func (noRateLimits) MergeRateLimits([]fleet.RateLimit) bool { return false }
