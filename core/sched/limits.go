package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

const (
	// limitKeepers is how many routers keep the learnt limits for the cell's next scheduler.
	limitKeepers = 3
	// limitPeriod is the time between two looks at which limits changed.
	limitPeriod = time.Second
)

// TellLimits gives the learnt limits that changed to the routers that keep them.
func (s *Scheduler) TellLimits(now time.Duration) []Batch {
	if now >= s.limitsAt {
		s.limitsAt = now + limitPeriod
		s.noteLimits()
	}
	keepers := 0
	var batches []Batch
	for _, r := range s.byName {
		if keepers == limitKeepers {
			break
		}
		if r.name == s.Self || !r.full || !s.lenders[r.name] {
			continue
		}
		keepers++
		if r.limits < s.limits {
			b := s.batch(r)
			b.Grants.Limits = s.limitsSince(r.limits)
			r.limits = s.limits
			batches = append(batches, b)
		}
	}
	return batches
}

// noteLimits gives the limits that changed the next version.
func (s *Scheduler) noteLimits() {
	for _, v := range s.listed {
		told := fleet.ServerLimit{Server: v.rule.Name}
		if v.stopped == fleet.ReasonNone {
			told.Epoch, told.Limit = v.limiter.Learnt()
		}
		if told != v.told {
			v.told, v.toldAs = told, s.limits+1
		}
	}
	for _, v := range s.listed {
		s.limits = max(s.limits, v.toldAs)
	}
}

func (s *Scheduler) limitsSince(version uint64) *fleet.Limits {
	l := &fleet.Limits{Term: s.Term, Version: s.limits, Since: version}
	for _, v := range s.listed {
		if v.toldAs > version {
			l.Servers = append(l.Servers, v.told)
		}
	}
	return l
}

// inherit takes in the limits that a router kept, with a full demand.
func (s *Scheduler) inherit(now time.Duration, r *router, l *fleet.Limits) {
	r.limits = 0
	if l == nil {
		return
	}
	if l.Term == s.Term {
		r.limits = min(l.Version, s.limits)
		return
	}
	for _, one := range l.Servers {
		if v := s.servers[one.Server]; v != nil && v.present && v.isNewer(l) {
			v.inheritedTerm, v.inherited = l.Term, l.Version
			v.limiter.Inherit(now, one.Epoch, one.Limit)
		}
	}
}

// isNewer says whether limits are younger than those that the server has from an earlier scheduler.
func (v *server) isNewer(l *fleet.Limits) bool {
	if l.Term != v.inheritedTerm {
		return l.Term > v.inheritedTerm
	}
	return l.Version > v.inherited
}
