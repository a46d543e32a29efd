package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// orphanReports is the number of load reports that must agree before orphans are freed.
const orphanReports = 3

// handover is the time after a router's loss by which it has left this scheduler, uses no grant of it any more, and has told
// another scheduler what it runs.
const handover = fleet.GrantLifetime + fleet.ClockDrift + transit

// freeOrphans drops orphans that several reports in a row, measured since, leave no room for.
func (v *server) freeOrphans(now time.Duration, l fleet.Load) {
	measured := now - time.Duration(l.Age)*time.Millisecond
	if v.orphans == 0 || measured <= v.orphanedAt {
		return
	}
	v.spare[v.spares%orphanReports] = v.excess
	v.spares++
	if v.spares < orphanReports {
		return
	}
	most := 0
	for _, n := range v.spare {
		most = max(most, n)
	}
	v.orphans = min(v.orphans, most)
}

// covering says whether a report measured then may show that other schedulers' parts hold the orphans.
func (v *server) covering(measured time.Duration) bool {
	return v.orphans > 0 && !v.covered && measured >= v.orphanedAt+handover
}

// cover counts reports in a row by which others run no more than the parts that are not this scheduler's.
func (s *Scheduler) cover(v *server, others int) {
	if others > v.limiter.Bound()-s.part(v.limiter.Bound()) {
		v.within = 0
		return
	}
	v.within++
	v.covered = v.within >= orphanReports
}

// outside counts the orphans that the other schedulers' parts hold.
func (s *Scheduler) outside(v *server) int {
	if !v.covered {
		return 0
	}
	return min(v.orphans, v.limiter.Bound()-s.part(v.limiter.Bound()))
}

// orphan turns a grant into load that only its server's reports, or news of it, can free.
func (s *Scheduler) orphan(now time.Duration, g *grant) {
	v := g.server
	v.limiter.Lost()
	s.release(now, g, g.charged)
	v.orphans++
	v.lost++
	v.orphanedAt, v.spares = now, 0
	v.covered, v.within = false, 0
	s.lost[g.id] = v
}

// found takes a grant back from the orphans.
func (s *Scheduler) found(id uint64) {
	v := s.lost[id]
	if v == nil {
		return
	}
	delete(s.lost, id)
	v.lost--
	v.orphans = min(v.orphans, v.lost)
	s.touch(v)
}

// forgetLost drops the IDs of orphans that were freed.
func (s *Scheduler) forgetLost() {
	for id, v := range s.lost {
		if v.orphans == 0 {
			delete(s.lost, id)
			v.lost = 0
		}
	}
}

// orphanDoubtful leaves it to the servers' reports whether grants that may have been lost still run.
func (s *Scheduler) orphanDoubtful(now time.Duration, r *router) {
	n := 0
	for n < len(r.doubtful) && r.lapsed(now, r.doubtful[n]) {
		g := r.doubtful[n]
		n++
		if g.doubtful && s.grants[g.id] == g {
			s.orphan(now, g)
		}
	}
	r.doubtful = r.doubtful[n:]
}
