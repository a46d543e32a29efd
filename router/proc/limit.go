package proc

import (
	"sync"
	"time"

	"mangolug.org/core/valve"
	"mangolug.org/router/relay"
)

// limit bounds the requests that are served at once, for all goroutines; its zero value has no bound.
type limit struct {
	mutex   sync.Mutex // guards all below
	valve   valve.Valve
	refused bool // a request was one too many since the last look
}

// full reports whether a request is one too many beside a load.
func (l *limit) full(load relay.Load) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	full := l.valve.Full(load.Open, load.Mine, load.Teams)
	l.refused = l.refused || full
	return full
}

// note takes in how late a goroutine got the processor, how long ago that was measured before, and how many requests are open.
func (l *limit) note(late, since time.Duration, open int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.valve.Note(late, since, open)
}

// look reports whether a request was one too many since it was last called.
func (l *limit) look() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	refused := l.refused
	l.refused = false
	return refused
}

// bound gives how many requests the processor allows to be open, 0 for no bound.
func (l *limit) bound() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.valve.Bound()
}
