package door

import (
	"context"
	"net"

	"mangolug.org/router/sock"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn stores a connection in a context for CallerGone; use it as http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerGone reports whether the caller of a request has closed its connection. The server also detects this, but late
// when the process is short of CPU time; CallerGone asks the operating system.
func CallerGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	gone, _ := sock.Peek(c)
	return gone
}
