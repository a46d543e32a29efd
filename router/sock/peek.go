package sock

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Peek reports whether the peer has closed a connection, and whether received bytes are still unread. It returns false for both
// if the connection is not a socket.
func Peek(c net.Conn) (gone, unread bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true, false // closed locally
	}
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
		unread = err == nil && n > 0
	})
	return gone || err != nil, unread
}
