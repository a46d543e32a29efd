package growth

import (
	"fmt"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
	"mangolug.org/core/sched"
)

const (
	serverLimit = 16 // concurrent requests of one backend server
	requestCost = 100
	step        = 10 * time.Millisecond
	deepQueue   = 1 << 20 // requests of a team that never run out
)

// scheduled is a scheduler with its cell, driven in virtual time.
type scheduled struct {
	s       *sched.Scheduler
	now     time.Duration
	routers []string
	seq     uint64
	ends    map[string][]fleet.Done // to be told, by router
}

func newScheduled(engines, routers int) *scheduled {
	d := &scheduled{s: &sched.Scheduler{Term: 1}, ends: make(map[string][]fleet.Done)}
	var servers []rule.Server
	for i := range engines {
		servers = append(servers, rule.Server{
			Name: fmt.Sprintf("engine-%d", i), DataCentre: "killary", Limit: serverLimit, Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		})
	}
	for i := range routers {
		d.routers = append(d.routers, fmt.Sprintf("router-%d", i))
	}
	d.s.Configure(0, servers, nil, nil)
	d.s.SetLenders(0, d.routers, routers)
	for i := range routers {
		d.take(i, nil, true)
	}
	return d
}

func (d *scheduled) take(router int, waiting []fleet.TeamDemand, full bool) {
	d.seq++
	name := d.routers[router]
	d.s.ReceiveDemand(d.now, name, "killary", d.now.Milliseconds(), fleet.Demand{
		Seq: d.seq, Full: full, SeenTerm: 1, Seen: ^uint64(0), Waiting: waiting, Done: d.ends[name],
	})
	d.ends[name] = nil
}

// backlog gives every team a queue that never runs out, each at one router.
func (d *scheduled) backlog(teams int) {
	for i := range teams {
		d.take(i%len(d.routers), []fleet.TeamDemand{{Team: teamName(i), Waiting: deepQueue, Estimate: requestCost}}, false)
	}
}

// decide ends all requests that run and grants as many again, until the given number is granted.
func (d *scheduled) decide(grants int) {
	for grants > 0 {
		d.now += step
		for i := range d.routers {
			d.take(i, nil, false)
		}
		d.ends = d.next()
		given := 0
		for _, ends := range d.ends {
			given += len(ends)
		}
		if given == 0 {
			return
		}
		grants -= given
	}
}

// next grants what may be granted and gives the ends to tell later, by router.
func (d *scheduled) next() map[string][]fleet.Done {
	ends := make(map[string][]fleet.Done)
	for _, b := range d.s.Next(d.now) {
		for _, g := range b.Grants.Grants {
			ends[b.To] = append(ends[b.To], fleet.Done{
				Grant: g.ID, Outcome: fleet.OutcomeCompleted, Cost: requestCost, FirstByte: 1000, Service: 10000,
			})
		}
	}
	return ends
}

// warm raises the learnt limits by serving requests, and leaves the servers free.
func (d *scheduled) warm(slots int) {
	d.backlog(377)
	d.decide(slots * 20)
	d.now += step
	for i := range d.routers {
		d.take(i, nil, false)
	}
}

// start grants as many requests as the servers take, and gives the reports of their costs by router.
func (d *scheduled) start() map[string][]fleet.Running {
	running := make(map[string][]fleet.Running)
	for _, b := range d.s.Next(d.now) {
		for _, g := range b.Grants.Grants {
			running[b.To] = append(running[b.To], fleet.Running{Grant: g.ID, Team: g.Team, Server: g.Server})
		}
	}
	return running
}

// report tells a larger cost of every running request, until the given number is told.
func (d *scheduled) report(running map[string][]fleet.Running, reports int) {
	for reports > 0 {
		d.now += step
		for _, name := range d.routers {
			list := running[name]
			for i := range list {
				list[i].Cost++
			}
			d.seq++
			d.s.ReceiveDemand(d.now, name, "killary", d.now.Milliseconds(), fleet.Demand{Seq: d.seq, SeenTerm: 1, Seen: ^uint64(0), Running: list})
			reports -= len(list)
		}
	}
}

// known serves each team once, so that only what is learnt of it stays.
func (d *scheduled) known(teams int) {
	for i := range teams {
		router := i % len(d.routers)
		d.take(router, []fleet.TeamDemand{{Team: teamName(i), Waiting: 1, Estimate: requestCost}}, false)
		d.now += step
		ends := d.next()
		d.take(router, []fleet.TeamDemand{{Team: teamName(i)}}, false)
		d.ends = ends
		d.take(router, nil, false)
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// Scheduler measures the scheduler of a cell.
func Scheduler() []Series {
	const events = 20000
	decision := func(teams, engines, routers int) float64 {
		d := newScheduled(engines, routers)
		d.backlog(teams)
		d.decide(events)
		return nanos(events, d.decide)
	}
	state := func(build func(d *scheduled), engines, routers int) float64 {
		return heap(func() held {
			d := newScheduled(engines, routers)
			build(d)
			return held{scheduled: d}
		})
	}
	const role = "scheduler of a cell"
	return []Series{
		vary(Series{Role: role, Quantity: "ns a decision", Factor: "teams backlogged", Fixed: "100 engines, 9 routers"},
			[]int{100, 400, 1600, 4900}, func(n int) float64 { return decision(n, 100, 9) }),
		vary(Series{Role: role, Quantity: "ns a decision", Factor: "engines", Fixed: "377 teams backlogged, 9 routers"},
			[]int{10, 50, 100, 250}, func(n int) float64 { return decision(377, n, 9) }),
		vary(Series{Role: role, Quantity: "ns a decision", Factor: "routers", Fixed: "377 teams backlogged, 100 engines"},
			[]int{9, 60, 235, 470}, func(n int) float64 { return decision(377, 100, n) }),
		vary(Series{Role: role, Quantity: "ns a report of a stream's cost so far", Factor: "streams running", Fixed: "377 teams backlogged, 9 routers"},
			[]int{160, 800, 3200, 8640}, func(n int) float64 {
				d := newScheduled(n/serverLimit, 9)
				d.warm(n)
				running := d.start()
				return nanos(events, func(reports int) { d.report(running, reports) })
			}),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "streams running", Fixed: "377 teams backlogged, 9 routers, their engines included"},
			[]int{160, 800, 3200, 8640}, func(n int) float64 {
				return state(func(d *scheduled) {
					d.warm(n)
					d.start()
				}, n/serverLimit, 9)
			}),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "teams backlogged", Fixed: "10 engines, 9 routers"},
			[]int{100, 400, 1600, 4900}, func(n int) float64 { return state(func(d *scheduled) { d.backlog(n) }, 10, 9) }),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "teams known", Fixed: "10 engines, 9 routers"},
			[]int{1000, 5000, 20000, 49000}, func(n int) float64 { return state(func(d *scheduled) { d.known(n) }, 10, 9) }),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "engines", Fixed: "no teams, 9 routers"},
			[]int{10, 50, 100, 250}, func(n int) float64 { return state(func(*scheduled) {}, n, 9) }),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "routers", Fixed: "no teams, 10 engines"},
			[]int{9, 60, 235, 470}, func(n int) float64 { return state(func(*scheduled) {}, 10, n) }),
	}
}
