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
	// tick is the step of virtual time.
	tick = time.Millisecond
	// sharePeriod is how often routers hear of each other's load, as it was a period before.
	sharePeriod = 50 * time.Millisecond
	// throughput is the tokens a second that teams share, of the usual number of servers.
	throughput   = 230000
	usualServers = 9
)

// Result is how a run went.
type Result struct {
	Asked, InTime, Late, Refused, Failed int
	Worth                                float64 // earned, as a part of what was asked
	KindWorth                            []float64
	TeamServed                           map[string]float64 // requests in time, as a part of those asked
	FreeRefusals                         int                // refused while a server had half of its slots free and none waiting
	Reread                               float64            // shared tokens read again, as a part of all that was read
	Unfair                               *Unfair            // the first time in which a team got far less than another; nil if there is none
	Busy                                 float64            // the part of the time in which servers had work, while requests came
}

// String gives the figures that tests print.
func (r Result) String() string {
	return fmt.Sprintf("worth %.3f, by kind %.3f, in time %d, late %d, refused %d (%d beside a half empty server), failed %d, read again %.3f",
		r.Worth, r.KindWorth, r.InTime, r.Late, r.Refused, r.FreeRefusals, r.Failed, r.Reread)
}

// world is a run.
type world struct {
	kinds   []Kind
	servers []*server
	byID    map[string]*server
	pools   []*pool.Pool
	waiting map[*pool.Request]*Request
	jobs    []*sending
	sums    []digest.Sum // of all routers, when they were last told
	told    time.Duration
	period  time.Duration // between two tellings
	length  time.Duration // in which requests come
	result  Result
}

// sending is a request at a server.
type sending struct {
	run    *pool.Run
	job    *job
	router int
}

// Run plays a pattern with so many routers and servers.
func Run(p Pattern, kinds []Kind, engine Engine, routers, servers int, seed uint64) Result {
	w := &world{kinds: kinds, byID: map[string]*server{}, waiting: map[*pool.Request]*Request{}, period: p.Period, length: p.Duration}
	if w.period == 0 {
		w.period = sharePeriod
	}
	w.build(engine, routers, servers, throughput*float64(servers)/usualServers)
	requests := draw(&p, kinds, routers, seed)
	next := 0
	for now := time.Duration(0); now < p.Duration+15*time.Second; now += tick {
		for i, at := range p.Lose {
			if now == at {
				w.lose(now, i)
			}
		}
		w.share(now)
		for ; next < len(requests) && requests[next].Arrived <= now; next++ {
			w.arrive(now, requests[next])
		}
		for _, q := range w.pools {
			for _, v := range q.Dispatch(now) {
				w.decide(now, w.waiting[v.Request], v)
			}
		}
		w.serve(now)
	}
	return w.sum(requests)
}

func (w *world) build(engine Engine, routers, servers int, tokens float64) {
	table := route.NewTable(route.Config{
		Services: []route.Service{{Name: serviceName, Model: true, Slots: engine.Slots, CacheTokens: engine.CacheTokens}},
		Routes:   w.routes(), Limits: route.Limits{TokensPerSecond: tokens},
	})
	for i := range routers {
		q := &pool.Pool{Self: fmt.Sprintf("r%d", i), DataCentre: "d", Joined: true}
		q.Configure(table)
		for k := range servers {
			q.SetServer(0, pool.Server{ID: fmt.Sprintf("s%d", k), Service: serviceName, Address: fmt.Sprintf("10.0.0.%d:80", k+1), DataCentre: "d", Slots: engine.Slots})
		}
		w.pools = append(w.pools, q)
	}
	seen := map[uint64]bool{}
	for k := range servers {
		s := &server{engine: engine, seen: seen, id: fmt.Sprintf("s%d", k), kept: map[uint64]time.Duration{}, sizes: map[uint64]int64{}}
		w.servers = append(w.servers, s)
		w.byID[s.id] = s
	}
}

func (w *world) routes() []route.Route {
	var routes []route.Route
	for _, k := range w.kinds {
		routes = append(routes, route.Route{Name: k.Name, Kind: route.KindStream, Objective: k.Objective, Split: []route.WeightedService{{Service: serviceName, Weight: 1}}})
	}
	return routes
}

// lose takes a server away, with all that it runs.
func (w *world) lose(now time.Duration, i int) {
	s := w.servers[i]
	s.down = true
	for _, q := range w.pools {
		q.RemoveServer(now, s.id)
	}
	for _, j := range w.jobs {
		if j.run.Server.ID == s.id {
			j.job.gone = true
		}
	}
}

// share tells each router what the others had in use a moment ago.
func (w *world) share(now time.Duration) {
	if now-w.told < w.period && now > 0 {
		return
	}
	w.told = now
	w.sums = exchange(now, w.pools, w.sums, now >= w.period)
}

// exchange tells each router what all others had in use when it was told last, and gives what each has now.
func exchange(now time.Duration, pools []*pool.Pool, before []digest.Sum, known bool) []digest.Sum {
	var all digest.Sum
	for _, s := range before {
		all.Add(s)
	}
	sums := make([]digest.Sum, 0, len(pools))
	for i, q := range pools {
		var others digest.Sum
		others.Add(all)
		if len(before) > 0 {
			others.Subtract(before[i])
		}
		q.SetPeers(now, others, known, make([]string, len(pools)-1))
	}
	for _, q := range pools {
		sums = append(sums, q.Summary(now))
	}
	return sums
}

func (w *world) arrive(now time.Duration, r *Request) {
	v, decided := w.pools[r.Router].Admit(now, &r.Request)
	if decided {
		w.decide(now, r, v)
		return
	}
	w.waiting[&r.Request] = r
}

func (w *world) decide(now time.Duration, r *Request, v pool.Decision) {
	delete(w.waiting, v.Request)
	if v.Run == nil {
		r.refused, r.ended = true, now
		for _, s := range w.servers {
			if !s.down && 2*len(s.running) < s.engine.Slots && len(s.queue) == 0 {
				w.result.FreeRefusals++
				break
			}
		}
		return
	}
	j := &job{request: r, unread: r.PromptTokens, memory: r.PromptTokens + r.Output}
	s := w.byID[v.Run.Server.ID]
	s.queue = append(s.queue, j)
	w.jobs = append(w.jobs, &sending{v.Run, j, r.Router})
}

// serve lets each server that is not in a step do the next, and ends requests whose time is up.
func (w *world) serve(now time.Duration) {
	for _, s := range w.servers {
		if s.down || now < s.busy {
			continue
		}
		var gave []*job
		took := s.step(now, func(j *job) { gave = append(gave, j) })
		s.busy = now + max(took, tick)
		if now < w.length {
			w.result.Busy += took.Seconds() / w.length.Seconds() / float64(len(w.servers))
		}
		for _, j := range gave {
			j.request.tell(s.busy, j.made, s.engine.Stride)
		}
	}
	kept := w.jobs[:0]
	for _, j := range w.jobs {
		r, q := j.job.request, w.pools[j.router]
		if r.began > 0 && r.began <= now {
			q.Began(now, j.run)
		}
		switch {
		case j.job.made >= r.Output && r.last <= now:
			r.finished, r.ended = true, now
			q.Ended(now, j.run, pool.Result{})
		case now >= r.Deadline || j.job.gone:
			j.job.gone = true
			q.Ended(now, j.run, pool.Result{CallerGone: now >= r.Deadline, Failed: now < r.Deadline})
		default:
			kept = append(kept, j)
		}
	}
	w.jobs = kept
}

// tell notes that a token was made; each stride of them, and the first, is an event.
func (r *Request) tell(at time.Duration, made, stride int64) {
	if r.began == 0 {
		r.began, r.last = at, at
		return
	}
	if made%stride == 0 || made == r.Output {
		r.pause = max(r.pause, at-r.last)
		r.last = at
	}
}

func (w *world) sum(requests []*Request) Result {
	res := w.result
	res.Asked, res.TeamServed = len(requests), map[string]float64{}
	var earned, owed float64
	kindEarned, kindOwed := make([]float64, len(w.kinds)), make([]float64, len(w.kinds))
	teams := map[string]float64{}
	for _, r := range requests {
		k := &w.kinds[r.Kind]
		got := r.worth(k)
		earned, owed = earned+got, owed+k.Worth
		kindEarned[r.Kind] += got
		kindOwed[r.Kind] += k.Worth
		teams[r.Team]++
		switch {
		case got == k.Worth:
			res.InTime++
			res.TeamServed[r.Team]++
		case got > 0:
			res.Late++
		case r.refused:
			res.Refused++
		default:
			res.Failed++
		}
	}
	if u, ok := unfair(requests, w.length); ok {
		res.Unfair = &u
	}
	res.Worth = earned / owed
	for i := range w.kinds {
		res.KindWorth = append(res.KindWorth, kindEarned[i]/max(kindOwed[i], 1e-9))
	}
	for team, n := range teams {
		res.TeamServed[team] /= n
	}
	var reread, all int64
	for _, s := range w.servers {
		reread += s.Reread
		all += s.ReadAll
	}
	res.Reread = float64(reread) / float64(max(1, all))
	return res
}
