package limit

import "time"

//go:generate stringer -type=Cause -linecomment -output=cause_string.go

// restartLag is the longest time by which a server's report of its restart may lag behind the requests that the restart broke.
const restartLag = 2 * time.Second

// Cause is the reason for which a learnt limit was lowered.
type Cause int

// Causes of a reduction; the line comments are the names in reports.
const (
	CauseNone       Cause = iota // none
	CauseRestarted               // restarted
	CauseSlow                    // slow
	CauseOverloaded              // overloaded
	CauseFailed                  // failed
	CauseStalled                 // stalled
	CauseQueueing                // queueing
	CauseAdvertised              // stated
)

// MarshalText returns the name of the cause.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the name of a cause. An unknown name becomes CauseNone.
func (c *Cause) UnmarshalText(text []byte) error {
	*c = CauseNone
	for k := CauseNone; k <= CauseAdvertised; k++ {
		if k.String() == string(text) {
			*c = k
		}
	}
	return nil
}

// Cut is a reduction of the learnt limit, or several reductions at the same time merged into one.
type Cut struct {
	Cause    Cause
	At       time.Duration
	From, To int // concurrent requests
}

// LastCut returns the latest reduction of the limit. Its cause is CauseNone if there was none.
func (l *Limiter) LastCut() Cut { return l.lastCut }

// recordCut records a reduction if the limit is lower than from. A restart is always recorded: requests that it broke may
// have lowered the limit before the server reported the restart, and those reductions are then attributed to the restart too.
func (l *Limiter) recordCut(now time.Duration, cause Cause, from int) {
	if l.Limit() >= from && cause != CauseRestarted {
		return
	}
	recent := l.lastCut.Cause != CauseNone && (l.lastCut.At == now || cause == CauseRestarted && now < l.lastCut.At+restartLag)
	if recent {
		from = max(from, l.lastCut.From)
	}
	l.lastCut = Cut{Cause: cause, At: now, From: from, To: l.Limit()}
}
