package sched

import (
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/limit"
	"mangolug.org/core/rule"
)

// foreignPeriod is how long load that no grant explains is believed at least, unless a report shows it to be gone.
const foreignPeriod = 5 * time.Second

// server is one backend server and what runs on it.
type server struct {
	rule        rule.Server
	limiter     limit.Limiter
	present     bool // in the configuration
	dropped     bool // neither configured nor in use
	stopped     fleet.Reason
	settled     bool // the whole part may be used
	allowed     int  // until settled, what may be used
	grewAt      time.Duration
	weighed     bool // a report since then was weighed
	sample      sample
	outstanding int // grants in the hands of live routers
	orphans     int // grants of routers that were lost
	orphanedAt  time.Duration
	covered     bool // other schedulers' parts hold the orphans
	within      int  // reports in a row that show it
	lost        int  // orphans, those included that reports freed and that may yet be heard of
	foreign     int  // load that no grant explains, until reports show less
	excess      int  // what the last report showed of it at least
	excesses    peak // the same of late
	spare       [orphanReports]int
	spares      int // reports since the last orphan
	recent      peak
	progress    time.Duration // last sign that requests move on

	told          fleet.ServerLimit // what the keepers of limits were told
	toldAs        uint64            // version of the limits in which that changed
	inheritedTerm uint64            // of the limits that another scheduler left
	inherited     uint64            // their version

	touched  bool
	room     int     // requests that it still takes
	fraction float64 // of its usable limit that is in use
	held     fleet.Reason
	heldTill time.Duration
	lastCut  limit.Cut // latest lowering of the limit that Lowered gave
}

// peak keeps the highest count over the last one to two periods.
type peak struct {
	began           time.Duration
	before, current int
}

func (p *peak) note(now, period time.Duration, count int) {
	switch {
	case now >= p.began+2*period:
		p.began, p.before, p.current = now, count, count
	case now >= p.began+period:
		p.began, p.before, p.current = now, p.current, count
	}
	p.current = max(p.current, count)
}

func (p *peak) highest() int { return max(p.before, p.current) }

func (s *Scheduler) configure(now time.Duration, v *server, r rule.Server, out, leaving map[string]bool) {
	if v.rule.Name == "" || v.rule.Address != r.Address {
		v.progress, v.limiter = now, limit.Limiter{}
		v.grewAt, v.weighed, v.settled = now, false, s.lent >= s.fleet
	}
	v.rule, v.present = r, true
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

// touch marks a server whose room is to be worked out again.
func (s *Scheduler) touch(v *server) {
	if !v.touched && !v.dropped {
		v.touched = true
		s.dirty = append(s.dirty, v)
	}
}

// use counts a change of the grants outstanding on a server.
func (s *Scheduler) use(now time.Duration, v *server, change int) {
	v.recent.note(now, s.Settings.ReportLag, v.outstanding)
	if v.outstanding == 0 {
		v.progress = now
	}
	v.outstanding += change
	v.recent.note(now, s.Settings.ReportLag, v.outstanding)
	s.touch(v)
}

// Load takes in a server's own report.
func (s *Scheduler) Load(now time.Duration, l fleet.Load) {
	s.prepare()
	v := s.servers[l.Server]
	if v == nil {
		return
	}
	v.limiter.Load(now, l)
	measured := now - time.Duration(l.Age)*time.Millisecond
	s.keep(v, measured, l.Running+l.Waiting)
	v.recent.note(now, s.Settings.ReportLag, v.outstanding)
	v.excess = max(0, l.Running+l.Waiting-v.recent.highest())
	if measured >= v.grewAt+s.Settings.ReportLag { // else some of it may be what routers were about to tell
		v.excesses.note(now, foreignPeriod, v.excess)
	}
	v.seeForeign(v.excess)
	before := v.orphans
	v.freeOrphans(now, l)
	if v.orphans < before {
		s.forgetLost()
	}
	s.touch(v)
}

// seeForeign counts load that no grant explains; it is believed for a while, as later reports may miss requests on their way.
func (v *server) seeForeign(least int) {
	v.foreign = max(least, min(v.foreign, v.excesses.highest()))
}

// LoadFailed notes that a server's report could not be read; without reports, load that no
// grant explains is given up step by step, and orphans after the stall limit.
func (s *Scheduler) LoadFailed(now time.Duration, name string) {
	s.prepare()
	v := s.servers[name]
	if v == nil {
		return
	}
	v.limiter.LoadFailed()
	v.foreign = max(0, v.foreign-1)
	if v.orphans > 0 && now >= v.orphanedAt+s.Settings.StallLimit {
		v.orphans = 0
		s.forgetLost()
	}
	s.touch(v)
}

// reviewServers looks at what changes without an event.
func (s *Scheduler) reviewServers(now time.Duration) {
	if now >= s.review {
		s.review = now + reviewPeriod
		for _, v := range s.listed {
			if v.outstanding > 0 && now >= v.progress+s.Settings.StallLimit {
				v.limiter.Stall(now)
				v.progress = now
			}
			s.settleServer(now, v)
			s.touch(v)
		}
	}
	for _, v := range s.dirty {
		v.touched = false
		s.noteCut(v)
		if !v.dropped {
			s.workOut(now, v)
		}
	}
	s.dirty = s.dirty[:0]
}

// workOut works out how many more requests a server takes now.
func (s *Scheduler) workOut(now time.Duration, v *server) {
	s.room -= v.room
	v.room, v.fraction = 0, 1
	v.held, v.heldTill = s.whyHeld(now, v)
	if v.heldTill > now {
		s.review = min(s.review, v.heldTill)
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
	v.room = free
	v.fraction = float64(v.outstanding+v.orphans) / float64(usable)
	s.room += v.room
}

// usable gives how many grants may be outstanding on a server, orphans included.
func (s *Scheduler) usable(v *server) int {
	beside := max(0, v.foreign-v.orphans)
	return min(s.allowed(v)+s.outside(v), v.limiter.Limit()-beside)
}

func (s *Scheduler) whyHeld(now time.Duration, v *server) (fleet.Reason, time.Duration) {
	if !v.present {
		return fleet.ReasonNoServer, 0
	}
	if v.stopped != fleet.ReasonNone {
		return v.stopped, 0
	}
	if !v.settled && s.allowed(v) == 0 && s.part(v.limiter.Bound()) > 0 {
		return fleet.ReasonNotReady, v.grewAt + s.Settings.Settle
	}
	if until := v.grewAt + s.Settings.FirstReport; !v.limiter.Heard() && now < until {
		return fleet.ReasonNotReady, until // it may be full of what routers sent before they all restarted
	}
	return v.limiter.Held(now)
}
