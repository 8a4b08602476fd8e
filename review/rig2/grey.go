package main

import (
	"math/rand/v2"
	"time"
)

// greyInTurn returns whether the server of an index turns the next request away: a share of
// them while it is its turn.
func (w *world) greyInTurn(index int, trouble bool) func() bool {
	return func() bool {
		if !trouble || w.greyFrom.IsZero() {
			return false
		}
		turn := int(time.Since(w.greyFrom) / greyFor)
		return turn < greyTurns && turn%serverCount == index && rand.Float64() < greyShare
	}
}
