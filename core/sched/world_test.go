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

// simulation runs schedulers, entry routers and servers in virtual time, one millisecond per tick.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	seed         uint64
	now          time.Duration
	schedulers   []*Scheduler
	routers      []*fakeRouter
	servers      []*fakeServer
	teams        []*fakeTeam
	maxDelay     time.Duration // maximum one-way delay of a message
	loadPeriod   time.Duration
	loadLag      time.Duration
	dropReports  bool   // load reports are lost
	reportLimits bool   // load reports include the limit
	out          string // data centre out of service
	pendingCalls []fakeCall
	delisted     bool // the platform's list drops lost routers at once
	checks       []func(w *simulation)
	idle, busy   int // free and used slots, summed over ticks in which requests wait
}

type fakeCall struct {
	due  time.Duration
	team *fakeTeam
}

type fakeTeam struct {
	name     string
	share    int
	cost     int64   // mean cost, in ticks of service
	hint     float64 // hint divided by actual cost
	callers  int     // callers at the first router that send their next request after thinkTime
	backlog  int     // number of requests kept waiting at each router
	routers  []int   // indexes of the routers that it uses; empty for all
	used     int64   // cost units served, as counted by the servers
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
	name, dataCentre  string
	scheduler         int
	seq               uint64
	term, seen        uint64
	waiting           map[string][]*fakeRequest
	running           map[uint64]*fakeRequest
	reported          map[string]int
	progress          bool
	done              []fleet.Done
	outbox            []fakeMessage
	inbox             []fakeMessage
	disconnectedUntil time.Duration
	lastHeartbeat     time.Duration
	forgotten         bool
	sendFull          bool // the next demand must be full
	acknowledged      uint64
	limits            fleet.Limits
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

func newSimulation(t *testing.T, seed uint64, routers, servers, limit int) *simulation {
	t.Helper()
	w := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), loadPeriod: 200 * time.Millisecond}
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
	w.lendRouters()
	return w
}

func (w *simulation) addScheduler(settings Settings) *Scheduler {
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

func (w *simulation) rules() []rule.Server {
	var rules []rule.Server
	for _, v := range w.servers {
		rules = append(rules, v.rule)
	}
	return rules
}

// lendRouters makes each router a lender of the scheduler that it follows.
func (w *simulation) lendRouters() {
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
		s.SetLenders(w.now, names, listed)
	}
}

// restart resets a router and ends its requests on the servers.
func (w *simulation) restart(r *fakeRouter) {
	for _, q := range r.running {
		q.server.running--
	}
	r.waiting, r.running = map[string][]*fakeRequest{}, map[uint64]*fakeRequest{}
	r.seq, r.term, r.seen, r.acknowledged, r.limits = 0, 0, 0, 0, fleet.Limits{}
	r.reported, r.done, r.outbox, r.inbox, r.sendFull = nil, nil, nil, nil, true
}

func (w *simulation) run(span time.Duration) {
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

func (w *simulation) tick() {
	w.now += time.Millisecond
	for i, r := range w.routers {
		w.progress(r)
		w.arrive(i, r)
		w.exchange(r)
	}
	w.enqueueDue()
	w.report()
	for i, s := range w.schedulers {
		w.decide(i, s)
	}
	w.count()
}

// progress advances the running requests by one tick, in the order of their grants.
func (w *simulation) progress(r *fakeRouter) {
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

func (w *simulation) finish(r *fakeRouter, id uint64, outcome fleet.Outcome) {
	q := r.running[id]
	delete(r.running, id)
	q.server.running--
	q.team.finished++
	if q.team.callers > 0 {
		w.pendingCalls = append(w.pendingCalls, fakeCall{due: w.now + thinkTime, team: q.team})
	}
	r.done = append(r.done, fleet.Done{Grant: id, Outcome: outcome, Cost: q.used, FirstByte: 1000, Service: q.used * 1000})
}

func (w *simulation) arrive(place int, r *fakeRouter) {
	for _, m := range w.teams {
		if len(m.routers) > 0 && !slices.Contains(m.routers, place) {
			continue
		}
		for have := len(r.waiting[m.name]); have < m.backlog; have++ {
			w.enqueue(r, m)
		}
	}
}

// thinkTime is the time from a caller's answer to its next request: one round trip to the router.
const thinkTime = 6 * time.Millisecond

func (w *simulation) enqueueDue() {
	for len(w.pendingCalls) > 0 && w.pendingCalls[0].due <= w.now {
		w.enqueue(w.routers[0], w.pendingCalls[0].team)
		w.pendingCalls = w.pendingCalls[1:]
	}
}

func (w *simulation) enqueue(r *fakeRouter, m *fakeTeam) *fakeRequest {
	cost := 1 + m.cost/2 + w.rng.Int64N(m.cost)
	m.mostCost = max(m.mostCost, cost)
	q := &fakeRequest{team: m, cost: cost, arrived: w.now, router: r}
	r.waiting[m.name] = append(r.waiting[m.name], q)
	return q
}

// disconnect cuts a router off long enough for its scheduler to forget it, and drops the messages in transit.
func (w *simulation) disconnect(r *fakeRouter, span time.Duration) {
	r.forgotten, r.disconnectedUntil = true, w.now+span
	r.outbox, r.inbox = nil, nil
	w.schedulers[r.scheduler].RemoveRouter(w.now, r.name)
	w.lendRouters()
}

// exchange delivers the grants that have arrived, then sends the router's changed demand.
func (w *simulation) exchange(r *fakeRouter) {
	if w.now < r.disconnectedUntil {
		return
	}
	if r.forgotten {
		r.forgotten, r.sendFull = false, true
		w.lendRouters()
	}
	for len(r.inbox) > 0 && r.inbox[0].due <= w.now {
		w.receiveGrants(r, r.inbox[0].grants)
		r.inbox = r.inbox[1:]
	}
	d := fleet.Demand{Full: r.sendFull, SeenTerm: r.term, Seen: r.seen, Done: r.done}
	if d.Full {
		r.reported, r.sendFull = map[string]int{}, false
		kept := r.limits
		kept.Servers = slices.Clone(kept.Servers)
		d.Limits = &kept
	}
	for _, m := range w.teams {
		queue := r.waiting[m.name]
		if len(queue) == r.reported[m.name] {
			continue
		}
		r.reported[m.name] = len(queue)
		d.Waiting = append(d.Waiting, w.teamDemand(m, queue))
	}
	beat := w.now >= r.lastHeartbeat+fleet.HeartbeatPeriod
	if beat || d.Full {
		d.Running = r.runningList()
		r.lastHeartbeat = w.now
	}
	m := fakeMessage{basis: w.now.Milliseconds()}
	if d.Full || len(d.Waiting)+len(d.Done)+len(d.Running) > 0 || r.acknowledged != r.seen {
		r.seq++
		d.Seq, r.done, r.acknowledged = r.seq, nil, r.seen
		m.demand = &d
	}
	if beat || m.demand != nil {
		r.outbox = w.post(r.outbox, m)
	}
}

func (w *simulation) teamDemand(m *fakeTeam, queue []*fakeRequest) fleet.TeamDemand {
	d := fleet.TeamDemand{Team: m.name, Waiting: len(queue)}
	if len(queue) > 0 {
		d.OldestWait = (w.now - queue[0].arrived).Milliseconds()
		d.Estimate = max(1, int64(float64(queue[0].cost)*m.hint))
	}
	return d
}

func (r *fakeRouter) runningList() []fleet.Running {
	var runs []fleet.Running
	for id, q := range r.running {
		runs = append(runs, fleet.Running{Grant: id, Team: q.team.name, Server: q.server.rule.Name, Cost: q.used})
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Grant < runs[j].Grant })
	return runs
}

// post appends a message with a random delay, without reordering.
func (w *simulation) post(queue []fakeMessage, m fakeMessage) []fakeMessage {
	m.due = w.now
	if w.maxDelay > 0 {
		m.due += time.Duration(w.rng.Int64N(int64(w.maxDelay)))
	}
	if n := len(queue); n > 0 {
		m.due = max(m.due, queue[n-1].due)
	}
	return append(queue, m)
}

func (w *simulation) receiveGrants(r *fakeRouter, g fleet.Grants) {
	if g.Limits != nil {
		r.limits.Merge(*g.Limits)
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

func (w *simulation) server(name string) *fakeServer {
	for _, v := range w.servers {
		if v.rule.Name == name {
			return v
		}
	}
	w.t.Fatalf("grant names unknown server %q", name)
	return nil
}

// report sends each server's load report, delayed by loadLag.
func (w *simulation) report() {
	for _, v := range w.servers {
		if w.now%w.loadPeriod == 0 {
			l := fleet.Load{Server: v.rule.Name, Epoch: v.epoch, Running: v.running, Age: w.loadLag.Milliseconds()}
			if w.reportLimits {
				l.Limit = v.rule.Limit
			}
			v.reports = append(v.reports, fakeReport{due: w.now + w.loadLag, load: l})
		}
		for len(v.reports) > 0 && v.reports[0].due <= w.now {
			for _, s := range w.schedulers {
				if w.dropReports {
					continue
				}
				s.ObserveLoad(w.now, v.reports[0].load)
			}
			v.reports = v.reports[1:]
		}
	}
}

func (w *simulation) decide(i int, s *Scheduler) {
	for _, r := range w.routers {
		if r.scheduler != i || w.now < r.disconnectedUntil {
			continue
		}
		for len(r.outbox) > 0 && r.outbox[0].due <= w.now {
			m := r.outbox[0]
			r.outbox = r.outbox[1:]
			if m.demand != nil {
				s.ReceiveDemand(w.now, r.name, r.dataCentre, m.basis, *m.demand)
			} else {
				s.UpdateBasis(w.now, r.name, m.basis)
			}
		}
	}
	for _, b := range append(s.Next(w.now), s.LimitUpdates(w.now)...) {
		for _, r := range w.routers {
			if r.name == b.To {
				r.inbox = w.post(r.inbox, fakeMessage{grants: b.Grants})
			}
		}
	}
}

// count sums used and free slots in ticks in which at least as many requests wait as slots are free.
func (w *simulation) count() {
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

func (w *simulation) waiting() int {
	n := 0
	for _, r := range w.routers {
		for _, queue := range r.waiting {
			n += len(queue)
		}
	}
	return n
}

func (w *simulation) utilisation() float64 { return float64(w.busy) / float64(max(1, w.busy+w.idle)) }
