package sched

import (
	"fmt"
	"testing"
	"time"
)

// newSplitSimulation returns a simulation of a cell with two schedulers, each followed by some of the routers.
func newSplitSimulation(t *testing.T, seed uint64) *simulation {
	w := newSimulation(t, seed, 2+int(seed%8), 1+int(seed%3), 1+int(seed%9))
	w.maxDelay = time.Duration(1+w.rng.Int64N(10)) * time.Millisecond
	w.loadLag = time.Duration(w.rng.Int64N(200)) * time.Millisecond
	w.addScheduler(Settings{})
	for i := range 3 {
		w.teams = append(w.teams, &fakeTeam{
			name: fmt.Sprintf("team-%d", i), share: 1 + w.rng.IntN(10), cost: 20 + w.rng.Int64N(400), hint: 1, backlog: 1 + w.rng.IntN(4),
		})
	}
	w.checks = append(w.checks, checkLimits, checkWork, checkCounts)
	return w
}

func TestTwoSchedulersKeepTheLimit(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newSplitSimulation(t, seed)
			for _, r := range w.routers[:1+w.rng.IntN(len(w.routers)-1)] {
				r.scheduler = 1
			}
			w.lendRouters()
			w.run(4 * time.Second)
		})
	}
}

func TestTakeoverKeepsTheLimit(t *testing.T) {
	cases := map[string]takeoverPattern{
		"quick": {maxInterval: 2 * time.Second},
		"lost":  {maxInterval: 5 * time.Second, maxAway: 850 * time.Millisecond, disconnects: true},
	}
	for name, c := range cases {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				w := newSplitSimulation(t, seed)
				for range 6 {
					w.run(200*time.Millisecond + time.Duration(w.rng.Int64N(int64(c.maxInterval))))
					w.change(c)
				}
				w.run(4 * time.Second)
			})
		}
	}
}

// takeoverPattern defines how routers change schedulers.
type takeoverPattern struct {
	maxInterval time.Duration // maximum time between two changes
	maxAway     time.Duration // maximum time for which a router that changes reaches no scheduler
	disconnects bool          // some routers disconnect for longer, and demand varies
}

// change makes about half of the routers follow the other scheduler.
func (w *simulation) change(c takeoverPattern) {
	for _, r := range w.routers {
		switch {
		case w.rng.IntN(2) == 0:
			w.follow(r, 1-r.scheduler)
			if c.maxAway > 0 {
				r.disconnectedUntil = w.now + time.Duration(w.rng.Int64N(int64(c.maxAway)))
			}
		case c.disconnects && w.rng.IntN(4) == 0:
			w.disconnect(r, time.Duration(w.rng.Int64N(int64(c.maxInterval))))
		}
	}
	w.lendRouters()
	for _, m := range w.teams {
		if c.disconnects {
			m.backlog = w.rng.IntN(5)
		}
	}
}

// follow makes a router leave its scheduler for another, as after a view change.
func (w *simulation) follow(r *fakeRouter, scheduler int) {
	w.schedulers[r.scheduler].RemoveRouter(w.now, r.name)
	r.scheduler, r.sendFull = scheduler, true
	r.outbox, r.inbox, r.done = nil, nil, nil
}

// TestFrozenRouterKeepsItsRoom freezes a router while long requests run. No server may exceed its limit. If the
// router was the scheduler, its successor learns of the requests from load reports only.
func TestFrozenRouterKeepsItsRoom(t *testing.T) {
	for name, scheduler := range map[string]bool{"scheduler": true, "another router": false} {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { checkFrozenRouter(t, seed, scheduler) })
			}
		})
	}
}

func checkFrozenRouter(t *testing.T, seed uint64, scheduler bool) {
	w := newSimulation(t, seed, 9, 10, 8)
	w.maxDelay = time.Duration(1+w.rng.Int64N(10)) * time.Millisecond
	w.loadLag = time.Duration(w.rng.Int64N(200)) * time.Millisecond
	w.teams = append(w.teams,
		&fakeTeam{name: "long", share: 1, cost: 6000, hint: 1, backlog: 4, routers: []int{0}},
		&fakeTeam{name: "short", share: 9, cost: 10 + w.rng.Int64N(100), hint: 1, backlog: 12, routers: []int{1, 2, 3, 4, 5, 6, 7, 8}},
	)
	w.checks = append(w.checks, checkLimits, checkWork, checkCounts)
	w.run(3 * time.Second)
	if scheduler {
		w.addScheduler(Settings{})
		for _, r := range w.routers[1:] {
			w.follow(r, 1)
		}
	}
	w.disconnect(w.routers[0], time.Hour)
	w.run(8 * time.Second)
}
