package sock

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Peek asks the system whether the other end has closed a connection, and whether bytes of it have come that nobody read; it
// reports neither for a connection that is no socket.
func Peek(c net.Conn) (gone, unread bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true, false // it is closed at this end
	}
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
		unread = err == nil && n > 0
	})
	return gone || err != nil, unread
}
