package link

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel breaks a connection
// whose remote end has not acknowledged data for the given time.
//
// Failure: a machine has lost power or is partitioned. Without the option a
// connection to it hangs for a quarter of an hour, with everything that waits
// for it.
func setUserTimeout(silence time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var option error
		err := conn.Control(func(fd uintptr) {
			option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return option
	}
}
