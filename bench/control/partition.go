package control

import (
	"context"
	"net"
	"sync"

	"github.com/papayasail/papayasail/link"
)

// partition drops all data between a set of failure domains and the others,
// which simulates a network partition or the failure of a domain.
type partition struct {
	mu       sync.Mutex        // guards all below
	domainOf map[string]string // failure domain by peer address; written before the hosts run
	isolated map[string]bool   // failure domains on one side of the partition
}

func newPartition() *partition {
	return &partition{domainOf: make(map[string]string), isolated: make(map[string]bool)}
}

func (p *partition) set(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.isolated)
	for _, d := range domains {
		p.isolated[d] = true
	}
}

func (p *partition) separates(from, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[from] != p.isolated[p.domainOf[address]]
}

// partitionedNetwork is the loopback TCP network of a host in a failure domain.
type partitionedNetwork struct {
	link.TCP
	partition *partition
	domain    string
}

// Dial implements link.Network. If the partition separates the address, Dial
// blocks until ctx is done.
func (n partitionedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.partition.separates(n.domain, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := n.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{Conn: conn, network: n, address: address}, nil
}

// partitionedConn drops data in both directions once it is used during a
// partition of its link, also after the partition has healed.
type partitionedConn struct {
	net.Conn
	network partitionedNetwork
	address string

	mu       sync.Mutex // guards silenced
	silenced bool
}

func (c *partitionedConn) dropped() bool {
	separated := c.network.partition.separates(c.network.domain, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced = c.silenced || separated
	return c.silenced
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.dropped() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropped() {
			return n, err
		}
	}
}
