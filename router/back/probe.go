package back

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not name.
const tcpUserTimeout = 0x12

// SetDeadPeerTimeout sets keep-alive and TCP_USER_TIMEOUT on a dialer, so that its connections fail when the other end
// acknowledges nothing for the given time.
func SetDeadPeerTimeout(d *net.Dialer, silence time.Duration) {
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: silence / 2, Interval: silence / 2, Count: 1}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
