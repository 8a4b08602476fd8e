package link

import (
	"net"
	"time"
)

// openTimeout is the timeout of a dial; round trips take less than 10 ms.
//
// Failure: the SYN packet is lost because the remote end is just starting. The
// kernel retransmits it after a second, so that a host that starts with the
// others after a power failure has no configuration for that long.
const openTimeout = 300 * time.Millisecond

// NewTCP returns a TCP network whose connections break when the remote end has
// been silent for the given time, with or without unacknowledged data.
func NewTCP(silence time.Duration) TCP {
	const probes = 3
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: silence / probes, Interval: max(time.Second, silence/probes), Count: probes - 1}
	return TCP{
		Dialer: net.Dialer{Timeout: openTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout(silence)},
		Config: net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout(silence)},
	}
}
