package backend

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the positions of the n servers that an entry host polls, in
// ascending order. They are selected by rendezvous hashing: hosts spread evenly
// over servers, and adding or removing one server changes at most one member of
// the subset. If n <= 0 or n is at least the number of servers, it returns all
// positions.
func Subset(host string, servers []*Server, n int) []int {
	positions := make([]int, len(servers))
	for i := range positions {
		positions[i] = i
	}
	if n <= 0 || n >= len(servers) {
		return positions
	}
	weights := make([]uint64, len(servers))
	for i, server := range servers {
		weights[i] = xxhash.Sum64String(host + "\x00" + server.Address)
	}
	sort.Slice(positions, func(a, b int) bool { return weights[positions[a]] > weights[positions[b]] })
	positions = positions[:n]
	sort.Ints(positions)
	return positions
}
