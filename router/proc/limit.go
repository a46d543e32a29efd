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
	valve   valve.ConcurrencyLimiter
	refused time.Time // when a request was one too many last
}

// full reports whether a request is one too many beside a load.
func (l *limit) full(load relay.Load) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	full := l.valve.Full(load.Open, load.OfTeam, load.Teams)
	if full {
		l.refused = time.Now()
	}
	return full
}

// note takes in how late a goroutine got the processor, how long ago that was measured before, and how many requests are open.
func (l *limit) note(late, since time.Duration, open int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.valve.Observe(late, since, open)
}

// refusedWithin reports whether a request was one too many within the last time of a length.
func (l *limit) refusedWithin(length time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Since(l.refused) < length
}

// bound gives how many requests the processor allows to be open, 0 for no bound.
func (l *limit) bound() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.valve.Limit()
}
