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
			Fingerprint: p.GetFingerprint(), Epoch: p.GetEpoch(), Crashes: p.GetCrashes(), Weak: p.GetWeak(), Remaining: time.Duration(p.GetLeftMs()) * time.Millisecond, Part: p.GetPart(),
		})
	}
	return records
}

func quarantineToProto(records []quarantine.Record) []*peerpb.Suspect {
	list := make([]*peerpb.Suspect, 0, len(records))
	for _, r := range records {
		list = append(list, &peerpb.Suspect{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Crashes: r.Crashes, Weak: r.Weak, LeftMs: uint32(r.Remaining.Milliseconds()), Part: r.Part})
	}
	return list
}

// mergeEvidence merges evidence on the parts of prompts, and starts an early round of
// gossip if any of it was new.
func (n *Node) mergeEvidence(crashes []*peerpb.ServerCrash, passes []*peerpb.PartPass) {
	if len(crashes)+len(passes) > 0 && n.options.Quarantine.MergeEvidence(evidenceFromProto(crashes, passes)) {
		signal(n.pushSignal)
	}
}

func evidenceFromProto(crashes []*peerpb.ServerCrash, passes []*peerpb.PartPass) quarantine.Evidence {
	var evidence quarantine.Evidence
	for _, p := range crashes {
		evidence.Crashes = append(evidence.Crashes, quarantine.Crash{
			Server: p.GetServer(), Request: p.GetRequest(), Parts: p.GetParts(), Answering: p.GetAnswering(), Begun: p.GetBegun(), Age: time.Duration(p.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, p := range passes {
		evidence.Passes = append(evidence.Passes, quarantine.Pass{Part: p.GetPart(), Age: time.Duration(p.GetAgeMs()) * time.Millisecond})
	}
	return evidence
}

func evidenceToProto(evidence quarantine.Evidence) (crashes []*peerpb.ServerCrash, passes []*peerpb.PartPass) {
	for _, c := range evidence.Crashes {
		crashes = append(crashes, &peerpb.ServerCrash{Server: c.Server, Request: c.Request, Parts: c.Parts, Answering: c.Answering, Begun: c.Begun, AgeMs: uint32(c.Age.Milliseconds())})
	}
	for _, p := range evidence.Passes {
		passes = append(passes, &peerpb.PartPass{Part: p.Part, AgeMs: uint32(p.Age.Milliseconds())})
	}
	return crashes, passes
}

// noQuarantine is an empty Quarantine, for hosts that exchange no quarantine records.
type noQuarantine struct{}

func (noQuarantine) GossipRecords() []quarantine.Record     { return nil }
func (noQuarantine) All() []quarantine.Record               { return nil }
func (noQuarantine) Merge([]quarantine.Record, string) bool { return false }
func (noQuarantine) GossipEvidence() quarantine.Evidence    { return quarantine.Evidence{} }
func (noQuarantine) MergeEvidence(quarantine.Evidence) bool { return false }
