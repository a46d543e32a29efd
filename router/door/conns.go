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
	conns map[net.Conn]connState // open connections
}

// connState is the state of an open connection.
type connState struct {
	idleSince time.Time // zero while a request is served
	used      bool      // a request came on it
}

// silentTime is how long a connection may be open without a complete request, or with a head in progress, before it is closed in favour of new connections:
// callers send a request when they connect, and its head comes at once.
const silentTime = time.Second

// silent reports whether a client has connected or begun a request silentTime ago and sent no whole request since. The caller must hold the mutex.
func (i *ConnTracker) silent(c net.Conn) bool {
	state := i.conns[c]
	if !state.used {
		return time.Since(state.idleSince) >= silentTime
	}
	counted, ok := c.(*Conn)
	return ok && counted.headAge() >= silentTime
}

// TrackState records the state of a connection; use it as http.Server.ConnState.
func (i *ConnTracker) TrackState(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.conns == nil {
		i.conns = map[net.Conn]connState{}
	}
	if counted, ok := c.(*Conn); ok {
		counted.track(state)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		i.conns[c] = connState{idleSince: time.Now(), used: state == http.StateIdle}
	case http.StateActive:
		i.conns[c] = connState{used: true}
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, c)
	}
}

// idleFor reports whether all connections have been idle for the given time. Connections idle that long can be closed
// without cutting off a request that is just being sent.
func (i *ConnTracker) idleFor(length time.Duration) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, s := range i.conns {
		if s.idleSince.IsZero() || time.Since(s.idleSince) < length {
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
	for c, s := range i.conns {
		if !s.idleSince.IsZero() && time.Since(s.idleSince) >= length {
			i.close(c)
		}
	}
}

// CloseLongestIdle closes up to n connections, first those that have been open for silentTime without a whole request, then those idle longest.
// Connections with an unread request among the n stay open.
func (i *ConnTracker) CloseLongestIdle(n int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var idle, silent []net.Conn
	for c, s := range i.conns {
		switch {
		case s.idleSince.IsZero():
		case i.silent(c):
			silent = append(silent, c)
		default:
			idle = append(idle, c)
		}
	}
	longest := func(a, b net.Conn) int { return i.conns[a].idleSince.Compare(i.conns[b].idleSince) }
	slices.SortFunc(idle, longest)
	slices.SortFunc(silent, longest)
	idle = append(silent, idle...)
	for _, c := range idle[:min(n, len(idle))] {
		i.close(c)
	}
}

// CloseBlocked closes the connections whose client has not accepted a part of an answer for the given time.
func (i *ConnTracker) CloseBlocked(length time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.conns {
		if counted, ok := c.(*Conn); ok && counted.blockedFor(length) {
			counted.heads.closing(ClosingUnread)
			_ = sock.Reset(c) // the write fails, and what is unsent is dropped
			delete(i.conns, c)
		}
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
