//go:build !dialfaults

package link

import "context"

// dialFault returns nil: faults are injected only into programs built for that.
func dialFault(context.Context, string) error { return nil }
