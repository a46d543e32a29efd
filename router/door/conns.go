package door

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"mangolug.org/router/sock"
)

// ConnTracker tracks callers' connections and how long each has been idle.
type ConnTracker struct {
	mutex sync.Mutex             // guards conns; the server calls from each connection's goroutine
	conns map[net.Conn]time.Time // open connections; the zero time while a request is served
}

// TrackState records the state of a connection; use it as http.Server.ConnState.
func (i *ConnTracker) TrackState(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.conns == nil {
		i.conns = map[net.Conn]time.Time{}
	}
	switch state {
	case http.StateNew, http.StateIdle:
		i.conns[c] = time.Now()
	case http.StateActive:
		i.conns[c] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, c)
	}
}

// idleFor reports whether all connections have been idle for the given time. Connections idle that long can be closed
// without cutting off a request that is just being sent.
func (i *ConnTracker) idleFor(length time.Duration) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, since := range i.conns {
		if since.IsZero() || time.Since(since) < length {
			return false
		}
	}
	return true
}

// CloseIdle closes the connections that have been idle for the given time, except those with an unread request:
// a process short of CPU time reads requests late.
func (i *ConnTracker) CloseIdle(length time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.conns {
		if !since.IsZero() && time.Since(since) >= length {
			i.close(c)
		}
	}
}

// CloseLongestIdle closes up to n connections, those idle longest first. Connections with an unread request among the n stay open.
func (i *ConnTracker) CloseLongestIdle(n int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	idle := make([]net.Conn, 0, len(i.conns))
	for c, since := range i.conns {
		if !since.IsZero() {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return i.conns[a].Compare(i.conns[b]) })
	for _, c := range idle[:min(n, len(idle))] {
		i.close(c)
	}
}

// close closes an idle connection unless it has an unread request. The caller must hold the mutex.
func (i *ConnTracker) close(c net.Conn) {
	if _, unread := sock.Peek(c); unread {
		return
	}
	_ = c.Close()      // the peer, if there still is one, sees the close
	delete(i.conns, c) // the server reports StateClosed later
}

// Count returns the number of open connections.
func (i *ConnTracker) Count() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.conns)
}
