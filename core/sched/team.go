package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// team is a team that has requests waiting or running, or whose level is still above the others'.
type team struct {
	node       // element of the backlog or the idle queue
	name       string
	share      float64
	queue      queue   // entries, longest wait first
	level      float64 // cost units charged divided by share (the virtual time of fair queueing)
	entries    int     // routers that have an entry for it
	running    int
	service    int64 // cost units used
	backlogged bool
	costs      costStats
}

// grant is the permission for one request to run that has not been reported as finished.
type grant struct {
	id      uint64
	team    *team
	router  *router
	entry   *entry // nil if another scheduler issued the grant
	server  *server
	hint    int64
	charged int64
	used    int64
	basis   int64
	basisAt time.Duration
	acked   bool
	ackedAt time.Duration // when the acknowledgement arrived

	ended   bool // its caller disconnected; the slot is kept for cancelGrace
	inDoubt bool // issued before a full demand that does not list it, so it may be lost
}

// anticipation is a slot reserved for a team that is likely to send another request shortly.
type anticipation struct {
	team  string
	until time.Duration
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		s.order++
		t = &team{name: name, share: s.shareOf(name), level: s.level, costs: s.history.lookup(name)}
		t.node.order, t.node.team = s.order, t
		s.teams[name] = t
	}
	return t
}

// queueEntry adds, moves or removes an entry in its team's queue according to its waiting requests, and
// updates the team's place accordingly.
func (s *Scheduler) queueEntry(e *entry) {
	t := e.team
	queued := e.waiting() > 0 && !e.parked
	switch {
	case queued && e.position == 0:
		e.key = e.since.Seconds()
		t.queue.push(&e.node)
	case queued:
		e.key = e.since.Seconds()
		t.queue.fix(&e.node)
	case e.position > 0:
		t.queue.remove(&e.node)
	}
	s.queueTeam(t)
	if e.reported == 0 && e.unacked == 0 && !e.parked {
		s.dropEntry(e)
	}
}

func (s *Scheduler) dropEntry(e *entry) {
	if e.router.entries[e.team.name] != e {
		return
	}
	delete(e.router.entries, e.team.name)
	e.team.entries--
	s.dropTeam(e.team)
}

// queueTeam keeps a team in the backlog while it has queued entries, and otherwise in the idle queue while
// its level is above the scheduler's.
func (s *Scheduler) queueTeam(t *team) {
	queued := t.queue.top() != nil
	switch {
	case queued && !t.backlogged:
		if t.position > 0 {
			s.idle.remove(&t.node)
		}
		t.backlogged = true
		t.level = max(t.level, s.level) // no credit for idle time
		t.key = s.teamKey(t)
		s.backlog.push(&t.node)
	case queued:
		t.key = s.teamKey(t)
		s.backlog.fix(&t.node)
	case t.backlogged:
		s.backlog.remove(&t.node)
		t.backlogged = false
		s.moveToIdle(t)
	}
}

func (s *Scheduler) teamKey(t *team) float64 {
	if s.Settings.Policy == LeastLoaded {
		return t.queue.top().key
	}
	return t.level
}

// moveToIdle keeps a team whose level is above the scheduler's until the others catch up, so that a team
// gains nothing by going idle and coming back.
func (s *Scheduler) moveToIdle(t *team) {
	if t.position > 0 {
		s.idle.remove(&t.node)
	}
	if t.level > s.level {
		t.key = t.level
		s.idle.push(&t.node)
	}
	s.dropTeam(t)
}

// dropTeam removes a team that has nothing waiting or running and is not in a queue.
func (s *Scheduler) dropTeam(t *team) {
	if t.entries == 0 && t.running == 0 && t.position == 0 && s.teams[t.name] == t {
		delete(s.teams, t.name)
		s.history.store(t.name, t.costs)
	}
}

// advance raises the scheduler's level to that of the team served and drops idle teams at or below it.
func (s *Scheduler) advance(level float64) {
	s.level = max(s.level, level)
	for n := s.idle.top(); n != nil && n.key <= s.level; n = s.idle.top() {
		s.idle.remove(n)
		s.dropTeam(n.team)
	}
}

// forgiveDebts drops all idle teams, and with them their levels, when nothing waits or runs any more.
func (s *Scheduler) forgiveDebts() {
	if s.backlog.top() != nil || len(s.grants) > 0 {
		return
	}
	for n := s.idle.top(); n != nil; n = s.idle.top() {
		s.advance(n.key)
	}
}

// charge sets the cost charged to the team for a grant.
func (s *Scheduler) charge(g *grant, cost int64) {
	if cost == g.charged {
		return
	}
	t := g.team
	t.level += float64(cost-g.charged) / t.share
	g.charged = cost
	if t.backlogged {
		t.key = s.teamKey(t)
		s.backlog.fix(&t.node)
		return
	}
	s.moveToIdle(t)
}

// updateRunning records the cost so far of a running grant, and adopts a grant that is not known.
func (s *Scheduler) updateRunning(now time.Duration, r *router, p fleet.Running) {
	g := s.grants[p.Grant]
	if g == nil || g.router != r {
		if p.Server == "" { // only a full demand names the server, so the router must send one
			r.full = false
			s.countLenders(now)
			return
		}
		g = s.adopt(now, r, p)
	}
	g.inDoubt = false
	if p.Cost <= g.used {
		return
	}
	g.server.progressAt = now
	g.team.service += p.Cost - g.used
	g.used = p.Cost
	s.charge(g, max(g.charged, p.Cost))
}

// adopt tracks a grant that another scheduler issued, or that was considered finished.
func (s *Scheduler) adopt(now time.Duration, r *router, p fleet.Running) *grant {
	if old := s.grants[p.Grant]; old != nil {
		s.release(now, old, old.charged)
	}
	g := &grant{id: p.Grant, team: s.team(p.Team), router: r, server: s.server(p.Server), acked: true, ackedAt: now}
	g.charged, g.used = p.Cost, p.Cost
	s.recoverOrphan(g.id)
	g.server.foreign = max(0, g.server.foreign-1)
	s.track(now, g)
	g.server.limiter.InferInFlight(g.server.outstanding)
	return g
}

// track counts a grant as outstanding.
func (s *Scheduler) track(now time.Duration, g *grant) {
	s.grants[g.id] = g
	g.team.running++
	s.addOutstanding(now, g.server, 1)
}

// release stops tracking a grant and charges its total cost.
func (s *Scheduler) release(now time.Duration, g *grant, cost int64) {
	s.charge(g, cost)
	delete(s.grants, g.id)
	g.team.running--
	s.addOutstanding(now, g.server, -1)
	if !g.team.backlogged {
		s.moveToIdle(g.team)
	}
	s.forgiveDebts()
}

// finish processes the end of a grant.
func (s *Scheduler) finish(now time.Duration, r *router, d fleet.Done) {
	g := s.grants[d.Grant]
	if g == nil || g.router != r || g.ended {
		s.recoverOrphan(d.Grant)
		return
	}
	s.acknowledgeFinished(now, r, g)
	if d.Outcome == fleet.OutcomeUnreached {
		r.markUnreachable(now, g.server.rule.Name)
	}
	busy := g.server.outstanding + g.server.orphans + g.server.foreign
	g.server.limiter.ObserveDone(now, d, busy)
	g.server.progressAt = now
	cost := max(0, d.Cost)
	g.team.service += max(0, cost-g.used)
	if d.Outcome == fleet.OutcomeCompleted {
		s.history.all = s.history.all.observe(g.hint, cost)
		g.team.costs = g.team.costs.observe(g.hint, cost)
	}
	if mayStillRun(d.Outcome) {
		s.cancel(now, g, cost)
		return
	}
	s.release(now, g, cost)
	s.anticipate(now, g.team.name)
}

// acknowledgeFinished acknowledges a grant whose end arrived before its acknowledgement.
func (s *Scheduler) acknowledgeFinished(now time.Duration, r *router, g *grant) {
	if g.acked {
		return
	}
	s.acknowledge(now, r, g.id)
}
