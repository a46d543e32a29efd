package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

// world steps schedulers, entry routers and servers through virtual time, a millisecond a tick.
type world struct {
	t          *testing.T
	rng        *rand.Rand
	seed       uint64
	now        time.Duration
	schedulers []*Scheduler
	routers    []*fakeRouter
	servers    []*fakeServer
	teams      []*fakeTeam
	delay      time.Duration // one way, at most
	loadPeriod time.Duration
	loadLag    time.Duration
	unheard    bool   // load reports are lost
	stated     bool   // servers say what they bear
	out        string // data centre out of service
	later      []fakeCall
	delisted   bool // the platform's list drops lost routers at once
	checks     []func(w *world)
	idle, busy int // free and used slots, summed over ticks in which work waits
}

type fakeCall struct {
	due  time.Duration
	team *fakeTeam
}

type fakeTeam struct {
	name     string
	share    int
	cost     int64   // mean cost, in ticks of service
	hint     float64 // hint over true cost
	callers  int     // callers at the first router that ask again after thinking
	keep     int     // requests to keep waiting at each router; 0 for none
	at       []int   // the routers that it asks, by place; none for all
	used     int64   // cost units served, as the servers know
	finished int
	waits    []time.Duration
	mostRun  int
	mostCost int64
}

type fakeRequest struct {
	team    *fakeTeam
	cost    int64
	used    int64
	arrived time.Duration
	server  *fakeServer
	router  *fakeRouter
}

type fakeRouter struct {
	name, dataCentre string
	scheduler        int
	seq              uint64
	term, seen       uint64
	waiting          map[string][]*fakeRequest
	running          map[uint64]*fakeRequest
	told             map[string]int
	progress         bool
	done             []fleet.Done
	out              []fakeMessage
	in               []fakeMessage
	cutTill          time.Duration
	beat             time.Duration
	forgotten        bool
	afresh           bool // all demand is to be told
	acknowledged     uint64
	limits           fleet.Limits
}

type fakeMessage struct {
	due    time.Duration
	basis  int64
	demand *fleet.Demand
	grants fleet.Grants
}

type fakeServer struct {
	rule    rule.Server
	epoch   uint64
	running int
	most    int
	reports []fakeReport
}

type fakeReport struct {
	due  time.Duration
	load fleet.Load
}

func newWorld(t *testing.T, seed uint64, routers, servers, limit int) *world {
	t.Helper()
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), loadPeriod: 200 * time.Millisecond}
	for i := range servers {
		w.servers = append(w.servers, &fakeServer{epoch: 1, rule: rule.Server{
			Name: fmt.Sprintf("server-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Limit: limit,
		}})
	}
	for i := range routers {
		r := &fakeRouter{name: fmt.Sprintf("router-%d", i), dataCentre: fmt.Sprintf("dc-%d", i%3)}
		w.routers = append(w.routers, r)
		w.restart(r)
	}
	w.addScheduler(Settings{})
	w.lend()
	return w
}

func (w *world) addScheduler(settings Settings) *Scheduler {
	s := &Scheduler{Term: term + uint64(len(w.schedulers)), Settings: settings, Share: func(name string) int {
		for _, m := range w.teams {
			if m.name == name {
				return m.share
			}
		}
		return 1
	}}
	s.Configure(w.now, w.rules(), nil, nil)
	w.schedulers = append(w.schedulers, s)
	return s
}

func (w *world) rules() []rule.Server {
	var rules []rule.Server
	for _, v := range w.servers {
		rules = append(rules, v.rule)
	}
	return rules
}

// lend has each router lend itself to the scheduler that it follows.
func (w *world) lend() {
	for i, s := range w.schedulers {
		var names []string
		for _, r := range w.routers {
			if r.scheduler == i && !r.forgotten {
				names = append(names, r.name)
			}
		}
		listed := len(w.routers)
		if w.delisted {
			listed = len(names)
		}
		s.Lend(w.now, names, listed)
	}
}

// restart empties a router; what it ran stops at the servers.
func (w *world) restart(r *fakeRouter) {
	for _, q := range r.running {
		q.server.running--
	}
	r.waiting, r.running = map[string][]*fakeRequest{}, map[uint64]*fakeRequest{}
	r.seq, r.term, r.seen, r.acknowledged, r.limits = 0, 0, 0, 0, fleet.Limits{}
	r.told, r.done, r.out, r.in, r.afresh = nil, nil, nil, nil, true
}

func (w *world) run(span time.Duration) {
	w.t.Helper()
	for end := w.now + span; w.now < end; {
		w.tick()
		for _, check := range w.checks {
			check(w)
		}
		if w.t.Failed() {
			w.t.Fatalf("failed with seed %d at %v", w.seed, w.now)
		}
	}
}

func (w *world) tick() {
	w.now += time.Millisecond
	for i, r := range w.routers {
		w.serve(r)
		w.arrive(i, r)
		w.send(r)
	}
	w.askAgain()
	w.report()
	for i, s := range w.schedulers {
		w.decide(i, s)
	}
	w.count()
}

// serve moves running requests on, in the order of their grants.
func (w *world) serve(r *fakeRouter) {
	ids := make([]uint64, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		q := r.running[id]
		q.used++
		q.team.used++
		if q.used < q.cost {
			continue
		}
		w.finish(r, id, fleet.OutcomeCompleted)
	}
}

func (w *world) finish(r *fakeRouter, id uint64, outcome fleet.Outcome) {
	q := r.running[id]
	delete(r.running, id)
	q.server.running--
	q.team.finished++
	if q.team.callers > 0 {
		w.later = append(w.later, fakeCall{due: w.now + think, team: q.team})
	}
	r.done = append(r.done, fleet.Done{Grant: id, Outcome: outcome, Cost: q.used, FirstByte: 1000, Service: q.used * 1000})
}

func (w *world) arrive(place int, r *fakeRouter) {
	for _, m := range w.teams {
		if len(m.at) > 0 && !slices.Contains(m.at, place) {
			continue
		}
		for have := len(r.waiting[m.name]); have < m.keep; have++ {
			w.ask(r, m)
		}
	}
}

// think is the time from a caller's answer to its next request: there and back to the router.
const think = 6 * time.Millisecond

func (w *world) askAgain() {
	for len(w.later) > 0 && w.later[0].due <= w.now {
		w.ask(w.routers[0], w.later[0].team)
		w.later = w.later[1:]
	}
}

func (w *world) ask(r *fakeRouter, m *fakeTeam) *fakeRequest {
	cost := 1 + m.cost/2 + w.rng.Int64N(m.cost)
	m.mostCost = max(m.mostCost, cost)
	q := &fakeRequest{team: m, cost: cost, arrived: w.now, router: r}
	r.waiting[m.name] = append(r.waiting[m.name], q)
	return q
}

// lose cuts a router off long enough to be forgotten, with all messages on the way.
func (w *world) lose(r *fakeRouter, span time.Duration) {
	r.forgotten, r.cutTill = true, w.now+span
	r.out, r.in = nil, nil
	w.schedulers[r.scheduler].Forget(w.now, r.name)
	w.lend()
}

// send takes grants that have come, then tells what changed.
func (w *world) send(r *fakeRouter) {
	if w.now < r.cutTill {
		return
	}
	if r.forgotten {
		r.forgotten, r.afresh = false, true
		w.lend()
	}
	for len(r.in) > 0 && r.in[0].due <= w.now {
		w.use(r, r.in[0].grants)
		r.in = r.in[1:]
	}
	d := fleet.Demand{Full: r.afresh, SeenTerm: r.term, Seen: r.seen, Done: r.done}
	if d.Full {
		r.told, r.afresh = map[string]int{}, false
		kept := r.limits
		kept.Servers = slices.Clone(kept.Servers)
		d.Limits = &kept
	}
	for _, m := range w.teams {
		queue := r.waiting[m.name]
		if len(queue) == r.told[m.name] {
			continue
		}
		r.told[m.name] = len(queue)
		d.Waiting = append(d.Waiting, w.tell(m, queue))
	}
	beat := w.now >= r.beat+fleet.HeartbeatPeriod
	if beat || d.Full {
		d.Running = r.runs()
		r.beat = w.now
	}
	m := fakeMessage{basis: w.now.Milliseconds()}
	if d.Full || len(d.Waiting)+len(d.Done)+len(d.Running) > 0 || r.acknowledged != r.seen {
		r.seq++
		d.Seq, r.done, r.acknowledged = r.seq, nil, r.seen
		m.demand = &d
	}
	if beat || m.demand != nil {
		r.out = w.post(r.out, m)
	}
}

func (w *world) tell(m *fakeTeam, queue []*fakeRequest) fleet.TeamDemand {
	d := fleet.TeamDemand{Team: m.name, Waiting: len(queue)}
	if len(queue) > 0 {
		d.OldestWait = (w.now - queue[0].arrived).Milliseconds()
		d.Estimate = max(1, int64(float64(queue[0].cost)*m.hint))
	}
	return d
}

func (r *fakeRouter) runs() []fleet.Running {
	var runs []fleet.Running
	for id, q := range r.running {
		runs = append(runs, fleet.Running{Grant: id, Team: q.team.name, Server: q.server.rule.Name, Cost: q.used})
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Grant < runs[j].Grant })
	return runs
}

// post delays a message without overtaking the one before.
func (w *world) post(queue []fakeMessage, m fakeMessage) []fakeMessage {
	m.due = w.now
	if w.delay > 0 {
		m.due += time.Duration(w.rng.Int64N(int64(w.delay)))
	}
	if n := len(queue); n > 0 {
		m.due = max(m.due, queue[n-1].due)
	}
	return append(queue, m)
}

func (w *world) use(r *fakeRouter, g fleet.Grants) {
	if g.Limits != nil {
		r.limits.Take(*g.Limits)
	}
	late := w.now.Milliseconds() > g.Basis+fleet.GrantLifetime.Milliseconds()
	for _, one := range g.Grants {
		r.term, r.seen = g.Term, one.ID
		queue := r.waiting[one.Team]
		if late || len(queue) == 0 {
			r.done = append(r.done, fleet.Done{Grant: one.ID, Outcome: fleet.OutcomeReturned})
			continue
		}
		q := queue[0]
		r.waiting[one.Team] = queue[1:]
		q.team.waits = append(q.team.waits, w.now-q.arrived)
		q.server = w.server(one.Server)
		r.running[one.ID] = q
		q.server.running++
		q.server.most = max(q.server.most, q.server.running)
	}
}

func (w *world) server(name string) *fakeServer {
	for _, v := range w.servers {
		if v.rule.Name == name {
			return v
		}
	}
	w.t.Fatalf("granted on unknown server %q", name)
	return nil
}

// report sends each server's load report, late by the lag.
func (w *world) report() {
	for _, v := range w.servers {
		if w.now%w.loadPeriod == 0 {
			l := fleet.Load{Server: v.rule.Name, Epoch: v.epoch, Running: v.running, Age: w.loadLag.Milliseconds()}
			if w.stated {
				l.Limit = v.rule.Limit
			}
			v.reports = append(v.reports, fakeReport{due: w.now + w.loadLag, load: l})
		}
		for len(v.reports) > 0 && v.reports[0].due <= w.now {
			for _, s := range w.schedulers {
				if w.unheard {
					continue
				}
				s.Load(w.now, v.reports[0].load)
			}
			v.reports = v.reports[1:]
		}
	}
}

func (w *world) decide(i int, s *Scheduler) {
	for _, r := range w.routers {
		if r.scheduler != i || w.now < r.cutTill {
			continue
		}
		for len(r.out) > 0 && r.out[0].due <= w.now {
			m := r.out[0]
			r.out = r.out[1:]
			if m.demand != nil {
				s.Take(w.now, r.name, r.dataCentre, m.basis, *m.demand)
			} else {
				s.Heard(w.now, r.name, m.basis)
			}
		}
	}
	for _, b := range append(s.Next(w.now), s.TellLimits(w.now)...) {
		for _, r := range w.routers {
			if r.name == b.To {
				r.in = w.post(r.in, fakeMessage{grants: b.Grants})
			}
		}
	}
}

// count sums used and free slots while more work waits than the slots could take.
func (w *world) count() {
	waiting, running, slots := w.waiting(), 0, 0
	for _, v := range w.servers {
		if v.rule.DataCentre == w.out {
			continue
		}
		running += v.running
		slots += v.rule.Limit
	}
	if waiting >= slots-running {
		w.busy += running
		w.idle += slots - running
	}
}

func (w *world) waiting() int {
	n := 0
	for _, r := range w.routers {
		for _, queue := range r.waiting {
			n += len(queue)
		}
	}
	return n
}

func (w *world) utilisation() float64 { return float64(w.busy) / float64(max(1, w.busy+w.idle)) }
