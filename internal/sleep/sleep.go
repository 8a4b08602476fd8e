// Package sleep waits for a duration or the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
