package link

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// boundSilence makes the kernel give up a connection whose other end has not
// acknowledged anything for a time.
//
// Failure: a machine without power, or behind a cut, answers nothing. A
// connection to it hangs for a quarter of an hour, and what waits on it too.
func boundSilence(silence time.Duration) func(network, address string, conn syscall.RawConn) error {
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
