package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// Next gives the grants that may be given now; afterwards no request waits beside a free slot.
func (s *Scheduler) Next(now time.Duration) []Batch {
	s.prepare()
	s.endHangUps(now)
	s.reviewServers(now)
	var batches []Batch
	for s.room > 0 {
		e := s.pick(now)
		if e == nil || s.room <= s.awaited(now, e.team) {
			break
		}
		v := s.place(now, e.router)
		if v == nil {
			break
		}
		g := s.grant(now, e, v)
		batches = s.add(batches, g)
	}
	return batches
}

// add puts a grant into its router's batch.
func (s *Scheduler) add(batches []Batch, g *grant) []Batch {
	r, v := g.router, g.server
	if r.batch >= len(batches) || batches[r.batch].To != r.name {
		r.batch = len(batches)
		batches = append(batches, s.batch(r))
	}
	list := &batches[r.batch].Grants
	list.Grants = append(list.Grants, fleet.Grant{
		ID: g.id, Team: g.team.name, Server: v.rule.Name, Address: v.rule.Address, Fencing: v.rule.Fencing,
	})
	return batches
}

func (s *Scheduler) batch(r *router) Batch {
	return Batch{To: r.name, Grants: fleet.Grants{Cell: s.Cell, Term: s.Term, Basis: r.basis}}
}

// pick gives the entry to serve next, and parks those of routers not heard of lately.
func (s *Scheduler) pick(now time.Duration) *entry {
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

// place gives the least loaded server, one in the router's data centre among about equals; servers
// that the router could not reach lately come last.
func (s *Scheduler) place(now time.Duration, r *router) *server {
	if len(r.avoid) > 0 {
		if v := s.least(r, func(v *server) bool { return now < r.avoid[v.rule.Name] }); v != nil {
			return v
		}
	}
	return s.least(r, nil)
}

func (s *Scheduler) least(r *router, skip func(*server) bool) *server {
	var least, local *server
	for _, v := range s.listed {
		if v.room <= 0 || skip != nil && skip(v) {
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

// grant charges the team and counts the request as outstanding.
func (s *Scheduler) grant(now time.Duration, e *entry, v *server) *grant {
	t, r := e.team, e.router
	s.advance(t.level)
	s.arrived(t.name)
	s.counter++
	g := &grant{
		id: s.Term<<fleet.TermShift + s.counter, team: t, router: r, entry: e, server: v,
		hint: e.hint, basis: r.basis, basisAt: r.basisAt,
	}
	left := e.waiting()
	e.since += (now - e.since) / time.Duration(left)
	e.unseen++
	r.unseen = append(r.unseen, g)
	s.hold(now, g)
	v.limiter.Start()
	s.charge(g, s.memory.expect(t.habit, e.hint))
	s.queueEntry(e)
	s.workOut(now, v)
	return g
}

// Wake says when Next is to be called even if nothing happens before; false if never.
func (s *Scheduler) Wake() (time.Duration, bool) {
	if s.backlog.top() == nil && len(s.grants) == 0 {
		return 0, false
	}
	wake := s.review
	if len(s.expected) > 0 {
		wake = min(wake, s.expected[0].until)
	}
	if len(s.hungUp) > 0 {
		wake = min(wake, s.hungUp[0].until)
	}
	return wake, true
}

// expect notes that a team which has just been served may ask again.
func (s *Scheduler) expect(now time.Duration, team string) {
	if s.Settings.Anticipate > 0 {
		s.expected = append(s.expected, expectation{team: team, until: now + s.Settings.Anticipate})
	}
}

// arrived ends an expectation of a team.
func (s *Scheduler) arrived(team string) {
	for i, x := range s.expected {
		if x.team == team {
			s.expected = append(s.expected[:i], s.expected[i+1:]...)
			return
		}
	}
}

// awaited counts the slots kept for teams behind the given one that are likely to ask at once.
func (s *Scheduler) awaited(now time.Duration, next *team) int {
	for len(s.expected) > 0 && s.expected[0].until <= now {
		s.expected = s.expected[1:]
	}
	n := 0
	for _, x := range s.expected {
		level := s.level // of a team that is not ahead and was forgotten
		if t := s.teams[x.team]; t != nil {
			if t.backlog {
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
