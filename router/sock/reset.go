package sock

import (
	"net"
	"syscall"
)

// Reset closes a connection so that its peer gets an error instead of an end of the data, and drops unsent data. A connection
// that is no socket is closed as usual.
func Reset(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return c.Close()
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		failure := error(nil)
		err = raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
		if err == nil {
			err = failure
		}
	}
	if err != nil {
		_ = c.Close() // the connection is already broken
		return err
	}
	return c.Close()
}
