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
	plainName  = "desk"
	plainRate  = 320 // requests a second: four fifths of what two servers can do
	plainWork  = 30 * time.Millisecond
	plainSlots = 6
	plainAim   = 150 * time.Millisecond
	plainDay   = 20 * time.Second
	// plainLate is the part of requests that may be late, of two servers that share this load evenly.
	plainLate = 0.05
)

// desk is a plain server: so many slots, and a queue.
type desk struct {
	free   int
	queue  []*plainJob
	active []*plainJob
}

// plainJob is a request at a desk.
type plainJob struct {
	run     *pool.Run
	router  int
	arrived time.Duration
	ends    time.Duration
}

// step ends and begins work, and gives what ended.
func (d *desk) step(now time.Duration, work func() time.Duration) []*plainJob {
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

// plainWorld is many routers before two desks.
type plainWorld struct {
	random      *rand.Rand
	pools       []*pool.Pool
	sums        []digest.Sum
	desks       []*desk
	jobs        map[*pool.Request]*plainJob // that wait at routers
	asked, late int
}

func newPlainWorld() *plainWorld {
	w := &plainWorld{random: rand.New(rand.NewPCG(3, 5)), desks: []*desk{{free: plainSlots}, {free: plainSlots}}, jobs: map[*pool.Request]*plainJob{}}
	table := route.NewTable(route.Config{Services: []route.Service{{Name: plainName, Slots: plainSlots}}})
	for i := range grownRouters {
		q := &pool.Pool{Self: fmt.Sprint("r", i), DataCentre: "north", Joined: true}
		q.Configure(table)
		for k := range w.desks {
			q.SetServer(0, pool.Server{ID: fmt.Sprint("d", k), Service: plainName, Address: fmt.Sprintf("10.0.0.%d:80", k), DataCentre: "east", Slots: plainSlots})
		}
		w.pools = append(w.pools, q)
	}
	return w
}

// arrive lets one request come to a router by chance.
func (w *plainWorld) arrive(now time.Duration) {
	w.asked++
	router := w.random.IntN(len(w.pools))
	a := &pool.Request{ID: fmt.Sprint(w.asked), Service: plainName, Arrived: now, Objective: now + plainAim, Deadline: now + time.Second}
	w.jobs[a] = &plainJob{router: router, arrived: now}
	if v, decided := w.pools[router].Admit(now, a); decided {
		w.decide(v)
	}
}

func (w *plainWorld) decide(v pool.Decision) {
	j := w.jobs[v.Request]
	delete(w.jobs, v.Request)
	if v.Run == nil {
		w.late++
		return
	}
	j.run = v.Run
	d := w.desks[0]
	if v.Run.Server.ID == "d1" {
		d = w.desks[1]
	}
	d.queue = append(d.queue, j)
}

func (w *plainWorld) serve(now time.Duration) {
	work := func() time.Duration { return time.Duration(w.random.ExpFloat64() * float64(plainWork)) }
	for _, d := range w.desks {
		for _, j := range d.step(now, work) {
			w.pools[j.router].Ended(now, j.run, pool.Result{})
			if now-j.arrived > plainAim {
				w.late++
			}
		}
	}
}

// Many routers that hear late of each other's load and have two plain servers left, as after others were taken away: they
// must not all send to the one that looked emptier, and then all to the other.
func TestPlainServersUnderStaleNews(t *testing.T) {
	t.Parallel()
	w := newPlainWorld()
	for now := time.Duration(0); now < plainDay; now += tick {
		if now%grownPeriod == 0 {
			w.sums = exchange(now, w.pools, w.sums, now > 0)
		}
		for n := poisson(w.random, plainRate*tick.Seconds()); n > 0; n-- {
			w.arrive(now)
		}
		for _, q := range w.pools {
			for _, v := range q.Dispatch(now) {
				w.decide(v)
			}
		}
		w.serve(now)
	}
	part := float64(w.late) / float64(w.asked)
	t.Logf("%.3f of %d requests late or refused", part, w.asked)
	if part > plainLate {
		t.Errorf("%.3f of the requests are late or refused, want at most %.2f", part, plainLate)
	}
}
