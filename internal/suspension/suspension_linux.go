// Package suspension tells how long the machine has been suspended. The monotonic clock, on
// which ages are based, stands still in that time.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it booted, or zero if its
// clocks cannot be read.
func Total() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
