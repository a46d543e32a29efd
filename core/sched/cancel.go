package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// cancelGrace is the time that a server may need to notice that a caller disconnected. Until then it may still
// run the request.
const cancelGrace = 150 * time.Millisecond

// cancelledGrant is a grant that has ended for its router while its server may still run the request.
type cancelledGrant struct {
	grant *grant
	until time.Duration
}

// cancel charges a cancelled grant and keeps its slot for cancelGrace.
func (s *Scheduler) cancel(now time.Duration, g *grant, cost int64) {
	s.charge(g, cost)
	g.ended = true
	s.cancelled = append(s.cancelled, cancelledGrant{grant: g, until: now + cancelGrace})
}

// releaseCancelled frees the slots of cancelled grants whose cancelGrace is over.
func (s *Scheduler) releaseCancelled(now time.Duration) {
	n := 0
	for n < len(s.cancelled) && s.cancelled[n].until <= now {
		if g := s.cancelled[n].grant; s.grants[g.id] == g {
			s.release(now, g, g.charged)
		}
		n++
	}
	s.cancelled = s.cancelled[n:]
}

// mayStillRun reports whether a server may still run a request that ended with this outcome for its router.
func mayStillRun(o fleet.Outcome) bool { return o == fleet.OutcomeCancelled }
