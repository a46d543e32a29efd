package sched

import (
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/limit"
	"mangolug.org/core/rule"
)

// foreignHold is the minimum time for which load that no grant explains is assumed to last, unless a report
// shows it to be gone.
const foreignHold = 5 * time.Second

// server is a backend server and the load on it.
type server struct {
	rule              rule.Server
	limiter           limit.Limiter
	configured        bool // part of the configuration
	dropped           bool // neither configured nor in use
	stopped           fleet.Reason
	quotaConfirmed    bool // the whole quota may be used
	confirmedQuota    int  // how much may be used until quotaConfirmed
	quotaGrewAt       time.Duration
	quotaSampled      bool // a load report since then was evaluated
	sample            sample
	outstanding       int // grants held by live routers
	orphans           int // grants of lost routers
	orphanedAt        time.Duration
	orphansCovered    bool // the orphans run within the quotas of other schedulers
	coveredReports    int  // consecutive reports that show it
	orphanGrants      int  // orphans by ID, including freed ones that may still be reported
	foreign           int  // estimated load that no grant explains
	excess            int  // lower bound of it from the last report
	excessPeak        peak // highest recent excess
	orphanExcess      [orphanReports]int
	orphanReportCount int // reports since the latest orphan
	outstandingPeak   peak
	progressAt        time.Duration // last sign of progress of a request

	published        fleet.ServerLimit // limit last sent to the routers that keep a copy
	publishedVersion uint64            // version of the limits in which it changed
	inheritedTerm    uint64            // term of the limits inherited from an earlier scheduler
	inheritedVersion uint64            // version of those limits

	dirty     bool
	freeSlots int     // number of further requests that it can take
	fraction  float64 // used part of its usable limit
	held      fleet.Reason
	heldUntil time.Duration
	lastCut   limit.Cut // latest lowering that noteLowering recorded
}

// peak tracks the highest count over the last one to two periods.
type peak struct {
	start             time.Duration
	previous, current int
}

func (p *peak) observe(now, period time.Duration, count int) {
	switch {
	case now >= p.start+2*period:
		p.start, p.previous, p.current = now, count, count
	case now >= p.start+period:
		p.start, p.previous, p.current = now, p.current, count
	}
	p.current = max(p.current, count)
}

func (p *peak) highest() int { return max(p.previous, p.current) }

func (s *Scheduler) configure(now time.Duration, v *server, r rule.Server, out, leaving map[string]bool) {
	if v.rule.Name == "" || v.rule.Address != r.Address {
		v.progressAt, v.limiter = now, limit.Limiter{}
		v.quotaGrewAt, v.quotaSampled, v.quotaConfirmed = now, false, s.activeLenders >= s.routerCount
	}
	v.rule, v.configured = r, true
	v.limiter.Ceiling = r.Limit
	stopped := fleet.ReasonNone
	switch {
	case out[r.DataCentre]:
		stopped = fleet.ReasonDataCentreOut
	case leaving[r.Name]:
		stopped = fleet.ReasonServerLeaving
	}
	switch {
	case v.stopped == fleet.ReasonNone && stopped != fleet.ReasonNone:
		v.limiter.Pause(now)
	case v.stopped != fleet.ReasonNone && stopped == fleet.ReasonNone:
		v.limiter.Resume(now, v.outstanding+v.orphans)
	}
	v.stopped = stopped
}

func (s *Scheduler) server(name string) *server {
	v := s.servers[name]
	if v == nil {
		v = &server{}
		s.servers[name] = v
	}
	return v
}

// markDirty marks a server whose free slots must be recomputed.
func (s *Scheduler) markDirty(v *server) {
	if !v.dirty && !v.dropped {
		v.dirty = true
		s.dirty = append(s.dirty, v)
	}
}

// addOutstanding changes the number of grants outstanding on a server.
func (s *Scheduler) addOutstanding(now time.Duration, v *server, change int) {
	v.outstandingPeak.observe(now, s.Settings.ReportLag, v.outstanding)
	if v.outstanding == 0 {
		v.progressAt = now
	}
	v.outstanding += change
	v.outstandingPeak.observe(now, s.Settings.ReportLag, v.outstanding)
	s.markDirty(v)
}

// ObserveLoad processes a load report from a server.
func (s *Scheduler) ObserveLoad(now time.Duration, l fleet.Load) {
	s.prepare()
	v := s.servers[l.Server]
	if v == nil {
		return
	}
	v.limiter.ObserveLoad(now, l)
	measured := now - time.Duration(l.Age)*time.Millisecond
	s.keepSample(v, measured, l.Running+l.Waiting)
	v.outstandingPeak.observe(now, s.Settings.ReportLag, v.outstanding)
	v.excess = max(0, l.Running+l.Waiting-v.outstandingPeak.highest())
	if measured >= v.quotaGrewAt+s.Settings.ReportLag { // earlier, the excess may be load that routers have not reported yet
		v.excessPeak.observe(now, foreignHold, v.excess)
	}
	v.updateForeign(v.excess)
	before := v.orphans
	v.freeOrphans(now, l)
	if v.orphans < before {
		s.pruneOrphanGrants()
	}
	s.markDirty(v)
}

// updateForeign updates the estimate of load that no grant explains. The estimate falls only after a while,
// as later reports may miss requests on their way to the server.
func (v *server) updateForeign(least int) {
	v.foreign = max(least, min(v.foreign, v.excessPeak.highest()))
}

// LoadFailed records that a server's load report could not be read. Without reports, the estimate of load that
// no grant explains falls by one each time, and orphans are freed after Settings.StallLimit.
func (s *Scheduler) LoadFailed(now time.Duration, name string) {
	s.prepare()
	v := s.servers[name]
	if v == nil {
		return
	}
	v.limiter.LoadUnavailable()
	v.foreign = max(0, v.foreign-1)
	if v.orphans > 0 && now >= v.orphanedAt+s.Settings.StallLimit {
		v.orphans = 0
		s.pruneOrphanGrants()
	}
	s.markDirty(v)
}

// reviewServers checks periodically for changes that come without an event, and recomputes dirty servers.
func (s *Scheduler) reviewServers(now time.Duration) {
	if now >= s.reviewAt {
		s.reviewAt = now + reviewPeriod
		for _, v := range s.configured {
			if v.outstanding > 0 && now >= v.progressAt+s.Settings.StallLimit {
				v.limiter.Stall(now)
				v.progressAt = now
			}
			s.confirmQuota(now, v)
			s.markDirty(v)
		}
	}
	for _, v := range s.dirty {
		v.dirty = false
		s.noteLowering(v)
		if !v.dropped {
			s.updateFreeSlots(now, v)
		}
	}
	s.dirty = s.dirty[:0]
}

// updateFreeSlots recomputes how many more requests a server can take now.
func (s *Scheduler) updateFreeSlots(now time.Duration, v *server) {
	s.freeSlots -= v.freeSlots
	v.freeSlots, v.fraction = 0, 1
	v.held, v.heldUntil = s.heldReason(now, v)
	if v.heldUntil > now {
		s.reviewAt = min(s.reviewAt, v.heldUntil)
	}
	if v.held != fleet.ReasonNone {
		return
	}
	usable := s.usable(v)
	free := usable - v.outstanding - v.orphans
	if v.limiter.Probing() {
		free = min(free, 1)
	}
	if free <= 0 {
		return
	}
	v.freeSlots = free
	v.fraction = float64(v.outstanding+v.orphans) / float64(usable)
	s.freeSlots += v.freeSlots
}

// usable returns how many grants may be outstanding on a server, including orphans.
func (s *Scheduler) usable(v *server) int {
	unexplained := max(0, v.foreign-v.orphans)
	return min(s.usableQuota(v)+s.orphansOutsideQuota(v), v.limiter.Limit()-unexplained)
}

// heldReason returns why a server takes no requests now, or ReasonNone, and until when if that is known.
func (s *Scheduler) heldReason(now time.Duration, v *server) (fleet.Reason, time.Duration) {
	if !v.configured {
		return fleet.ReasonNoServer, 0
	}
	if v.stopped != fleet.ReasonNone {
		return v.stopped, 0
	}
	if !v.quotaConfirmed && s.usableQuota(v) == 0 && s.quota(v.limiter.Bound()) > 0 {
		return fleet.ReasonNotReady, v.quotaGrewAt + s.Settings.Settle
	}
	if until := v.quotaGrewAt + s.Settings.FirstReport; !v.limiter.Reported() && now < until {
		return fleet.ReasonNotReady, until // it may still run requests that routers sent before they all restarted
	}
	return v.limiter.Ejected(now)
}
