package sched

import "time"

// part gives how much of a limit the lenders' loans allow; over all schedulers the parts never exceed it.
func (s *Scheduler) part(limit int) int {
	missing := s.fleet - s.lent
	switch {
	case s.fleet <= 0 || s.lent <= 0:
		return 0
	case missing <= 0:
		return limit
	case 2*s.lent > s.fleet:
		return limit - limit*missing/s.fleet
	}
	return limit * s.lent / s.fleet
}

// unsettle changes the part of each limit; what it grows by is used once load reports show it to be free.
func (s *Scheduler) unsettle(now time.Duration, lent, listed int) {
	before := make([]int, len(s.listed))
	for i, v := range s.listed {
		before[i] = s.allowed(v)
	}
	s.lent, s.fleet = lent, listed
	for i, v := range s.listed {
		s.touch(v)
		part := s.part(v.limiter.Bound())
		v.allowed = min(before[i], part)
		v.settled = lent >= listed || v.settled && part <= before[i]
		if part > before[i] {
			v.grewAt, v.weighed = now, false
		}
	}
}

// allowed gives what of a server's limit may be used, settled or not.
func (s *Scheduler) allowed(v *server) int {
	part := s.part(v.limiter.Bound())
	if v.settled {
		return part
	}
	return min(part, v.allowed)
}

// sample is a load report kept until what ended before it was measured is known.
type sample struct {
	measured time.Duration
	load     int // requests in service and waiting
	kept     bool
}

// keep holds the report that tells soonest about the time after the part grew, or after grants were lost.
func (s *Scheduler) keep(v *server, measured time.Duration, load int) {
	if v.sample.kept || !v.growing(measured) && !v.covering(measured) && v.foreign == 0 {
		return
	}
	v.sample = sample{measured: measured, load: load, kept: true}
	s.review = min(s.review, measured+transit)
}

// growing says whether a report measured then may tell how much of a larger part is free.
func (v *server) growing(measured time.Duration) bool {
	return !v.settled && measured >= v.grewAt+transit
}

// settleServer learns from a report what others run, once all that ended before it was measured is known.
func (s *Scheduler) settleServer(now time.Duration, v *server) {
	if !v.settled && now >= v.grewAt+s.Settings.Settle {
		v.settled = true
		if v.weighed { // what no report showed to be free is taken to run
			shown := v.limiter.Bound() - v.allowed
			v.excesses.note(now, foreignPeriod, shown)
			v.seeForeign(shown)
		}
	}
	if !v.sample.kept {
		return
	}
	if due := v.sample.measured + transit; now < due {
		s.review = min(s.review, due)
		return
	}
	v.sample.kept = false
	others := max(0, v.sample.load-s.surelyRan(v))
	v.foreign = min(v.foreign, others)
	if v.growing(v.sample.measured) {
		v.weighed = true
		v.allowed = max(v.allowed, v.limiter.Bound()-others)
		v.settled = v.allowed >= s.part(v.limiter.Bound())
	}
	if v.covering(v.sample.measured) {
		s.cover(v, others)
	}
}

// surelyRan counts the grants that a server had begun and not ended when its sample was measured.
func (s *Scheduler) surelyRan(v *server) int {
	n := 0
	for _, g := range s.grants {
		if g.server == v && g.seen && !g.ended && g.seenAt <= v.sample.measured {
			n++
		}
	}
	return n
}
