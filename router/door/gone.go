package door

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// connKey is where a request's context holds its connection.
type connKey struct{}

// WithConn keeps a connection for Gone, as http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Gone reports that the caller of a request has closed its connection. The server notices that by itself, but late where
// the processor is short; this asks the system.
func Gone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	gone, _ := peek(c)
	return gone
}

// peek asks the system whether the other end has closed a connection, and whether bytes of it have come that nobody read.
func peek(c net.Conn) (gone, unread bool) {
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
