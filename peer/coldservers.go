package peer

import (
	"time"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// mergeColdServers merges news of servers that are cold, and starts an early round of
// gossip if any of it was new.
func (n *Node) mergeColdServers(list []*peerpb.ColdServer) {
	if len(list) > 0 && n.options.ColdServers.MergeColdServers(coldServersFromProto(list)) {
		signal(n.pushSignal)
	}
}

func coldServersFromProto(list []*peerpb.ColdServer) []fleet.ColdServer {
	news := make([]fleet.ColdServer, 0, len(list))
	for _, p := range list {
		news = append(news, fleet.ColdServer{Server: p.GetServer(), Left: time.Duration(p.GetLeftMs()) * time.Millisecond})
	}
	return news
}

func coldServersToProto(news []fleet.ColdServer) []*peerpb.ColdServer {
	list := make([]*peerpb.ColdServer, 0, len(news))
	for _, s := range news {
		list = append(list, &peerpb.ColdServer{Server: s.Server, LeftMs: uint32(s.Left.Milliseconds())})
	}
	return list
}

// noColdServers is an empty ColdServers, for hosts that exchange none.
type noColdServers struct{}

func (noColdServers) GossipColdServers() []fleet.ColdServer    { return nil }
func (noColdServers) ColdServers() []fleet.ColdServer          { return nil }
func (noColdServers) MergeColdServers([]fleet.ColdServer) bool { return false }
