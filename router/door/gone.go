package door

import (
	"context"
	"net"

	"mangolug.org/router/sock"
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
	gone, _ := sock.Peek(c)
	return gone
}
