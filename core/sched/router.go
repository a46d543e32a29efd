package sched

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
)

// avoidPeriod is how long a router gets no grant on a server that it could not reach, if other servers have
// free slots.
const avoidPeriod = 5 * time.Second

// grantExpiry is how far, in milliseconds, a router's own clock must pass a grant's basis before the grant
// counts as unused.
const grantExpiry = int64((fleet.GrantLifetime + fleet.ClockDrift) / time.Millisecond)

// router is an entry router that reported its demand to this scheduler.
type router struct {
	name          string
	dataCentre    string
	reported      bool // sent at least one demand
	full          bool // sent a full demand
	seq           uint64
	basis         int64 // its latest clock stamp, in milliseconds
	basisAt       time.Duration
	entries       map[string]*entry
	unacked       []*grant                 // grants not acknowledged yet, oldest first
	inDoubt       []*grant                 // acknowledged grants that may have been lost, oldest first
	avoid         map[string]time.Duration // servers that it could not reach, with the time until which to avoid them
	batchIndex    int                      // index of its batch in the current call of Next
	limitsVersion uint64                   // version of its copy of the limits
	parked        []*entry                 // entries left out of the queues until a new stamp arrives
}

// entry holds the requests of one team that wait at one router.
type entry struct {
	node
	router   *router
	team     *team
	reported int // requests waiting, as reported by the router
	unacked  int // grants that the router had not received when it reported
	hint     int64
	since    time.Duration // arrival time of the oldest request
	parked   bool
}

// waiting returns the number of waiting requests for which no grant is under way.
func (e *entry) waiting() int { return max(0, e.reported-e.unacked) }

// fresh reports whether the router's last stamp is recent enough to issue grants to it.
func (r *router) fresh(now time.Duration) bool { return now-r.basisAt < maxBasisAge }

func (s *Scheduler) router(name string) *router {
	r := s.routers[name]
	if r == nil {
		r = &router{name: name, entries: map[string]*entry{}}
		s.routers[name] = r
		s.routerList = append(s.routerList, r)
	}
	return r
}

// ReceiveDemand processes a router's demand. basis is the stamp of the router's own clock, in milliseconds.
func (s *Scheduler) ReceiveDemand(now time.Duration, from, dataCentre string, basis int64, d fleet.Demand) {
	s.prepare()
	r := s.router(from)
	if r.reported && d.Seq <= r.seq {
		s.Dropped++
		return
	}
	r.reported = true
	r.seq, r.dataCentre = d.Seq, dataCentre
	if d.SeenTerm == s.Term {
		s.acknowledge(now, r, d.Seen)
	}
	for _, g := range d.Running {
		s.updateRunning(now, r, g)
	}
	for _, o := range d.Done {
		s.finish(now, r, o)
	}
	if d.Full {
		s.dropMissing(now, r, d)
		s.inherit(now, r, d.Limits)
		r.full = true
		s.countLenders(now)
	}
	for _, w := range d.Waiting {
		s.setWaiting(now, r, w)
	}
	s.updateBasis(now, r, basis)
}

// PartialRouters returns the routers that reported some demand but not a full one, as happens after RemoveRouter. They
// lend nothing until a new connection makes them send a full demand.
func (s *Scheduler) PartialRouters() []string {
	var names []string
	for _, r := range s.routerList {
		if !r.full {
			names = append(names, r.name)
		}
	}
	return names
}

// UpdateBasis records a newer stamp of a router's clock, in milliseconds, that came without demand.
func (s *Scheduler) UpdateBasis(now time.Duration, from string, basis int64) {
	s.prepare()
	if r := s.routers[from]; r != nil {
		s.updateBasis(now, r, basis)
	}
}

func (s *Scheduler) updateBasis(now time.Duration, r *router, basis int64) {
	r.basis, r.basisAt = basis, now
	s.expireUnacked(now, r)
	s.orphanInDoubt(now, r)
	parked := r.parked
	r.parked = nil
	for _, e := range parked {
		e.parked = false
		s.queueEntry(e)
	}
}

// acknowledge marks a router's grants up to the given ID as received.
func (s *Scheduler) acknowledge(now time.Duration, r *router, seen uint64) {
	n := 0
	for n < len(r.unacked) && r.unacked[n].id <= seen {
		g := r.unacked[n]
		g.acked, g.ackedAt = true, now
		g.entry.unacked--
		s.queueEntry(g.entry)
		if g.inDoubt {
			r.inDoubt = append(r.inDoubt, g)
		}
		n++
	}
	r.unacked = r.unacked[n:]
}

// expired reports whether the router, by its own clock, can no longer use the grant.
func (r *router) expired(now time.Duration, g *grant) bool {
	return r.basis > g.basis+grantExpiry && now > g.basisAt+fleet.GrantLifetime+fleet.ClockDrift
}

// expireUnacked frees expired grants that the router never acknowledged.
func (s *Scheduler) expireUnacked(now time.Duration, r *router) {
	n := 0
	for n < len(r.unacked) && r.expired(now, r.unacked[n]) {
		g := r.unacked[n]
		n++
		s.Expired++
		g.acked = true
		g.entry.unacked--
		s.queueEntry(g.entry)
		g.server.limiter.ObserveLost()
		s.release(now, g, 0)
	}
	r.unacked = r.unacked[n:]
}

// dropMissing frees acknowledged grants that a full demand no longer lists, marks unacknowledged ones as in
// doubt, and clears the teams that it does not list.
func (s *Scheduler) dropMissing(now time.Duration, r *router, d fleet.Demand) {
	running := make(map[uint64]bool, len(d.Running))
	for _, g := range d.Running {
		running[g.Grant] = true
	}
	for _, g := range s.grantsOf(r) {
		if g.acked && !running[g.id] && !g.ended {
			g.server.limiter.ObserveLost()
			s.release(now, g, g.charged)
		}
		g.inDoubt = !g.acked
	}
	waiting := make(map[string]bool, len(d.Waiting))
	for _, w := range d.Waiting {
		waiting[w.Team] = true
	}
	for _, name := range r.teams() {
		if !waiting[name] {
			s.setWaiting(now, r, fleet.TeamDemand{Team: name})
		}
	}
}

// grantsOf returns a router's grants, oldest first.
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

// markUnreachable records that the router could not reach a server.
func (r *router) markUnreachable(now time.Duration, server string) {
	for name, until := range r.avoid {
		if until <= now {
			delete(r.avoid, name)
		}
	}
	if r.avoid == nil {
		r.avoid = map[string]time.Duration{}
	}
	r.avoid[server] = now + avoidPeriod
}

// setWaiting records the waiting requests of one team at a router.
func (s *Scheduler) setWaiting(now time.Duration, r *router, w fleet.TeamDemand) {
	e := r.entries[w.Team]
	if e == nil {
		if w.Waiting <= 0 {
			return
		}
		e = s.newEntry(r, w.Team)
	}
	e.reported = max(0, w.Waiting)
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

// RemoveRouter removes a router that is no longer live or came back in a new incarnation. The requests that it ran
// count as load until the servers' reports show them to be gone.
func (s *Scheduler) RemoveRouter(now time.Duration, name string) {
	s.prepare()
	r := s.routers[name]
	if r == nil {
		return
	}
	for _, team := range r.teams() {
		e := r.entries[team]
		e.reported, e.unacked, e.parked = 0, 0, false
		s.queueEntry(e)
	}
	for _, g := range s.grantsOf(r) {
		s.orphan(now, g)
	}
	delete(s.routers, name)
	for i, o := range s.routerList {
		if o == r {
			s.routerList = append(s.routerList[:i], s.routerList[i+1:]...)
			break
		}
	}
	s.countLenders(now)
}
