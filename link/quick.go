package link

import (
	"net"
	"time"
)

// Quick returns the Network of the operating system with connections that
// break after silence from the other end, whether data waits for an
// acknowledgement or not.
func Quick(silence time.Duration) TCP {
	const probes = 3
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: silence / probes, Interval: max(time.Second, silence/probes), Count: probes - 1}
	return TCP{
		Dialer: net.Dialer{KeepAliveConfig: keepAlive, Control: boundSilence(silence)},
		Config: net.ListenConfig{KeepAliveConfig: keepAlive, Control: boundSilence(silence)},
	}
}
