package domain

import "github.com/papayasail/papayasail/peer"

// TrialHost returns the host that tries requests with a quarantined part of a prompt:
// the live one with the highest rendezvous score for the part; "" if there is none.
func TrialHost(members []peer.Member, part uint64) string {
	name, highest := "", uint64(0)
	for i := range members {
		m := &members[i]
		if s := score(m.Host, part); m.State == peer.StateAlive && (name == "" || s > highest) {
			name, highest = m.Host, s
		}
	}
	return name
}
