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

// Many routers that hear late of each other's load and have two plain servers left, as after others were taken away: they
// must not all send to the one that looked emptier, and then all to the other.
func TestPlainServersUnderStaleNews(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	var pools []*pool.Pool
	desks := []*desk{{free: plainSlots}, {free: plainSlots}}
	table := route.NewTable(route.Config{Services: []route.Service{{Name: plainName, Slots: plainSlots}}})
	for i := range grownRouters {
		q := &pool.Pool{Self: fmt.Sprint("r", i), DataCentre: "d", Joined: true}
		q.Configure(table)
		for k, centre := range []string{"east", "west"} {
			q.Set(0, pool.Server{ID: fmt.Sprint("d", k), Service: plainName, Address: fmt.Sprintf("10.0.0.%d:80", k), DataCentre: centre, Slots: plainSlots})
		}
		pools = append(pools, q)
	}
	jobs := map[*pool.Ask]*plainJob{}
	asked, late := 0, 0
	send := func(now time.Duration, v pool.Verdict) {
		j := jobs[v.Ask]
		delete(jobs, v.Ask)
		if v.Run == nil {
			late++
			return
		}
		j.run = v.Run
		d := desks[0]
		if v.Run.Server.ID == "d1" {
			d = desks[1]
		}
		d.queue = append(d.queue, j)
	}
	var sums []digest.Sum
	for now := time.Duration(0); now < plainDay; now += tick {
		if now%grownPeriod == 0 {
			var all digest.Sum
			for _, s := range sums {
				all.Add(s)
			}
			for i, q := range pools {
				var others digest.Sum
				others.Add(all)
				if len(sums) > 0 {
					others.Subtract(sums[i])
				}
				q.Others(now, others, now > 0, make([]string, grownRouters-1))
			}
			sums = sums[:0]
			for _, q := range pools {
				sums = append(sums, q.Own(now))
			}
		}
		for n := poisson(random, plainRate*tick.Seconds()); n > 0; n-- {
			asked++
			router := random.IntN(len(pools))
			a := &pool.Ask{ID: fmt.Sprint(asked), Service: plainName, Arrived: now, Objective: now + plainAim, Deadline: now + time.Second}
			jobs[a] = &plainJob{router: router, arrived: now}
			if v, decided := pools[router].Admit(now, a); decided {
				send(now, v)
			}
		}
		for _, q := range pools {
			for _, v := range q.Turn(now) {
				send(now, v)
			}
		}
		for _, d := range desks {
			for _, j := range d.step(now, func() time.Duration { return time.Duration(random.ExpFloat64() * float64(plainWork)) }) {
				pools[j.router].Ended(now, j.run, pool.Result{})
				if now-j.arrived > plainAim {
					late++
				}
			}
		}
	}
	part := float64(late) / float64(asked)
	t.Logf("%.3f of %d requests late or refused", part, asked)
	if part > plainLate {
		t.Errorf("%.3f of the requests are late or refused, want at most %.2f", part, plainLate)
	}
}
