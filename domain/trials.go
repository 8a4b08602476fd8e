package domain

import "github.com/papayasail/papayasail/peer"

// TrialHost returns the host that tries requests with a quarantined part of a prompt;
// "" if there is none.
func TrialHost(members []peer.Member, part uint64) string { return preferred(members, part) }

// Keeper returns the host that keeps what hosts know about a call, by the call's
// fingerprint; "" if there is none.
func Keeper(members []peer.Member, fingerprint uint64) string { return preferred(members, fingerprint) }

// preferred returns the live host with the highest rendezvous score for a seed, or "".
func preferred(members []peer.Member, seed uint64) string {
	name, highest := "", uint64(0)
	for i := range members {
		m := &members[i]
		if s := score(m.Host, seed); m.State == peer.StateAlive && (name == "" || s > highest) {
			name, highest = m.Host, s
		}
	}
	return name
}
