package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// orphanReports is the number of consecutive load reports that must agree before orphans are freed.
const orphanReports = 3

// handoverTime is the time after the loss of a router by which the router has left this scheduler, no longer
// uses its grants, and has reported to another scheduler what it runs.
const handoverTime = fleet.GrantLifetime + fleet.ClockDrift + transitTime

// freeOrphans lowers the number of orphans to the largest unexplained load in the last orphanReports load
// reports, all of them measured after the latest orphan was counted.
func (v *server) freeOrphans(now time.Duration, l fleet.Load) {
	measured := now - time.Duration(l.Age)*time.Millisecond
	if v.orphans == 0 || measured <= v.orphanedAt {
		return
	}
	v.orphanExcess[v.orphanReportCount%orphanReports] = v.excess
	v.orphanReportCount++
	if v.orphanReportCount < orphanReports {
		return
	}
	highest := 0
	for _, n := range v.orphanExcess {
		highest = max(highest, n)
	}
	v.orphans = min(v.orphans, highest)
}

// showsOtherQuotas reports whether a load report measured at the given time can show that the orphans run
// within the quotas of other schedulers.
func (v *server) showsOtherQuotas(measured time.Duration) bool {
	return v.orphans > 0 && !v.orphansCovered && measured >= v.orphanedAt+handoverTime
}

// checkOrphansCovered counts consecutive reports in which the load of others fits within the other
// schedulers' quotas, and marks the orphans as covered after orphanReports of them.
func (s *Scheduler) checkOrphansCovered(v *server, others int) {
	if others > v.limiter.Bound()-s.quota(v.limiter.Bound()) {
		v.coveredReports = 0
		return
	}
	v.coveredReports++
	v.orphansCovered = v.coveredReports >= orphanReports
}

// orphansOutsideQuota returns the number of orphans that run within the quotas of other schedulers.
func (s *Scheduler) orphansOutsideQuota(v *server) int {
	if !v.orphansCovered {
		return 0
	}
	return min(v.orphans, v.limiter.Bound()-s.quota(v.limiter.Bound()))
}

// orphan turns a grant into an orphan: load that counts against the server until its load reports show it
// to be gone or a router reports the grant.
func (s *Scheduler) orphan(now time.Duration, g *grant) {
	v := g.server
	v.limiter.ObserveLost()
	s.release(now, g, g.charged)
	v.orphans++
	v.orphanGrants++
	v.orphanedAt, v.orphanReportCount = now, 0
	v.orphansCovered, v.coveredReports = false, 0
	s.orphanGrants[g.id] = v
}

// recoverOrphan removes a grant that was reported again from the orphans.
func (s *Scheduler) recoverOrphan(id uint64) {
	v := s.orphanGrants[id]
	if v == nil {
		return
	}
	delete(s.orphanGrants, id)
	v.orphanGrants--
	v.orphans = min(v.orphans, v.orphanGrants)
	s.markDirty(v)
}

// pruneOrphanGrants drops the grant IDs of orphans that were freed.
func (s *Scheduler) pruneOrphanGrants() {
	for id, v := range s.orphanGrants {
		if v.orphans == 0 {
			delete(s.orphanGrants, id)
			v.orphanGrants = 0
		}
	}
}

// orphanInDoubt turns expired grants that are in doubt into orphans, so that load reports decide whether
// they still run.
func (s *Scheduler) orphanInDoubt(now time.Duration, r *router) {
	n := 0
	for n < len(r.inDoubt) && r.expired(now, r.inDoubt[n]) {
		g := r.inDoubt[n]
		n++
		if g.inDoubt && s.grants[g.id] == g {
			s.orphan(now, g)
		}
	}
	r.inDoubt = r.inDoubt[n:]
}
