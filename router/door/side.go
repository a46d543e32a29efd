package door

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// SideConns is the default limit of connections to a port for probes, scrapers or operators: a few of them connect there.
	SideConns = 64
	// sideHeadBytes is the largest head in bytes at these ports.
	sideHeadBytes = 4 << 10
	// sideReadTimeout bounds the head of a request there, and sideWriteTimeout how long a client may take to accept 16 KB of an answer.
	sideReadTimeout, sideWriteTimeout = 5 * time.Second, 5 * time.Second
	// sideIdleTimeout bounds the time between two requests; scrapers come once a minute or more often.
	sideIdleTimeout = 2 * time.Minute
)

// Side is a port for probes, scrapers or operators, whose requests have no bodies.
type Side struct {
	Limit  int // of connections
	OnFull func()
	Heads  Heads
	Server *http.Server

	entrance Entrance
}

// NewSide returns a Side that serves connections of a listener.
func NewSide(l *net.TCPListener, handler http.Handler) *Side {
	s := &Side{Limit: SideConns, Heads: Heads{WriteTimeout: sideWriteTimeout}}
	s.entrance.Door = New(l)
	s.entrance.Door.AtCapacity, s.entrance.Door.Heads = s.refuseConn, &s.Heads
	s.Server = &http.Server{
		Handler: s.limit(handler), ReadHeaderTimeout: sideReadTimeout, IdleTimeout: sideIdleTimeout, MaxHeaderBytes: sideHeadBytes,
		ConnState: s.entrance.Conns.TrackState,
	}
	return s
}

// Serve serves until the context ends.
func (s *Side) Serve(ctx context.Context) error { return Serve(ctx, s.Server, s.entrance.Door) }

// refuseConn reports whether a new connection exceeds the limit; it closes the one that has been idle longest to make room first.
func (s *Side) refuseConn() bool {
	if s.entrance.Conns.Count() < s.Limit {
		return false
	}
	if s.OnFull != nil {
		s.OnFull()
	}
	s.entrance.Conns.CloseLongestIdle(1)
	return s.entrance.Conns.Count() >= s.Limit
}

// limit returns a handler that asks clients to close their connection while more than half of the connections are in use, and reads no bodies:
// a client that sends many requests at once, or a part of a body, would hold its connection until a timeout.
func (s *Side) limit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := r.ContentLength != 0
		if body || s.entrance.Conns.Count() > s.Limit/2 {
			w.Header().Set("Connection", "close")
		}
		if body {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only if the connection is gone
		}
		handler.ServeHTTP(w, r)
	})
}
