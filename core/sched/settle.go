package sched

import "time"

// quota returns how much of a server's limit this scheduler may use, given the routers that lend to it.
// The quotas of all schedulers of a cell never add up to more than the limit.
func (s *Scheduler) quota(limit int) int {
	missing := s.routerCount - s.activeLenders
	switch {
	case s.routerCount <= 0 || s.activeLenders <= 0:
		return 0
	case missing <= 0:
		return limit
	case 2*s.activeLenders > s.routerCount:
		return limit - limit*missing/s.routerCount
	}
	return limit * s.activeLenders / s.routerCount
}

// updateQuota recomputes the quota of each server for a new number of lenders and routers. The part by
// which a quota grows is used only once load reports show it to be free.
func (s *Scheduler) updateQuota(now time.Duration, lenders, routers int) {
	previous := make([]int, len(s.configured))
	for i, v := range s.configured {
		previous[i] = s.usableQuota(v)
	}
	s.activeLenders, s.routerCount = lenders, routers
	for i, v := range s.configured {
		s.markDirty(v)
		quota := s.quota(v.limiter.Bound())
		v.confirmedQuota = min(previous[i], quota)
		v.quotaConfirmed = lenders >= routers || v.quotaConfirmed && quota <= previous[i]
		if quota > previous[i] {
			v.quotaGrewAt, v.quotaSampled = now, false
		}
	}
}

// usableQuota returns how much of a server's limit may be used now: the whole quota if it is confirmed,
// otherwise the confirmed part of it.
func (s *Scheduler) usableQuota(v *server) int {
	quota := s.quota(v.limiter.Bound())
	if v.quotaConfirmed {
		return quota
	}
	return min(quota, v.confirmedQuota)
}

// sample is a load report that is held back until all requests that ended before it was measured are known.
type sample struct {
	measured time.Duration
	load     int // requests in service and waiting
	pending  bool
}

// keepSample holds back a load report if none is held and this one can show how much of a grown quota is free,
// whether other schedulers' quotas cover the orphans, or that load without a grant is gone.
func (s *Scheduler) keepSample(v *server, measured time.Duration, load int) {
	if v.sample.pending || !v.showsFreeQuota(measured) && !v.showsOtherQuotas(measured) && v.foreign == 0 {
		return
	}
	v.sample = sample{measured: measured, load: load, pending: true}
	s.reviewAt = min(s.reviewAt, measured+transitTime)
}

// showsFreeQuota reports whether a load report measured at the given time can show how much of a grown
// quota is free.
func (v *server) showsFreeQuota(measured time.Duration) bool {
	return !v.quotaConfirmed && measured >= v.quotaGrewAt+transitTime
}

// confirmQuota estimates from the held sample how many requests other schedulers run on a server, once all
// requests that ended before the sample was measured are known, and confirms as much of the quota as is free.
// Settings.Settle after the quota grew, all of it counts as confirmed.
func (s *Scheduler) confirmQuota(now time.Duration, v *server) {
	if !v.quotaConfirmed && now >= v.quotaGrewAt+s.Settings.Settle {
		v.quotaConfirmed = true
		if v.quotaSampled { // assume that the part that no report showed to be free is in use
			shown := v.limiter.Bound() - v.confirmedQuota
			v.excessPeak.observe(now, foreignHold, shown)
			v.updateForeign(shown)
		}
	}
	if !v.sample.pending {
		return
	}
	if due := v.sample.measured + transitTime; now < due {
		s.reviewAt = min(s.reviewAt, due)
		return
	}
	v.sample.pending = false
	others := max(0, v.sample.load-s.confirmedRunning(v))
	v.foreign = min(v.foreign, others)
	if v.showsFreeQuota(v.sample.measured) {
		v.quotaSampled = true
		v.confirmedQuota = max(v.confirmedQuota, v.limiter.Bound()-others)
		v.quotaConfirmed = v.confirmedQuota >= s.quota(v.limiter.Bound())
	}
	if v.showsOtherQuotas(v.sample.measured) {
		s.checkOrphansCovered(v, others)
	}
}

// confirmedRunning returns the number of grants that were certainly running on a server when its sample
// was measured.
func (s *Scheduler) confirmedRunning(v *server) int {
	n := 0
	for _, g := range s.grants {
		if g.server == v && g.acked && !g.ended && g.ackedAt <= v.sample.measured {
			n++
		}
	}
	return n
}
