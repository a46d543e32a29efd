package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

const (
	// limitReplicas is the number of routers that keep a copy of the learnt limits for the cell's next scheduler.
	limitReplicas = 3
	// limitPeriod is the time between two checks for changed limits.
	limitPeriod = time.Second
)

// LimitUpdates returns batches with the learnt limits that changed, for the routers that keep a copy of them.
func (s *Scheduler) LimitUpdates(now time.Duration) []Batch {
	if now >= s.limitsDueAt {
		s.limitsDueAt = now + limitPeriod
		s.updateLimits()
	}
	replicas := 0
	var batches []Batch
	for _, r := range s.routerList {
		if replicas == limitReplicas {
			break
		}
		if r.name == s.Self || !r.full || !s.lenders[r.name] {
			continue
		}
		replicas++
		if r.limitsVersion < s.limitsVersion {
			b := s.newBatch(r)
			b.Grants.Limits = s.limitsSince(r.limitsVersion)
			r.limitsVersion = s.limitsVersion
			batches = append(batches, b)
		}
	}
	return batches
}

// updateLimits assigns the next version to the limits that changed.
func (s *Scheduler) updateLimits() {
	for _, v := range s.configured {
		latest := fleet.ServerLimit{Server: v.rule.Name}
		if v.stopped == fleet.ReasonNone {
			latest.Epoch, latest.Limit = v.limiter.Learnt()
		}
		if latest != v.published {
			v.published, v.publishedVersion = latest, s.limitsVersion+1
		}
	}
	for _, v := range s.configured {
		s.limitsVersion = max(s.limitsVersion, v.publishedVersion)
	}
}

func (s *Scheduler) limitsSince(version uint64) *fleet.Limits {
	l := &fleet.Limits{Term: s.Term, Version: s.limitsVersion, Since: version}
	for _, v := range s.configured {
		if v.publishedVersion > version {
			l.Servers = append(l.Servers, v.published)
		}
	}
	return l
}

// inherit adopts the limits in a router's full demand if they are newer than what an earlier scheduler left.
func (s *Scheduler) inherit(now time.Duration, r *router, l *fleet.Limits) {
	r.limitsVersion = 0
	if l == nil {
		return
	}
	if l.Term == s.Term {
		r.limitsVersion = min(l.Version, s.limitsVersion)
		return
	}
	for _, sl := range l.Servers {
		if v := s.servers[sl.Server]; v != nil && v.configured && v.isNewer(l) {
			v.inheritedTerm, v.inheritedVersion = l.Term, l.Version
			v.limiter.Inherit(now, sl.Epoch, sl.Limit)
		}
	}
}

// isNewer reports whether limits are newer than those that the server inherited so far.
func (v *server) isNewer(l *fleet.Limits) bool {
	if l.Term != v.inheritedTerm {
		return l.Term > v.inheritedTerm
	}
	return l.Version > v.inheritedVersion
}
