package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// Next returns the grants that can be issued now, batched by router. Afterwards no request waits
// while a slot is free, except slots reserved by Settings.Anticipate.
func (s *Scheduler) Next(now time.Duration) []Batch {
	s.prepare()
	s.releaseCancelled(now)
	s.reviewServers(now)
	var batches []Batch
	for s.freeSlots > 0 {
		e := s.nextEntry(now)
		if e == nil || s.freeSlots <= s.reservedSlots(now, e.team) {
			break
		}
		v := s.chooseServer(now, e.router)
		if v == nil {
			break
		}
		g := s.grant(now, e, v)
		batches = s.addGrant(batches, g)
	}
	return batches
}

// addGrant appends a grant to its router's batch.
func (s *Scheduler) addGrant(batches []Batch, g *grant) []Batch {
	r, v := g.router, g.server
	if r.batchIndex >= len(batches) || batches[r.batchIndex].To != r.name {
		r.batchIndex = len(batches)
		batches = append(batches, s.newBatch(r))
	}
	list := &batches[r.batchIndex].Grants
	list.Grants = append(list.Grants, fleet.Grant{
		ID: g.id, Team: g.team.name, Server: v.rule.Name, Address: v.rule.Address, Fencing: v.rule.Fencing,
	})
	return batches
}

func (s *Scheduler) newBatch(r *router) Batch {
	return Batch{To: r.name, Grants: fleet.Grants{Cell: s.Cell, Term: s.Term, Basis: r.basis}}
}

// nextEntry returns the entry to serve next, or nil. It parks entries of routers whose last stamp is stale.
func (s *Scheduler) nextEntry(now time.Duration) *entry {
	for {
		n := s.backlog.top()
		if n == nil {
			return nil
		}
		e := n.team.queue.top().entry
		if e.router.fresh(now) {
			return e
		}
		e.parked = true
		e.router.parked = append(e.router.parked, e)
		s.queueEntry(e)
	}
}

// chooseServer returns the least loaded server with a free slot, or nil. Among servers of similar load it
// prefers one in the router's data centre. Servers that the router recently failed to reach are a last resort.
func (s *Scheduler) chooseServer(now time.Duration, r *router) *server {
	if len(r.avoid) > 0 {
		if v := s.leastLoadedServer(r, func(v *server) bool { return now < r.avoid[v.rule.Name] }); v != nil {
			return v
		}
	}
	return s.leastLoadedServer(r, nil)
}

func (s *Scheduler) leastLoadedServer(r *router, skip func(*server) bool) *server {
	var least, local *server
	for _, v := range s.configured {
		if v.freeSlots <= 0 || skip != nil && skip(v) {
			continue
		}
		if least == nil || v.fraction < least.fraction {
			least = v
		}
		if v.rule.DataCentre == r.dataCentre && (local == nil || v.fraction < local.fraction) {
			local = v
		}
	}
	if local != nil && local.fraction <= least.fraction+s.Settings.LocalSlack {
		return local
	}
	return least
}

// grant issues a grant for an entry's oldest request, charges the team the estimated cost and counts the
// grant as outstanding.
func (s *Scheduler) grant(now time.Duration, e *entry, v *server) *grant {
	t, r := e.team, e.router
	s.advance(t.level)
	s.endAnticipation(t.name)
	s.counter++
	g := &grant{
		id: s.Term<<fleet.TermShift + s.counter, team: t, router: r, entry: e, server: v,
		hint: e.hint, basis: r.basis, basisAt: r.basisAt,
	}
	waiting := e.waiting()
	e.since += (now - e.since) / time.Duration(waiting)
	e.unacked++
	r.unacked = append(r.unacked, g)
	s.track(now, g)
	v.limiter.Start()
	s.charge(g, s.history.estimate(t.costs, e.hint))
	s.queueEntry(e)
	s.updateFreeSlots(now, v)
	return g
}

// NextWake returns the time by which Next must be called even without an event, and false if there is none.
func (s *Scheduler) NextWake() (time.Duration, bool) {
	if s.backlog.top() == nil && len(s.grants) == 0 {
		return 0, false
	}
	wake := s.reviewAt
	if len(s.anticipated) > 0 {
		wake = min(wake, s.anticipated[0].until)
	}
	if len(s.cancelled) > 0 {
		wake = min(wake, s.cancelled[0].until)
	}
	return wake, true
}

// anticipate reserves a slot for a short time for a team that was just served and is likely to send
// another request.
func (s *Scheduler) anticipate(now time.Duration, team string) {
	if s.Settings.Anticipate > 0 {
		s.anticipated = append(s.anticipated, anticipation{team: team, until: now + s.Settings.Anticipate})
	}
}

// endAnticipation removes one anticipated request of a team.
func (s *Scheduler) endAnticipation(team string) {
	for i, x := range s.anticipated {
		if x.team == team {
			s.anticipated = append(s.anticipated[:i], s.anticipated[i+1:]...)
			return
		}
	}
}

// reservedSlots returns the number of slots reserved for teams with a lower level than the given one that
// are likely to send a request shortly.
func (s *Scheduler) reservedSlots(now time.Duration, next *team) int {
	for len(s.anticipated) > 0 && s.anticipated[0].until <= now {
		s.anticipated = s.anticipated[1:]
	}
	n := 0
	for _, x := range s.anticipated {
		level := s.level // level of a team that was dropped because it was not ahead
		if t := s.teams[x.team]; t != nil {
			if t.backlogged {
				continue
			}
			level = t.level
		}
		if level < next.level {
			n++
		}
	}
	return n
}
