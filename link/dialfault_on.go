//go:build dialfaults

package link

import (
	"context"
	"os"
	"strings"
	"syscall"
)

// DialFaultsVariable is the environment variable that names a file with faults of
// dials, one a line: "refuse ADDRESS" or "silent ADDRESS". Only programs built for
// fault injection read it.
const DialFaultsVariable = "PAPAYASAIL_DIAL_FAULTS"

// dialFault returns the error of a dial that a fault is injected into, or nil.
func dialFault(ctx context.Context, address string) error {
	data, err := os.ReadFile(os.Getenv(DialFaultsVariable))
	if err != nil {
		return nil // no faults yet
	}
	for line := range strings.Lines(string(data)) {
		switch kind, faulty, _ := strings.Cut(strings.TrimSpace(line), " "); {
		case faulty != address:
		case kind == "refuse":
			return syscall.ECONNREFUSED
		case kind == "silent":
			<-ctx.Done()
			return ctx.Err()
		}
	}
	return nil
}
