package door

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"mangolug.org/router/sock"
)

// IdleConns knows since when callers' connections have been idle.
type IdleConns struct {
	mutex sync.Mutex             // guards conns; the server calls from each connection's goroutine
	conns map[net.Conn]time.Time // open connections; the zero time while a request is served
}

// Note follows a connection's state, as http.Server.ConnState.
func (i *IdleConns) Note(c net.Conn, state http.ConnState) {
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

// quiet says whether no connection was in use within the given time: those that are idle for long can be closed without
// cutting a request that is just being sent on one.
func (i *IdleConns) quiet(length time.Duration) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, since := range i.conns {
		if since.IsZero() || time.Since(since) < length {
			return false
		}
	}
	return true
}

// CloseIdle closes connections that were idle for so long, except those on which a request has come that waits to be read: a
// process that is short of the processor reads it late.
func (i *IdleConns) CloseIdle(length time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.conns {
		if !since.IsZero() && time.Since(since) >= length {
			i.close(c)
		}
	}
}

// CloseSome closes some of the connections that were idle longest, except those on which a request waits.
func (i *IdleConns) CloseSome(n int) {
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

// close closes an idle connection unless a request waits on it; the caller holds the mutex.
func (i *IdleConns) close(c net.Conn) {
	if _, unread := sock.Peek(c); unread {
		return
	}
	_ = c.Close()      // its caller, if any, finds out
	delete(i.conns, c) // the server notes its end later
}

// Open gives how many connections of callers are open.
func (i *IdleConns) Open() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.conns)
}
