// Package selection chooses a few items of many.
package selection

import "slices"

// Lowest returns the n items with the lowest keys, in the order of their keys. It
// computes one key for each item and keeps the n lowest, which costs less than
// sorting if n is small.
func Lowest[T, K any](items []T, n int, key func(*T) K, compare func(a, b K) int) []T {
	if n <= 0 {
		return nil
	}
	type ranked struct {
		key   K
		index int
	}
	lowest := make([]ranked, 0, min(n, len(items))+1)
	for i := range items {
		next := ranked{key(&items[i]), i}
		if len(lowest) == n && compare(next.key, lowest[n-1].key) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(lowest, next.key, func(r ranked, key K) int { return compare(r.key, key) })
		lowest = slices.Insert(lowest, at, next)
		lowest = lowest[:min(n, len(lowest))]
	}
	chosen := make([]T, len(lowest))
	for i, r := range lowest {
		chosen[i] = items[r.index]
	}
	return chosen
}
