package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// hangUpGrace is how long a server may take to notice that a caller went away; until then it may still run the request.
const hangUpGrace = 150 * time.Millisecond

// hangUp is a grant that ended for its router before it ended for its server.
type hangUp struct {
	grant *grant
	until time.Duration
}

// hangUp keeps a cancelled grant's slot for a while.
func (s *Scheduler) hangUp(now time.Duration, g *grant, cost int64) {
	s.charge(g, cost)
	g.ended = true
	s.hungUp = append(s.hungUp, hangUp{grant: g, until: now + hangUpGrace})
}

// endHangUps frees the slots of cancelled grants that their servers have noticed by now.
func (s *Scheduler) endHangUps(now time.Duration) {
	n := 0
	for n < len(s.hungUp) && s.hungUp[n].until <= now {
		if g := s.hungUp[n].grant; s.grants[g.id] == g {
			s.release(now, g, g.charged)
		}
		n++
	}
	s.hungUp = s.hungUp[n:]
}

// mayRunOn says whether a server may still run a request that ended thus for its router.
func mayRunOn(o fleet.Outcome) bool { return o == fleet.OutcomeCancelled }
