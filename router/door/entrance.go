package door

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainLimit is the longest that a stop waits for connections to become idle, drainIdleTime is how long they must
	// have been idle, and drainCheckInterval is the time between two checks.
	drainLimit         = 3 * time.Second
	drainIdleTime      = 500 * time.Millisecond
	drainCheckInterval = 50 * time.Millisecond
)

// Entrance combines the listener for callers with its connections.
type Entrance struct {
	Door  *Listener
	Conns ConnTracker
}

// Close accepts the connections in the accept queue, waits for connections to become idle and shuts the server down gracefully.
// The server drops any request that it reads after its shutdown has begun, even on a connection accepted before,
// so no request may be on its way at that point.
func (e *Entrance) Close(ctx context.Context, server *http.Server) error {
	e.Door.beginClose()
	select {
	case <-e.Door.closed:
		e.drain(ctx)
		e.Conns.CloseIdle(drainIdleTime) // the server waits for connections without a whole request for 5 s, and for a head in progress without a limit
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}

// drain waits, up to drainLimit, until no connection has been used for drainIdleTime. Answers sent since the stop began
// asked callers to connect elsewhere, but an answer that began earlier may be followed by another request on its connection.
func (e *Entrance) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for !e.Conns.idleFor(drainIdleTime) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
