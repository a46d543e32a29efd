package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

const (
	shortServers  = 7
	shortQueue    = 24               // requests beyond which a server refuses
	shortDeadline = 4 * time.Second  // time that a caller gives a request
	shortTimeout  = 2 * time.Second  // of the routes
	shortStart    = 3 * time.Second  // start of the overload
	shortEnd      = 13 * time.Second // end of the overload
	shortSilence  = 5 * time.Second
	shortPause    = 600 * time.Millisecond
	shortSlowness = 2.5 // factor of the time that work takes at the slow server
	// calmLoad is the load before the overload, as a fraction of capacity.
	calmLoad = 0.7
	// minInTime is the fraction of the best possible share of requests answered in time that must be reached: a router's
	// information is up to a third of the objective older than a service time, and one server of seven slows down unannounced.
	minInTime = 0.8
	// maxLateShare is the share of requests that may get a late response.
	maxLateShare = 0.1
	// minRouteRatio is the fraction of the best served route's share that each route must get.
	minRouteRatio = 0.8
	safeFraction  = 0.3 // fraction of the requests on the idempotent route
)

// shortCase is an overload of the servers of a plain service.
type shortCase struct {
	routers   int
	overload  float64       // demand as a multiple of the capacity of all servers
	lost      int           // servers that are removed when the overload starts
	hot       bool          // one router sees half of the requests
	work      time.Duration // mean without the slow requests
	objective time.Duration
	silent    bool    // routers hear nothing of each other from shortSilence on
	minInTime float64 // if another fraction than minInTime is to be reached
}

// shortCaller is a caller that returns once after a refusal.
type shortCaller struct {
	job      *plainJob
	safe     bool
	began    time.Duration // its first try
	returned bool
	measured bool // it came during the overload
	retried  bool // the router has sent the request a second time
	returnAt time.Duration
}

// shortShares are the shares of the requests during the overload.
type shortShares struct {
	requests, inTime, late, refused, turnedAway int
}

func (s shortShares) share(n int) float64 { return float64(n) / float64(max(1, s.requests)) }

func (s shortShares) String() string {
	return fmt.Sprintf("%d requests: in time %.3f, late %.3f, refused twice %.3f (by servers %d)", s.requests, s.share(s.inTime), s.share(s.late), s.share(s.refused), s.turnedAway)
}

// shortSimulation simulates callers that return once, many routers and a few plain servers.
type shortSimulation struct {
	c         shortCase
	rng       *rand.Rand
	pools     []*pool.Pool
	weights   []float64
	reports   []digest.Sum
	servers   []*plainServer
	waiting   map[*pool.Request]*shortCaller
	running   map[*plainJob]*shortCaller
	returning []*shortCaller
	requests  int
	slow      int
	shares    map[bool]*shortShares
	queued    []float64 // mean requests at a server in each 100 ms of the overload
}

func newShortSimulation(c shortCase, seed uint64) *shortSimulation {
	w := &shortSimulation{
		c: c, rng: rand.New(rand.NewPCG(seed, 11)), waiting: map[*pool.Request]*shortCaller{}, running: map[*plainJob]*shortCaller{},
		shares: map[bool]*shortShares{true: {}, false: {}},
	}
	dataCentres := []string{"north", "east", "south"} // with 3, 3 and 1 servers
	services := []route.WeightedService{{Service: plainName, Weight: 1}}
	table := route.NewTable(route.Config{Services: []route.Service{{Name: plainName, Slots: plainSlots}}, Routes: []route.Route{
		{Name: "read", Kind: route.KindSafe, Objective: c.objective, Timeout: shortTimeout, Split: services},
		{Name: "write", Kind: route.KindUnsafe, Objective: c.objective, Timeout: shortTimeout, Split: services},
	}})
	for range shortServers {
		w.servers = append(w.servers, &plainServer{free: plainSlots})
	}
	sum := 0.0
	for i := range c.routers {
		q := &pool.Pool{Self: fmt.Sprint("r", i), DataCentre: dataCentres[i%len(dataCentres)], Joined: true}
		q.Configure(table)
		for k := range w.servers {
			q.SetServer(0, pool.Server{ID: fmt.Sprint("d", k), Service: plainName, Address: fmt.Sprintf("10.0.0.%d:80", k), DataCentre: dataCentres[k/3], Slots: plainSlots})
		}
		w.pools = append(w.pools, q)
		weight := 1 + 5*w.rng.Float64() // a router sees one to six requests a second
		w.weights, sum = append(w.weights, weight), sum+weight
	}
	if c.hot {
		w.weights[0] += sum
		sum *= 2
	}
	for i := range w.weights {
		w.weights[i] /= sum
	}
	return w
}

// drawWork returns how long a request takes at a server of usual speed, in whole ticks.
func (w *shortSimulation) drawWork() time.Duration {
	const spread = 0.5
	work := float64(w.c.work) * math.Exp(spread*w.rng.NormFloat64()-spread*spread/2)
	if w.rng.IntN(100) == 0 {
		work *= 5
	}
	return (time.Duration(min(work, 7.5*float64(w.c.work))) + tick - 1) / tick * tick
}

// capacity returns the requests per second that a number of servers can process, one of seven of which is slow.
func (w *shortSimulation) capacity(servers int) float64 {
	const samples = 20000
	var sum time.Duration
	for range samples {
		sum += w.drawWork()
	}
	usual := float64(shortServers-1)/shortServers + 1/shortSlowness/shortServers
	return float64(servers*plainSlots) * usual / (sum.Seconds() / samples)
}

func (w *shortSimulation) router() int {
	x := w.rng.Float64()
	for i, weight := range w.weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return len(w.weights) - 1
}

// arrive sends a caller's request to a router: on its return that is any router.
func (w *shortSimulation) arrive(now time.Duration, c *shortCaller) {
	w.requests++
	c.job = &plainJob{router: w.router(), arrived: now}
	left := c.began + shortDeadline - now
	a := &pool.Request{
		ID: fmt.Sprint(w.requests), Service: plainName, Route: map[bool]string{true: "read", false: "write"}[c.safe], Arrived: now, Objective: now + w.c.objective,
		Deadline: now + min(shortTimeout, left), CallerTime: left,
	}
	w.admit(now, a, c)
}

func (w *shortSimulation) admit(now time.Duration, a *pool.Request, c *shortCaller) {
	w.waiting[a] = c
	if v, decided := w.pools[c.job.router].Admit(now, a); decided {
		w.applyDecision(now, v)
	}
}

func (w *shortSimulation) applyDecision(now time.Duration, v pool.Decision) {
	c := w.waiting[v.Request]
	delete(w.waiting, v.Request)
	if v.Run == nil {
		w.refuse(now, c, v.RetryAfter)
		return
	}
	d := w.serverOf(v.Run)
	if len(d.queue) < shortQueue {
		c.job.run = v.Run
		d.queue = append(d.queue, c.job)
		w.running[c.job] = c
		return
	}
	q := w.pools[c.job.router]
	q.ObserveLoad(now, v.Run, pool.Load{Running: plainSlots - d.free, Waiting: len(d.queue), Slots: plainSlots})
	q.Ended(now, v.Run, pool.Result{Rejected: true})
	w.shares[c.safe].turnedAway++
	if c.retried {
		w.refuse(now, c, 250*time.Millisecond)
		return
	}
	c.retried = true
	a := *v.Request
	w.admit(now, &pool.Request{
		ID: a.ID, Service: a.Service, Route: a.Route, Arrived: now, Objective: now + w.c.objective, Deadline: a.Deadline, CallerTime: a.CallerTime,
		Tried: []string{v.Run.Server.ID}, Retry: true,
	}, c)
}

func (w *shortSimulation) serverOf(r *pool.Run) *plainServer {
	return w.servers[int(r.Server.ID[1]-'0')]
}

// refuse lets a caller return once, after Retry-After or a third of the time that it has left.
func (w *shortSimulation) refuse(now time.Duration, c *shortCaller, retryAfter time.Duration) {
	if c.returned {
		if c.measured {
			w.shares[c.safe].refused++
		}
		return
	}
	c.returned, c.retried = true, false
	c.returnAt = now + min(retryAfter, (c.began+shortDeadline-now)/3)
	w.returning = append(w.returning, c)
}

func (w *shortSimulation) runServers(now time.Duration) {
	if now%shortPause == 0 {
		w.slow = w.rng.IntN(shortServers)
	}
	for i, d := range w.servers {
		work := func() time.Duration {
			if i == w.slow {
				return time.Duration(shortSlowness*float64(w.drawWork())/float64(tick)+0.5) * tick
			}
			return w.drawWork()
		}
		for _, j := range d.step(now, work) {
			c, q := w.running[j], w.pools[j.router]
			delete(w.running, j)
			q.ObserveLoad(now, j.run, pool.Load{Running: plainSlots - d.free, Waiting: len(d.queue), Slots: plainSlots})
			q.Ended(now, j.run, pool.Result{})
			if s := w.shares[c.safe]; c.measured && now-c.began <= w.c.objective {
				s.inTime++
			} else if c.measured {
				s.late++
			}
		}
	}
}

// callersReturn lets the callers return whose time has come.
func (w *shortSimulation) callersReturn(now time.Duration) {
	kept := w.returning[:0]
	var due []*shortCaller
	for _, c := range w.returning {
		if c.returnAt <= now {
			due = append(due, c)
		} else {
			kept = append(kept, c)
		}
	}
	w.returning = kept
	for _, c := range due {
		w.arrive(now, c)
	}
}

// removeServers takes servers out of service, as an operator does: what they run ends there.
func (w *shortSimulation) removeServers(now time.Duration) {
	for i := range w.c.lost {
		for _, q := range w.pools {
			q.RemoveServer(now, fmt.Sprint("d", i))
		}
	}
}

func (w *shortSimulation) run() {
	all, left := w.capacity(shortServers), w.capacity(shortServers-w.c.lost)
	for now := time.Duration(0); now < shortEnd+shortDeadline+shortTimeout; now += tick {
		if now%grownPeriod == 0 {
			if w.reports = exchangeReports(now, w.pools, w.reports, now > 0 && !w.c.silent || now > 0 && now < shortSilence); now >= shortSilence && w.c.silent {
				w.reports = nil
			}
		}
		if now == shortStart {
			w.removeServers(now)
		}
		rate := calmLoad * all
		if now >= shortStart && now < shortEnd {
			rate = w.c.overload * left
			w.observeQueues(now)
		}
		for n := poisson(w.rng, rate*tick.Seconds()); n > 0 && now < shortEnd+shortDeadline; n-- {
			c := &shortCaller{safe: w.rng.Float64() < safeFraction, began: now, measured: now >= shortStart && now < shortEnd}
			if c.measured {
				w.shares[c.safe].requests++
			}
			w.arrive(now, c)
		}
		w.callersReturn(now)
		for _, q := range w.pools {
			for _, v := range q.Dispatch(now) {
				w.applyDecision(now, v)
			}
		}
		w.runServers(now)
	}
}

func (w *shortSimulation) observeQueues(now time.Duration) {
	if now%(100*time.Millisecond) != 0 || now < shortStart+2*time.Second {
		return
	}
	n := 0
	for _, d := range w.servers[w.c.lost:] {
		n += plainSlots - d.free + len(d.queue)
	}
	w.queued = append(w.queued, float64(n)/float64(len(w.servers)-w.c.lost))
}

// meanAndSpread returns the mean and the standard deviation of the requests at a server.
func (w *shortSimulation) meanAndSpread() (float64, float64) {
	var sum, squares float64
	for _, n := range w.queued {
		sum, squares = sum+n, squares+n*n
	}
	count := float64(len(w.queued))
	return sum / count, math.Sqrt(max(0, squares/count-sum*sum/count/count))
}

// TestPlainServersShortOfCapacity guards against servers whose capacity goes to requests that are answered too late to be of
// use, to callers that return after a refusal in place of those who may still be answered in time, or to one route only.
func TestPlainServersShortOfCapacity(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	tests := map[string]shortCase{
		"73 routers, 1.5 times": {routers: 73, overload: 1.5, work: 60 * ms, objective: 300 * ms},
		"73 routers, 2.5 times": {routers: 73, overload: 2.5, work: 60 * ms, objective: 300 * ms},
		"9 routers, 1.5 times":  {routers: 9, overload: 1.5, work: 60 * ms, objective: 300 * ms},
		"9 routers, 2.5 times":  {routers: 9, overload: 2.5, work: 60 * ms, objective: 300 * ms},
		"a data centre leaves":  {routers: 77, overload: 1.6, lost: 3, work: 60 * ms, objective: 300 * ms},
		"one router sees half":  {routers: 73, overload: 2, work: 60 * ms, objective: 300 * ms, hot: true},
		"objective of 150 ms":   {routers: 73, overload: 1.5, work: 30 * ms, objective: 150 * ms},
		// Routers know only what servers report to them: not whether a server has just slowed down or got many requests.
		"73 routers, sums stop":        {routers: 73, overload: 2, work: 60 * ms, objective: 300 * ms, silent: true, minInTime: 0.5},
		"short work, one sees half it": {routers: 73, overload: 2, work: 15 * ms, objective: 100 * ms, hot: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newShortSimulation(c, 3)
			w.run()
			w.check(t)
		})
	}
}

func (w *shortSimulation) check(t *testing.T) {
	read, write := *w.shares[true], *w.shares[false]
	all := shortShares{read.requests + write.requests, read.inTime + write.inTime, read.late + write.late, read.refused + write.refused, read.turnedAway + write.turnedAway}
	best := 1 / w.c.overload
	mean, spread := w.meanAndSpread()
	t.Logf("%v; best possible %.3f, ratio %.3f; requests at a server %.1f +- %.1f; by route in time %.3f and %.3f", all, best, all.share(all.inTime)/best, mean, spread, read.share(read.inTime), write.share(write.inTime))
	atLeast := minInTime
	if w.c.minInTime > 0 {
		atLeast = w.c.minInTime
	}
	if share := all.share(all.inTime); share < atLeast*best {
		t.Errorf("%.3f of the requests answered in time, want at least %.2f of %.3f", share, atLeast, best)
	}
	if share := all.share(all.late); share > maxLateShare {
		t.Errorf("%.3f of the requests answered late, want at most %.2f", share, maxLateShare)
	}
	a, b := read.share(read.inTime), write.share(write.inTime)
	if min(a, b) < minRouteRatio*max(a, b) {
		t.Errorf("%.3f of the one and %.3f of the other route answered in time, want at least %.2f of each other", a, b, minRouteRatio)
	}
}
