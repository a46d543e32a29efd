package world

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangolug.org/core/ready"
	"mangolug.org/core/valve"
)

// EntranceModel is a data centre's routers behind a load balancer, with one client whose connections enter at the first ready router.
type EntranceModel struct {
	Router     RouterModel
	AcceptCost time.Duration // processor time of a new connection
	Routers    int
	Known      int           // live routers of the data centre as each router knows; 0 for all
	Rate       int           // requests per second of the client
	Background int           // requests per second of other clients, at each router
	Patience   time.Duration // longest Retry-After that the client waits for
	Duration   time.Duration
}

// EntranceResult counts the outcomes of the client's requests.
type EntranceResult struct {
	Requests, Served, Refused, Failed int
	ServedBySecond                    []int
	Taking                            []int           // requests served by each router
	NotReady                          []time.Duration // time for which each router reported that it was not ready
	Turns                             int             // how often a router became not ready
}

// fleetRouters is the number of routers of all data centres.
const fleetRouters = 77

// entranceRouter is one router.
type entranceRouter struct {
	limiter        valve.ConcurrencyLimiter
	decider        ready.Decider
	idleAt         time.Duration // when its processor has done all tasks so far
	open           int
	conns          int // of the client
	rejectedAt     time.Duration
	lag            time.Duration
	misses         int // consecutive probes answered as not ready
	notReady       bool
	used, refusing time.Duration // processor time since the last measurement, and that of refusals
}

type entranceSim struct {
	EntranceModel
	events  taskHeap
	seq     int
	routers []*entranceRouter
	idle    []int // routers of the client's idle connections, the last used last
	random  *rand.Rand
	result  EntranceResult
}

// RunEntrance simulates a client whose rate is far beyond what one router serves.
func RunEntrance(m EntranceModel) EntranceResult {
	w := &entranceSim{EntranceModel: m, random: rand.New(rand.NewPCG(1, 1))}
	w.result.ServedBySecond = make([]int, m.Duration/time.Second)
	w.result.Taking, w.result.NotReady = make([]int, m.Routers), make([]time.Duration, m.Routers)
	for i := range m.Routers {
		r := &entranceRouter{limiter: valve.ConcurrencyLimiter{InitialLimit: 157}, rejectedAt: math.MinInt64 / 2}
		w.routers = append(w.routers, r)
		w.measure(i, measurePeriod, 0)
		w.probe(i, time.Duration(i)*time.Second/time.Duration(m.Routers))
		for n := range int(m.Duration.Seconds() * float64(m.Background)) {
			w.at(time.Duration(float64(n)+w.random.Float64())*time.Second/time.Duration(m.Background), func(now time.Duration) { w.arrive(now, i, nil) })
		}
	}
	for n := range int(m.Duration.Seconds() * float64(m.Rate)) {
		w.result.Requests++
		w.at(time.Duration(n)*time.Second/time.Duration(m.Rate), func(now time.Duration) { w.request(now, false) })
	}
	for w.events.Len() > 0 {
		t := heap.Pop(&w.events).(task)
		t.done(t.readyAt)
	}
	return w.result
}

// at schedules an event.
func (w *entranceSim) at(at time.Duration, f func(now time.Duration)) {
	w.seq++
	heap.Push(&w.events, task{readyAt: at, seq: w.seq, done: f})
}

// work schedules an event for when a router's processor has done a task.
func (w *entranceSim) work(now time.Duration, router int, cost time.Duration, f func(now time.Duration)) {
	r := w.routers[router]
	r.used += cost
	r.idleAt = max(r.idleAt, now) + time.Duration(float64(cost)/w.Router.CoreShare)
	w.at(r.idleAt, f)
}

// measure observes how long the router's tasks wait for its processor.
func (w *entranceSim) measure(router int, due, last time.Duration) {
	if due > w.Duration {
		return
	}
	w.at(due, func(now time.Duration) {
		w.work(now, router, 0, func(now time.Duration) {
			r := w.routers[router]
			late := now - due
			if r.used > 0 {
				r.limiter.Refused(r.refusing.Seconds()/r.used.Seconds(), now-last)
			}
			r.used, r.refusing = 0, 0
			r.limiter.Observe(late, now-last, r.open)
			decay := math.Pow(0.9, 1+float64(late)/float64(measurePeriod))
			r.lag += time.Duration((1 - decay) * float64(min(late, 160*time.Millisecond)-r.lag))
			w.measure(router, now+measurePeriod, now)
		})
	})
}

// probe asks a router once per second whether it is ready.
func (w *entranceSim) probe(router int, at time.Duration) {
	if at > w.Duration {
		return
	}
	w.at(at, func(now time.Duration) {
		r := w.routers[router]
		known := w.Known
		if known == 0 {
			known = w.Routers
		}
		load := ready.Load{Overloaded: now-r.rejectedAt < time.Second || r.lag > 15*time.Millisecond, Open: r.open, Limit: r.limiter.Limit(), Part: 10, Routers: known, Fleet: fleetRouters}
		if r.decider.Update(now, load) {
			r.misses = 0
			r.notReady = false
		} else {
			if r.misses++; r.misses == 1 {
				w.result.Turns++
			}
			r.notReady = true
			w.result.NotReady[router] += time.Second
		}
		w.probe(router, at+time.Second)
	})
}

// choose returns the router of a new connection: the first that the balancer takes for ready, or the first of all if under half are.
func (w *entranceSim) choose() int {
	out := 0
	for _, r := range w.routers {
		if r.misses >= 2 {
			out++
		}
	}
	if 2*out > w.Routers {
		return 0
	}
	return slices.IndexFunc(w.routers, func(r *entranceRouter) bool { return r.misses < 2 })
}

// entranceCall is a request of the client.
type entranceCall struct{ again bool }

// request sends a request of the client on its last used connection, or on a new one.
func (w *entranceSim) request(now time.Duration, again bool) {
	c := &entranceCall{again}
	if n := len(w.idle); n > 0 {
		router := w.idle[n-1]
		w.idle = w.idle[:n-1]
		w.arrive(now, router, c)
		return
	}
	router := w.choose()
	w.routers[router].conns++
	w.work(now, router, w.AcceptCost, func(now time.Duration) { w.arrive(now, router, c) })
}

// arrive lets a router take or refuse a request; c is nil for one of another client.
func (w *entranceSim) arrive(now time.Duration, router int, c *entranceCall) {
	r := w.routers[router]
	teams, ofTeam := 2, r.open
	if c == nil {
		ofTeam = 0
	}
	if r.limiter.Full(r.open, ofTeam, teams) {
		r.rejectedAt = now
		r.refusing += w.Router.RejectCost
		w.work(now, router, w.Router.RejectCost, func(now time.Duration) { w.refused(now, router, c) })
		return
	}
	r.open++
	w.work(now, router, w.Router.AdmitCost, func(now time.Duration) { w.event(now+w.Router.FirstEventDelay, router, 1, c) })
}

// refused tells the client when to come back, and to close its connection if new ones go elsewhere.
func (w *entranceSim) refused(now time.Duration, router int, c *entranceCall) {
	if c == nil {
		return
	}
	r := w.routers[router]
	w.result.Refused++
	after := 20*time.Millisecond + time.Duration(max(0, 2-r.misses))*time.Second
	if r.misses >= 2 {
		r.conns--
	} else {
		after += time.Duration(w.random.Float64() / 2 * float64(after))
		w.idle = append(w.idle, router)
	}
	if c.again || after > w.Patience {
		w.result.Failed++
		return
	}
	w.at(now+after, func(now time.Duration) { w.request(now, true) })
}

// event passes the n-th event of an answer on.
func (w *entranceSim) event(at time.Duration, router, n int, c *entranceCall) {
	w.at(at, func(now time.Duration) {
		w.work(now, router, w.Router.EventCost, func(now time.Duration) {
			if n < w.Router.EventsPerAnswer {
				w.event(max(now, at+w.Router.EventInterval), router, n+1, c)
				return
			}
			w.routers[router].open--
			w.routers[router].limiter.Served(1)
			if c == nil {
				return
			}
			w.result.Served++
			w.result.Taking[router]++
			if s := int(now / time.Second); s < len(w.result.ServedBySecond) {
				w.result.ServedBySecond[s]++
			}
			w.idle = append(w.idle, router)
		})
	})
}
