package peer

import (
	"time"

	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
)

// quarantineSource is the log value for quarantine records received from peers.
const quarantineSource = "peer"

// mergeQuarantine merges records of requests that crash backend servers, and
// starts an early round of gossip if any of them was new.
func (n *Node) mergeQuarantine(list []*peerpb.Suspect) {
	if len(list) > 0 && n.options.Quarantine.Merge(quarantineFromProto(list), quarantineSource) {
		signal(n.pushSignal)
	}
}

func quarantineFromProto(list []*peerpb.Suspect) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(list))
	for _, p := range list {
		records = append(records, quarantine.Record{
			Fingerprint: p.GetFingerprint(), Epoch: p.GetEpoch(), Crashes: p.GetCrashes(), Remaining: time.Duration(p.GetLeftMs()) * time.Millisecond,
		})
	}
	return records
}

func quarantineToProto(records []quarantine.Record) []*peerpb.Suspect {
	list := make([]*peerpb.Suspect, 0, len(records))
	for _, r := range records {
		list = append(list, &peerpb.Suspect{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Crashes: r.Crashes, LeftMs: uint32(r.Remaining.Milliseconds())})
	}
	return list
}

// noQuarantine is an empty Quarantine, for hosts that exchange no quarantine records.
type noQuarantine struct{}

func (noQuarantine) GossipRecords() []quarantine.Record     { return nil }
func (noQuarantine) All() []quarantine.Record               { return nil }
func (noQuarantine) Merge([]quarantine.Record, string) bool { return false }
