package control

import (
	"context"
	"net"
	"sync"

	"github.com/papayasail/papayasail/link"
)

// cutter drops all data between a set of failure domains and the others, which
// simulates a network partition or the failure of a domain.
type cutter struct {
	mu       sync.Mutex        // guards all below
	domainOf map[string]string // failure domain by peer address; written before the hosts run
	apart    map[string]bool   // failure domains on one side of the partition
}

func newCutter() *cutter {
	return &cutter{domainOf: make(map[string]string), apart: make(map[string]bool)}
}

func (c *cutter) set(domains []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.apart)
	for _, d := range domains {
		c.apart[d] = true
	}
}

func (c *cutter) between(from, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apart[from] != c.apart[c.domainOf[address]]
}

// cutNetwork is the loopback TCP network of a host in a failure domain.
type cutNetwork struct {
	link.TCP
	cutter *cutter
	domain string
}

// Dial implements link.Network. If the partition separates the address, Dial
// blocks until ctx is done.
func (n cutNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.cutter.between(n.domain, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := n.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, network: n, address: address}, nil
}

// cutConn drops data in both directions once it is used during a partition of
// its link, also after the partition has healed.
type cutConn struct {
	net.Conn
	network cutNetwork
	address string

	mu     sync.Mutex // guards silent
	silent bool
}

func (c *cutConn) lost() bool {
	cut := c.network.cutter.between(c.network.domain, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || cut
	return c.silent
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.lost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.lost() {
			return n, err
		}
	}
}
