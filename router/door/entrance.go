package door

import (
	"context"
	"net/http"
	"time"
)

const (
	// lingerLimit bounds how long a stop waits for connections to fall idle; idleLong is how long they must have been idle,
	// and lingerCheck is the time between two looks.
	lingerLimit = 3 * time.Second
	idleLong    = 500 * time.Millisecond
	lingerCheck = 50 * time.Millisecond
)

// Entrance is where callers' connections come in.
type Entrance struct {
	Door  *Door
	Conns IdleConns
}

// Close accepts what waits, lets connections fall idle, and lets the server finish its requests. The server drops any
// request that it reads once its shutdown has begun, also on a connection that it accepted before; so nothing may be on its way then.
func (e *Entrance) Close(ctx context.Context, server *http.Server) error {
	e.Door.shut()
	select {
	case <-e.Door.closed:
		e.linger(ctx)
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}

// linger waits, up to lingerLimit, until no caller has used its connection for idleLong. Answers since the stop began told
// callers to connect elsewhere, but one that began before may be followed by a request on the same connection.
func (e *Entrance) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerLimit)
	defer cancel()
	ticker := time.NewTicker(lingerCheck)
	defer ticker.Stop()
	for !e.Conns.quiet(idleLong) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
