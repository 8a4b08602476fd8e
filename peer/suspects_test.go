package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
)

// Guards against a joining host that forwards requests which all other hosts
// have quarantined.
func TestJoiningHostReceivesQuarantinedRequests(t *testing.T) {
	is := is.New(t)
	known := quarantine.NewTable(zap.NewNop(), prometheus.NewRegistry())
	known.Merge([]quarantine.Record{{Fingerprint: 7, Crashes: 2, Remaining: time.Minute}}, "test")
	n := New(Options{
		Self: Member{Host: "a"}, Network: network.New(network.Options{}).Host("10.0.0.1"), Configuration: newTableFake(), Handler: &handlerFake{}, Quarantine: known,
	})
	sent := quarantineToProto([]quarantine.Record{{Fingerprint: 8, Crashes: 3, Remaining: time.Hour}})
	response, err := (&service{node: n}).Sync(t.Context(), &peerpb.SyncRequest{From: Member{Host: "b"}.toProto(), Suspects: sent})
	is.NoErr(err)
	received := quarantineFromProto(response.GetSuspects())
	is.Equal(len(received), 2) // including the record that the joining host sent
	is.True(known.Quarantined(8) > time.Minute)
}
