package world

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

const (
	plainName        = "desk"
	plainRate        = 320 // requests per second: four fifths of the capacity of two servers
	plainServiceTime = 30 * time.Millisecond
	plainSlots       = 6
	plainObjective   = 150 * time.Millisecond
	plainDuration    = 20 * time.Second
	// plainMaxLate is the fraction of requests that may be late when two servers share this load evenly.
	plainMaxLate = 0.05
)

// plainServer is a server that serves no model: slots and a queue.
type plainServer struct {
	free   int
	queue  []*plainJob
	active []*plainJob
}

// plainJob is a request to a plain server.
type plainJob struct {
	run     *pool.Run
	router  int
	arrived time.Duration
	ends    time.Duration
}

// step ends and starts requests and returns those that ended.
func (d *plainServer) step(now time.Duration, work func() time.Duration) []*plainJob {
	var ended []*plainJob
	kept := d.active[:0]
	for _, j := range d.active {
		if j.ends <= now {
			ended = append(ended, j)
			d.free++
		} else {
			kept = append(kept, j)
		}
	}
	d.active = kept
	for ; d.free > 0 && len(d.queue) > 0; d.free-- {
		j := d.queue[0]
		d.queue = d.queue[1:]
		j.ends = now + work()
		d.active = append(d.active, j)
	}
	return ended
}

// plainSimulation simulates many routers in front of two plain servers.
type plainSimulation struct {
	rng            *rand.Rand
	pools          []*pool.Pool
	reports        []digest.Sum
	servers        []*plainServer
	jobs           map[*pool.Request]*plainJob // waiting at routers
	requests, late int
}

func newPlainSimulation() *plainSimulation {
	w := &plainSimulation{rng: rand.New(rand.NewPCG(3, 5)), servers: []*plainServer{{free: plainSlots}, {free: plainSlots}}, jobs: map[*pool.Request]*plainJob{}}
	table := route.NewTable(route.Config{Services: []route.Service{{Name: plainName, Slots: plainSlots}}})
	for i := range grownRouters {
		q := &pool.Pool{Self: fmt.Sprint("r", i), DataCentre: "north", Joined: true}
		q.Configure(table)
		for k := range w.servers {
			q.SetServer(0, pool.Server{ID: fmt.Sprint("d", k), Service: plainName, Address: fmt.Sprintf("10.0.0.%d:80", k), DataCentre: "east", Slots: plainSlots})
		}
		w.pools = append(w.pools, q)
	}
	return w
}

// arrive sends one request to a random router.
func (w *plainSimulation) arrive(now time.Duration) {
	w.requests++
	router := w.rng.IntN(len(w.pools))
	a := &pool.Request{ID: fmt.Sprint(w.requests), Service: plainName, Arrived: now, Objective: now + plainObjective, Deadline: now + time.Second}
	w.jobs[a] = &plainJob{router: router, arrived: now}
	if v, decided := w.pools[router].Admit(now, a); decided {
		w.applyDecision(v)
	}
}

func (w *plainSimulation) applyDecision(v pool.Decision) {
	j := w.jobs[v.Request]
	delete(w.jobs, v.Request)
	if v.Run == nil {
		w.late++
		return
	}
	j.run = v.Run
	d := w.servers[0]
	if v.Run.Server.ID == "d1" {
		d = w.servers[1]
	}
	d.queue = append(d.queue, j)
}

func (w *plainSimulation) runServers(now time.Duration) {
	work := func() time.Duration { return time.Duration(w.rng.ExpFloat64() * float64(plainServiceTime)) }
	for _, d := range w.servers {
		for _, j := range d.step(now, work) {
			w.pools[j.router].Ended(now, j.run, pool.Result{})
			if now-j.arrived > plainObjective {
				w.late++
			}
		}
	}
}

// TestPlainServersUnderStaleNews guards against oscillation: many routers with stale load reports and two plain servers left,
// as after others were removed, must not all send to the less loaded one and then all to the other.
func TestPlainServersUnderStaleNews(t *testing.T) {
	t.Parallel()
	w := newPlainSimulation()
	for now := time.Duration(0); now < plainDuration; now += tick {
		if now%grownPeriod == 0 {
			w.reports = exchangeReports(now, w.pools, w.reports, now > 0)
		}
		for n := poisson(w.rng, plainRate*tick.Seconds()); n > 0; n-- {
			w.arrive(now)
		}
		for _, q := range w.pools {
			for _, v := range q.Dispatch(now) {
				w.applyDecision(v)
			}
		}
		w.runServers(now)
	}
	part := float64(w.late) / float64(w.requests)
	t.Logf("%.3f of %d requests late or refused", part, w.requests)
	if part > plainMaxLate {
		t.Errorf("%.3f of the requests are late or refused, want at most %.2f", part, plainMaxLate)
	}
}
