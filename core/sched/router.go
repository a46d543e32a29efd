package sched

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
)

// avoidTime is how long a router gets no grant on a server that it could not reach, if others have room.
const avoidTime = 5 * time.Second

// lapse is how far a router's own clock must pass a grant's basis before the grant counts as unused.
const lapse = int64((fleet.GrantLifetime + fleet.ClockDrift) / time.Millisecond)

// router is an entry router that told this scheduler its demand.
type router struct {
	name       string
	dataCentre string
	told       bool // sent some demand
	full       bool // sent all its demand
	seq        uint64
	basis      int64 // its latest stamp, in milliseconds
	basisAt    time.Duration
	entries    map[string]*entry
	unseen     []*grant                 // grants that it has not acknowledged, oldest first
	doubtful   []*grant                 // acknowledged grants that may have been lost, oldest first
	avoid      map[string]time.Duration // servers that it could not reach, and until when to avoid them
	batch      int                      // its place in the batches being made
	limits     uint64                   // version of the limits that it keeps
	parked     []*entry                 // entries left out of the queues until the router is heard again
}

// entry is what one team has waiting at one router.
type entry struct {
	node
	router *router
	team   *team
	told   int // requests waiting, as the router told
	unseen int // grants for them that the router had not seen when it told
	hint   int64
	since  time.Duration // when the oldest began to wait
	parked bool
}

// waiting gives the requests that no grant is on its way to.
func (e *entry) waiting() int { return max(0, e.told-e.unseen) }

func (r *router) fresh(now time.Duration) bool { return now-r.basisAt < staleBasis }

func (s *Scheduler) router(name string) *router {
	r := s.routers[name]
	if r == nil {
		r = &router{name: name, entries: map[string]*entry{}}
		s.routers[name] = r
		s.byName = append(s.byName, r)
	}
	return r
}

// Take takes in a router's demand; basis is the router's own stamp, in milliseconds.
func (s *Scheduler) Take(now time.Duration, from, dataCentre string, basis int64, d fleet.Demand) {
	s.prepare()
	r := s.router(from)
	if r.told && d.Seq <= r.seq {
		s.Dropped++
		return
	}
	r.told = true
	r.seq, r.dataCentre = d.Seq, dataCentre
	if d.SeenTerm == s.Term {
		s.acknowledge(now, r, d.Seen)
	}
	for _, g := range d.Running {
		s.progress(now, r, g)
	}
	for _, o := range d.Done {
		s.done(now, r, o)
	}
	if d.Full {
		s.dropMissing(now, r, d)
		s.inherit(now, r, d.Limits)
		r.full = true
		s.countLent(now)
	}
	for _, w := range d.Waiting {
		s.wait(now, r, w)
	}
	s.heard(now, r, basis)
}

// Partial names the routers that told some demand but not all, as after Forget; they lend
// nothing until a new connection makes them tell all.
func (s *Scheduler) Partial() []string {
	var names []string
	for _, r := range s.byName {
		if !r.full {
			names = append(names, r.name)
		}
	}
	return names
}

// Heard takes in a router's newer stamp, in milliseconds, that came without demand.
func (s *Scheduler) Heard(now time.Duration, from string, basis int64) {
	s.prepare()
	if r := s.routers[from]; r != nil {
		s.heard(now, r, basis)
	}
}

func (s *Scheduler) heard(now time.Duration, r *router, basis int64) {
	r.basis, r.basisAt = basis, now
	s.lapseUnseen(now, r)
	s.orphanDoubtful(now, r)
	parked := r.parked
	r.parked = nil
	for _, e := range parked {
		e.parked = false
		s.queueEntry(e)
	}
}

// acknowledge marks the grants up to an ID as received by their router.
func (s *Scheduler) acknowledge(now time.Duration, r *router, seen uint64) {
	n := 0
	for n < len(r.unseen) && r.unseen[n].id <= seen {
		g := r.unseen[n]
		g.seen, g.seenAt = true, now
		g.entry.unseen--
		s.queueEntry(g.entry)
		if g.doubtful {
			r.doubtful = append(r.doubtful, g)
		}
		n++
	}
	r.unseen = r.unseen[n:]
}

// lapsed reports whether the router, by its own clock, would not use the grant any more.
func (r *router) lapsed(now time.Duration, g *grant) bool {
	return r.basis > g.basis+lapse && now > g.basisAt+fleet.GrantLifetime+fleet.ClockDrift
}

// lapseUnseen frees grants that the router never took up.
func (s *Scheduler) lapseUnseen(now time.Duration, r *router) {
	n := 0
	for n < len(r.unseen) && r.lapsed(now, r.unseen[n]) {
		g := r.unseen[n]
		n++
		s.Lapsed++
		g.seen = true
		g.entry.unseen--
		s.queueEntry(g.entry)
		g.server.limiter.Lost()
		s.release(now, g, 0)
	}
	r.unseen = r.unseen[n:]
}

// dropMissing frees the grants that a full demand shows to be over, and the teams that it leaves out.
func (s *Scheduler) dropMissing(now time.Duration, r *router, d fleet.Demand) {
	running := make(map[uint64]bool, len(d.Running))
	for _, g := range d.Running {
		running[g.Grant] = true
	}
	for _, g := range s.grantsOf(r) {
		if g.seen && !running[g.id] && !g.ended {
			g.server.limiter.Lost()
			s.release(now, g, g.charged)
		}
		g.doubtful = !g.seen
	}
	waiting := make(map[string]bool, len(d.Waiting))
	for _, w := range d.Waiting {
		waiting[w.Team] = true
	}
	for _, name := range r.teams() {
		if !waiting[name] {
			s.wait(now, r, fleet.TeamDemand{Team: name})
		}
	}
}

// grantsOf gives a router's grants, oldest first.
func (s *Scheduler) grantsOf(r *router) []*grant {
	var grants []*grant
	for _, g := range s.grants {
		if g.router == r {
			grants = append(grants, g)
		}
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].id < grants[j].id })
	return grants
}

func (r *router) teams() []string {
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// shun notes that the router could not reach a server.
func (r *router) shun(now time.Duration, server string) {
	for name, until := range r.avoid {
		if until <= now {
			delete(r.avoid, name)
		}
	}
	if r.avoid == nil {
		r.avoid = map[string]time.Duration{}
	}
	r.avoid[server] = now + avoidTime
}

// wait records what one team has waiting at a router.
func (s *Scheduler) wait(now time.Duration, r *router, w fleet.TeamDemand) {
	e := r.entries[w.Team]
	if e == nil {
		if w.Waiting <= 0 {
			return
		}
		e = s.newEntry(r, w.Team)
	}
	e.told = max(0, w.Waiting)
	e.hint = w.Estimate
	e.since = now - time.Duration(w.OldestWait)*time.Millisecond
	s.queueEntry(e)
}

func (s *Scheduler) newEntry(r *router, name string) *entry {
	t := s.team(name)
	s.order++
	e := &entry{router: r, team: t}
	e.order, e.entry = s.order, e
	r.entries[name] = e
	t.entries++
	return e
}

// Forget drops a router that is no longer live, or came back in a new incarnation; what it
// ran counts as load until the servers' reports show it to be gone.
func (s *Scheduler) Forget(now time.Duration, name string) {
	s.prepare()
	r := s.routers[name]
	if r == nil {
		return
	}
	for _, team := range r.teams() {
		e := r.entries[team]
		e.told, e.unseen, e.parked = 0, 0, false
		s.queueEntry(e)
	}
	for _, g := range s.grantsOf(r) {
		s.orphan(now, g)
	}
	delete(s.routers, name)
	for i, o := range s.byName {
		if o == r {
			s.byName = append(s.byName[:i], s.byName[i+1:]...)
			break
		}
	}
	s.countLent(now)
}
