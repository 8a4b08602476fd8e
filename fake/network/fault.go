package network

import "time"

// Cut resets all connections between two machines and refuses new ones.
func (f *Fabric) Cut(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkLocked(a, b).cut = true
	f.linkLocked(b, a).cut = true
	for c := range f.conns {
		if c.between(a, b) {
			c.resetLocked()
		}
	}
	f.wakeLocked()
}

// RefuseDials refuses new connections between two machines until Heal. Open ones work.
func (f *Fabric) RefuseDials(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkLocked(a, b).refused = true
	f.linkLocked(b, a).refused = true
	f.wakeLocked()
}

// Silence drops all bytes between two machines in both directions. Connections that
// are open stay open and silent permanently, even after Heal.
func (f *Fabric) Silence(a, b string) {
	f.SilenceOneWay(a, b)
	f.SilenceOneWay(b, a)
}

// SilenceOneWay drops all bytes from one machine to another. Until Heal, no new
// connections can be established in either direction.
func (f *Fabric) SilenceOneWay(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkLocked(from, to).silent = true
	f.dropOpenLocked(from, to)
	f.wakeLocked()
}

// SilenceOpenConnections makes the connections that are currently open between
// two machines silent permanently, in both directions, as when a NAT or firewall
// between them has lost their state. New connections work.
func (f *Fabric) SilenceOpenConnections(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropOpenLocked(a, b)
	f.dropOpenLocked(b, a)
	f.wakeLocked()
}

// dropOpenLocked makes one direction of the open connections drop all bytes, including
// those in flight.
func (f *Fabric) dropOpenLocked(from, to string) {
	for c := range f.conns {
		if c.out.from == from && c.out.to == to {
			c.out.dropping = true
			c.out.segments = nil
		}
	}
}

// Stall delays all bytes between two machines until Heal; none are lost.
func (f *Fabric) Stall(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkLocked(a, b).stalled = true
	f.linkLocked(b, a).stalled = true
}

// Heal ends Cut, RefuseDials, Silence and Stall between two machines. Connections that were
// broken or silenced do not recover.
func (f *Fabric) Heal(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dir := range []direction{{a, b}, {b, a}} {
		state := f.linkLocked(dir.from, dir.to)
		state.cut, state.refused, state.silent, state.stalled = false, false, false, false
	}
	f.wakeLocked()
}

// HealAll ends Cut, RefuseDials, Silence and Stall on all links.
func (f *Fabric) HealAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, state := range f.links {
		state.cut, state.refused, state.silent, state.stalled = false, false, false, false
	}
	f.wakeLocked()
}

// Delay sets the one-way latency between two machines.
func (f *Fabric) Delay(a, b string, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkLocked(a, b).delay = latency
	f.linkLocked(b, a).delay = latency
}

// Freeze blocks a machine's reads, writes, accepts and dials until Thaw, as SIGSTOP
// does for a process. A close of a connection returns at once, and the other end
// receives it at Thaw. The kernel still accepts connections and bytes.
func (f *Fabric) Freeze(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[ip] = true
}

// Thaw ends Freeze. Deadlines that passed meanwhile have expired.
func (f *Fabric) Thaw(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.frozen, ip)
	for c := range f.conns {
		if c.in.to == ip && c.closePending {
			c.finishCloseLocked()
		}
	}
	f.wakeLocked()
}

// Kill closes a machine's listeners and breaks its connections, as SIGKILL does
// for a process. The other ends see a reset unless the direction to them is silent.
// The machine may listen again immediately, and Freeze ends.
func (f *Fabric) Kill(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.frozen, ip)
	for c := range f.conns {
		if c.in.to != ip {
			continue
		}
		reachable := !c.out.dropping
		c.breakLocked()
		c.closed = true
		delete(f.conns, c)
		if reachable {
			c.peer.breakLocked()
		}
	}
	f.closeListenersLocked(ip)
	f.wakeLocked()
}

// Exit closes a machine's listeners and connections in order, as the system does for a
// process that ends and has read all that arrived. The machine may listen again
// immediately.
func (f *Fabric) Exit(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.in.to == ip && !c.closed {
			c.closed = true
			c.finishCloseLocked()
			c.in.changed.Broadcast()
		}
	}
	f.closeListenersLocked(ip)
	f.wakeLocked()
}

func (f *Fabric) closeListenersLocked(ip string) {
	for key, l := range f.listeners {
		if l.addr.IP.String() == ip {
			l.closed = true
			delete(f.listeners, key)
			l.ready.Broadcast()
		}
	}
}

// Connections returns the number of open connections of a machine.
func (f *Fabric) Connections(ip string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if c.in.to == ip {
			n++
		}
	}
	return n
}
