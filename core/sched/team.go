package sched

import (
	"time"

	"mangolug.org/core/fleet"
)

// team is a team with requests waiting or running, or still ahead of the others.
type team struct {
	node           // in the backlog, or in the idle queue
	name    string // of the team
	share   float64
	queue   queue   // its entries, longest wait first
	level   float64 // cost units charged over share
	entries int     // routers that told of it
	running int
	service int64 // cost units used
	backlog bool
	habit   habit
}

// grant is a request that was let run and has not been reported as ended.
type grant struct {
	id      uint64
	team    *team
	router  *router
	entry   *entry // nil when another scheduler granted it
	server  *server
	hint    int64
	charged int64
	used    int64
	basis   int64
	basisAt time.Duration
	seen    bool
	seenAt  time.Duration // when it was known to be seen

	ended    bool // its caller hung up; the slot is kept for hangUpGrace
	doubtful bool // sent before a full demand that did not know it: it may be lost
}

// expectation is a team that is likely to ask again at once.
type expectation struct {
	team  string
	until time.Duration
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		s.order++
		t = &team{name: name, share: s.shareOf(name), level: s.level, habit: s.memory.find(name)}
		t.node.order, t.node.team = s.order, t
		s.teams[name] = t
	}
	return t
}

// queueEntry puts an entry where its waiting requests say, and its team with it.
func (s *Scheduler) queueEntry(e *entry) {
	t := e.team
	waits := e.waiting() > 0 && !e.parked
	switch {
	case waits && e.place == 0:
		e.key = e.since.Seconds()
		t.queue.push(&e.node)
	case waits:
		e.key = e.since.Seconds()
		t.queue.fix(&e.node)
	case e.place > 0:
		t.queue.remove(&e.node)
	}
	s.queueTeam(t)
	if e.told == 0 && e.unseen == 0 && !e.parked {
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

// queueTeam keeps a team in the backlog while it has entries queued, else among the idle while it is ahead.
func (s *Scheduler) queueTeam(t *team) {
	waits := t.queue.top() != nil
	switch {
	case waits && !t.backlog:
		if t.place > 0 {
			s.idle.remove(&t.node)
		}
		t.backlog = true
		t.level = max(t.level, s.level) // idleness earns no credit
		t.key = s.teamKey(t)
		s.backlog.push(&t.node)
	case waits:
		t.key = s.teamKey(t)
		s.backlog.fix(&t.node)
	case t.backlog:
		s.backlog.remove(&t.node)
		t.backlog = false
		s.rest(t)
	}
}

func (s *Scheduler) teamKey(t *team) float64 {
	if s.Settings.Policy == LeastLoaded {
		return t.queue.top().key
	}
	return t.level
}

// rest keeps a team that is ahead of the others until they catch up, so that leaving pays nothing.
func (s *Scheduler) rest(t *team) {
	if t.place > 0 {
		s.idle.remove(&t.node)
	}
	if t.level > s.level {
		t.key = t.level
		s.idle.push(&t.node)
	}
	s.dropTeam(t)
}

// dropTeam forgets a team that has nothing waiting or running and is not ahead.
func (s *Scheduler) dropTeam(t *team) {
	if t.entries == 0 && t.running == 0 && t.place == 0 && s.teams[t.name] == t {
		delete(s.teams, t.name)
		s.memory.keep(t.name, t.habit)
	}
}

// advance raises the level to that of the team served, and lets idle teams go that it passed.
func (s *Scheduler) advance(level float64) {
	s.level = max(s.level, level)
	for n := s.idle.top(); n != nil && n.key <= s.level; n = s.idle.top() {
		s.idle.remove(n)
		s.dropTeam(n.team)
	}
}

// settle ends all debts when nothing waits or runs any more.
func (s *Scheduler) settle() {
	if s.backlog.top() != nil || len(s.grants) > 0 {
		return
	}
	for n := s.idle.top(); n != nil; n = s.idle.top() {
		s.advance(n.key)
	}
}

// charge changes what a grant has been charged to its team.
func (s *Scheduler) charge(g *grant, cost int64) {
	if cost == g.charged {
		return
	}
	t := g.team
	t.level += float64(cost-g.charged) / t.share
	g.charged = cost
	if t.backlog {
		t.key = s.teamKey(t)
		s.backlog.fix(&t.node)
		return
	}
	s.rest(t)
}

// progress takes in the cost so far of a running grant.
func (s *Scheduler) progress(now time.Duration, r *router, p fleet.Running) {
	g := s.grants[p.Grant]
	if g == nil || g.router != r {
		if p.Server == "" { // only a full demand says where it runs, so the router is to tell all
			r.full = false
			s.countLent(now)
			return
		}
		g = s.adopt(now, r, p)
	}
	g.doubtful = false
	if p.Cost <= g.used {
		return
	}
	g.server.progress = now
	g.team.service += p.Cost - g.used
	g.used = p.Cost
	s.charge(g, max(g.charged, p.Cost))
}

// adopt counts a grant that another scheduler gave, or that was thought to be over.
func (s *Scheduler) adopt(now time.Duration, r *router, p fleet.Running) *grant {
	if old := s.grants[p.Grant]; old != nil {
		s.release(now, old, old.charged)
	}
	g := &grant{id: p.Grant, team: s.team(p.Team), router: r, server: s.server(p.Server), seen: true, seenAt: now}
	g.charged, g.used = p.Cost, p.Cost
	s.found(g.id)
	g.server.foreign = max(0, g.server.foreign-1)
	s.hold(now, g)
	g.server.limiter.Found(g.server.outstanding)
	return g
}

// hold counts a grant as outstanding.
func (s *Scheduler) hold(now time.Duration, g *grant) {
	s.grants[g.id] = g
	g.team.running++
	s.use(now, g.server, 1)
}

// release ends a grant with what it cost in all.
func (s *Scheduler) release(now time.Duration, g *grant, cost int64) {
	s.charge(g, cost)
	delete(s.grants, g.id)
	g.team.running--
	s.use(now, g.server, -1)
	if !g.team.backlog {
		s.rest(g.team)
	}
	s.settle()
}

// done takes in the end of a grant.
func (s *Scheduler) done(now time.Duration, r *router, d fleet.Done) {
	g := s.grants[d.Grant]
	if g == nil || g.router != r || g.ended {
		s.found(d.Grant)
		return
	}
	s.sawUnseen(now, r, g)
	if d.Outcome == fleet.OutcomeUnreached {
		r.shun(now, g.server.rule.Name)
	}
	busy := g.server.outstanding + g.server.orphans + g.server.foreign
	g.server.limiter.Done(now, d, busy)
	g.server.progress = now
	cost := max(0, d.Cost)
	g.team.service += max(0, cost-g.used)
	if d.Outcome == fleet.OutcomeCompleted {
		s.memory.all = s.memory.all.with(g.hint, cost)
		g.team.habit = g.team.habit.with(g.hint, cost)
	}
	if mayRunOn(d.Outcome) {
		s.hangUp(now, g, cost)
		return
	}
	s.release(now, g, cost)
	s.expect(now, g.team.name)
}

// sawUnseen acknowledges a grant whose end came before its acknowledgement.
func (s *Scheduler) sawUnseen(now time.Duration, r *router, g *grant) {
	if g.seen {
		return
	}
	s.acknowledge(now, r, g.id)
}
