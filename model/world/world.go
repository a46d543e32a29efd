package world

import (
	"fmt"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

const (
	serviceName = "chat"
	// tick is the resolution of virtual time.
	tick = time.Millisecond
	// reportPeriod is the interval between load reports; a report describes the load one period earlier.
	reportPeriod = 50 * time.Millisecond
	// usualThroughput is the tokens per second that teams share on usualServers servers.
	usualThroughput = 230000
	usualServers    = 9
)

// Result is the outcome of a simulation.
type Result struct {
	Requests, InTime, Late, Rejected, Failed int
	Worth                                    float64 // earned, as a fraction of the worth of all requests
	KindWorth                                []float64
	TeamServed                               map[string]float64 // fraction of each team's requests served in time
	RejectedWhileIdle                        int                // rejected while a server had over half of its slots free and an empty queue
	Recomputed                               float64            // shared tokens prefilled again, as a fraction of all prefilled tokens
	Unfair                                   *UnfairWindow      // first window that violates the fairness rule; nil if there is none
	Utilisation                              float64            // fraction of the time that servers were busy while requests arrived
	Balance                                  Balance            // measured only in patterns with StaleNews
}

// String returns the figures that tests log.
func (r Result) String() string {
	return fmt.Sprintf("worth %.3f, by kind %.3f, in time %d, late %d, refused %d (%d beside a half empty server), failed %d, read again %.3f",
		r.Worth, r.KindWorth, r.InTime, r.Late, r.Rejected, r.RejectedWhileIdle, r.Failed, r.Recomputed)
}

// simulation is the state of one run.
type simulation struct {
	kinds        []Kind
	servers      []*server
	byID         map[string]*server
	pools        []*pool.Pool
	waiting      map[*pool.Request]*Request
	attempts     []*attempt
	reports      []digest.Sum // of all routers, at reportedAt
	reportedAt   time.Duration
	reportPeriod time.Duration // between load reports
	duration     time.Duration // time in which requests arrive
	table        *route.Table
	news         staleNews
	disturbance  Disturbance
	balance      balanceMeter
	result       Result
}

// attempt is a request that was sent to a server.
type attempt struct {
	run      *pool.Run
	job      *job
	pool     *pool.Pool // state of the router that sent it
	reported bool       // the response told the server's load
}

// Run simulates a pattern with the given numbers of routers and servers.
func Run(p Pattern, kinds []Kind, engine Engine, routers, servers int, seed uint64) Result {
	w := &simulation{kinds: kinds, byID: map[string]*server{}, waiting: map[*pool.Request]*Request{}, reportPeriod: p.ReportPeriod, duration: p.Duration}
	if w.reportPeriod == 0 {
		w.reportPeriod = reportPeriod
	}
	throughput := usualThroughput * float64(servers) / usualServers
	if p.NoShares {
		throughput = 0
	}
	w.build(engine, routers, servers, throughput)
	w.makeUneven(&p, seed)
	requests := generateRequests(&p, kinds, routers, seed)
	next := 0
	for now := time.Duration(0); now < p.Duration+15*time.Second; now += tick {
		for i, at := range p.FailAt {
			if now == at {
				w.failServer(now, i)
			}
		}
		w.exchangeLoads(now, &p)
		for ; next < len(requests) && requests[next].Arrived <= now; next++ {
			w.arrive(now, requests[next])
		}
		for _, q := range w.pools {
			for _, v := range q.Dispatch(now) {
				w.applyDecision(now, w.waiting[v.Request], v)
			}
		}
		w.runServers(now)
	}
	return w.summarise(requests)
}

func (w *simulation) build(engine Engine, routers, servers int, tokens float64) {
	w.table = route.NewTable(route.Config{
		Services: []route.Service{{Name: serviceName, Model: true, Slots: engine.Slots, CacheTokens: engine.CacheTokens}},
		Routes:   w.routes(), Limits: route.Limits{TokensPerSecond: tokens},
	})
	for i := range routers {
		w.pools = append(w.pools, w.newPool(0, i, servers, engine.Slots))
	}
	seen := map[uint64]bool{}
	for k := range servers {
		s := &server{engine: engine, prefilled: seen, id: fmt.Sprintf("s%d", k), lastUse: map[uint64]time.Duration{}, partTokens: map[uint64]int64{}}
		w.servers = append(w.servers, s)
		w.byID[s.id] = s
	}
}

// newPool returns the state of a router that knows the servers and nothing of their load.
func (w *simulation) newPool(now time.Duration, i, servers, slots int) *pool.Pool {
	q := &pool.Pool{Self: fmt.Sprintf("r%d", i), DataCentre: "d", Joined: true}
	q.Configure(w.table)
	for k := range servers {
		q.SetServer(now, pool.Server{ID: fmt.Sprintf("s%d", k), Service: serviceName, Address: fmt.Sprintf("10.0.0.%d:80", k+1), DataCentre: "d", Slots: slots})
	}
	return q
}

func (w *simulation) routes() []route.Route {
	var routes []route.Route
	for _, k := range w.kinds {
		routes = append(routes, route.Route{Name: k.Name, Kind: route.KindStream, Objective: k.Objective, Split: []route.WeightedService{{Service: serviceName, Weight: 1}}})
	}
	return routes
}

// failServer removes a server and fails its requests.
func (w *simulation) failServer(now time.Duration, i int) {
	s := w.servers[i]
	s.down = true
	for _, q := range w.pools {
		q.RemoveServer(now, s.id)
	}
	for _, j := range w.attempts {
		if j.run.Server.ID == s.id {
			j.job.cancelled = true
		}
	}
}

// reportLoads delivers the previous load reports to all routers once per report period.
func (w *simulation) reportLoads(now time.Duration) {
	if now-w.reportedAt < w.reportPeriod && now > 0 {
		return
	}
	w.reportedAt = now
	w.reports = exchangeReports(now, w.pools, w.reports, now >= w.reportPeriod)
}

// exchangeReports gives each router the sum of the others' previous reports and returns the current report of each.
func exchangeReports(now time.Duration, pools []*pool.Pool, previous []digest.Sum, known bool) []digest.Sum {
	var total digest.Sum
	for _, s := range previous {
		total.Add(s)
	}
	reports := make([]digest.Sum, 0, len(pools))
	for i, q := range pools {
		var others digest.Sum
		others.Add(total)
		if len(previous) > 0 {
			others.Subtract(previous[i])
		}
		q.SetPeers(now, others, known, make([]string, len(pools)-1))
	}
	for _, q := range pools {
		reports = append(reports, q.Summary(now))
	}
	return reports
}

func (w *simulation) arrive(now time.Duration, r *Request) {
	v, decided := w.pools[r.Router].Admit(now, &r.Request)
	if decided {
		w.applyDecision(now, r, v)
		return
	}
	w.waiting[&r.Request] = r
}

func (w *simulation) applyDecision(now time.Duration, r *Request, v pool.Decision) {
	delete(w.waiting, v.Request)
	if v.Run == nil {
		r.rejected, r.ended = true, now
		for _, s := range w.servers {
			if !s.down && 2*len(s.running) < s.engine.Slots && len(s.queue) == 0 {
				w.result.RejectedWhileIdle++
				break
			}
		}
		return
	}
	j := &job{request: r, unprefilled: r.PromptTokens, memory: r.PromptTokens + r.Output}
	s := w.byID[v.Run.Server.ID]
	w.balance.observeSend(w.servers, s, r)
	s.queue = append(s.queue, j)
	w.attempts = append(w.attempts, &attempt{run: v.Run, job: j, pool: w.pools[r.Router]})
	r.sent = now
}

// runServers runs the next step of each idle server and ends requests that completed, failed or passed their deadline.
func (w *simulation) runServers(now time.Duration) {
	for _, s := range w.servers {
		if s.down || now < s.busyUntil {
			continue
		}
		var emitting []*job
		elapsed := s.paced(now, s.step(now, func(j *job) { emitting = append(emitting, j) }))
		s.busyUntil = now + max(elapsed, tick)
		if now < w.duration {
			w.result.Utilisation += elapsed.Seconds() / w.duration.Seconds() / float64(len(w.servers))
		}
		for _, j := range emitting {
			j.request.noteToken(s.busyUntil, j.generated, s.engine.TokensPerEvent)
		}
	}
	active := w.attempts[:0]
	for _, j := range w.attempts {
		r, q := j.job.request, j.pool
		if r.firstEvent > 0 && r.firstEvent <= now {
			w.reportInResponse(now, q, j)
			q.Began(now, j.run)
		}
		switch {
		case j.job.generated >= r.Output && r.lastEvent <= now:
			r.finished, r.ended = true, now
			q.Ended(now, j.run, pool.Result{})
		case now >= r.Deadline || j.job.cancelled:
			j.job.cancelled = true
			q.Ended(now, j.run, pool.Result{CallerGone: now >= r.Deadline, Failed: now < r.Deadline})
		default:
			active = append(active, j)
		}
	}
	w.attempts = active
}

// noteToken records a generated token. The first token, every tokensPerEvent-th and the last are events.
func (r *Request) noteToken(at time.Duration, generated, tokensPerEvent int64) {
	if r.firstEvent == 0 {
		r.firstEvent, r.lastEvent = at, at
		return
	}
	if generated%tokensPerEvent == 0 || generated == r.Output {
		r.maxGap = max(r.maxGap, at-r.lastEvent)
		r.lastEvent = at
	}
}

func (w *simulation) summarise(requests []*Request) Result {
	res := w.result
	res.Requests, res.TeamServed = len(requests), map[string]float64{}
	var earned, offered float64
	kindEarned, kindOffered := make([]float64, len(w.kinds)), make([]float64, len(w.kinds))
	teams := map[string]float64{}
	for _, r := range requests {
		k := &w.kinds[r.Kind]
		got := r.earnedWorth(k)
		earned, offered = earned+got, offered+k.Worth
		kindEarned[r.Kind] += got
		kindOffered[r.Kind] += k.Worth
		teams[r.Team]++
		switch {
		case got == k.Worth:
			res.InTime++
			res.TeamServed[r.Team]++
		case got > 0:
			res.Late++
		case r.rejected:
			res.Rejected++
		default:
			res.Failed++
		}
	}
	if u, ok := findUnfairWindow(requests, w.duration); ok {
		res.Unfair = &u
	}
	res.Worth = earned / offered
	for i := range w.kinds {
		res.KindWorth = append(res.KindWorth, kindEarned[i]/max(kindOffered[i], 1e-9))
	}
	for team, n := range teams {
		res.TeamServed[team] /= n
	}
	var recomputed, total int64
	for _, s := range w.servers {
		recomputed += s.recomputedTokens
		total += s.prefillTokens
	}
	res.Recomputed = float64(recomputed) / float64(max(1, total))
	res.Balance = w.balance.summarise(requests, w.kinds)
	return res
}
