package limit

import "time"

//go:generate stringer -type=Cause -linecomment -output=cause_string.go

// restartLag is how long a server's report of its restart may lag behind the requests that the restart broke.
const restartLag = 2 * time.Second

// Cause says why a learnt limit was lowered.
type Cause int

// Causes.
const (
	CauseNone       Cause = iota // none
	CauseRestarted               // restarted
	CauseSlow                    // slow
	CauseOverloaded              // overloaded
	CauseFailed                  // failed
	CauseStalled                 // stalled
	CauseQueueing                // queueing
	CauseStated                  // stated
)

// MarshalText gives the cause's name.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a cause's name; an unknown name becomes CauseNone.
func (c *Cause) UnmarshalText(text []byte) error {
	*c = CauseNone
	for k := CauseNone; k <= CauseStated; k++ {
		if k.String() == string(text) {
			*c = k
		}
	}
	return nil
}

// Cut is one lowering of a learnt limit, or several at the same time.
type Cut struct {
	Cause    Cause
	At       time.Duration
	From, To int // concurrent requests
}

// Cut gives the latest lowering of the limit; its cause is CauseNone when there was none.
func (l *Limiter) Cut() Cut { return l.last }

// lowered notes that the limit fell, when it did. A restart is noted even where the requests that it broke had lowered
// the limit before the report came, and then as the cause of their cuts too.
func (l *Limiter) lowered(now time.Duration, cause Cause, from int) {
	if l.Limit() >= from && cause != CauseRestarted {
		return
	}
	recent := l.last.Cause != CauseNone && (l.last.At == now || cause == CauseRestarted && now < l.last.At+restartLag)
	if recent {
		from = max(from, l.last.From)
	}
	l.last = Cut{Cause: cause, At: now, From: from, To: l.Limit()}
}
