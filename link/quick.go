package link

import (
	"net"
	"time"
)

// openTimeout bounds opening a connection; round trips are below 10 ms.
//
// Failure: the opening packet is lost, as the other end is just starting. The
// kernel sends it again after a second, and a host that starts with the others
// after a loss of power was without configuration for that long.
const openTimeout = 300 * time.Millisecond

// Quick returns the Network of the operating system with connections that
// break after silence from the other end, whether data waits for an
// acknowledgement or not.
func Quick(silence time.Duration) TCP {
	const probes = 3
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: silence / probes, Interval: max(time.Second, silence/probes), Count: probes - 1}
	return TCP{
		Dialer: net.Dialer{Timeout: openTimeout, KeepAliveConfig: keepAlive, Control: boundSilence(silence)},
		Config: net.ListenConfig{KeepAliveConfig: keepAlive, Control: boundSilence(silence)},
	}
}
