package sched

import (
	"fmt"
	"testing"
	"time"
)

// splitWorld has two schedulers of one cell, each followed by some of the routers.
func splitWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 2+int(seed%8), 1+int(seed%3), 1+int(seed%9))
	w.delay = time.Duration(1+w.rng.Int64N(10)) * time.Millisecond
	w.loadLag = time.Duration(w.rng.Int64N(200)) * time.Millisecond
	w.addScheduler(Settings{})
	for i := range 3 {
		w.teams = append(w.teams, &fakeTeam{
			name: fmt.Sprintf("team-%d", i), share: 1 + w.rng.IntN(10), cost: 20 + w.rng.Int64N(400), hint: 1, keep: 1 + w.rng.IntN(4),
		})
	}
	w.checks = append(w.checks, checkLimits, checkWork, checkCounts)
	return w
}

func TestTwoSchedulersKeepTheLimit(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := splitWorld(t, seed)
			for _, r := range w.routers[:1+w.rng.IntN(len(w.routers)-1)] {
				r.scheduler = 1
			}
			w.lend()
			w.run(4 * time.Second)
		})
	}
}

func TestTakeoverKeepsTheLimit(t *testing.T) {
	cases := map[string]takeovers{
		"quick": {stay: 2 * time.Second},
		"lost":  {stay: 5 * time.Second, away: 850 * time.Millisecond, lost: true},
	}
	for name, c := range cases {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				w := splitWorld(t, seed)
				for range 6 {
					w.run(200*time.Millisecond + time.Duration(w.rng.Int64N(int64(c.stay))))
					w.change(c)
				}
				w.run(4 * time.Second)
			})
		}
	}
}

// takeovers says how routers change schedulers.
type takeovers struct {
	stay time.Duration // between two changes, at most
	away time.Duration // that a router which changes is heard by none, at most
	lost bool          // some are heard by none for longer, and demand varies
}

// change has about half of the routers follow the other scheduler.
func (w *world) change(c takeovers) {
	for _, r := range w.routers {
		switch {
		case w.rng.IntN(2) == 0:
			w.follow(r, 1-r.scheduler)
			if c.away > 0 {
				r.cutTill = w.now + time.Duration(w.rng.Int64N(int64(c.away)))
			}
		case c.lost && w.rng.IntN(4) == 0:
			w.lose(r, time.Duration(w.rng.Int64N(int64(c.stay))))
		}
	}
	w.lend()
	for _, m := range w.teams {
		if c.lost {
			m.keep = w.rng.IntN(5)
		}
	}
}

// follow makes a router leave its scheduler for another, as when views change.
func (w *world) follow(r *fakeRouter, scheduler int) {
	w.schedulers[r.scheduler].Forget(w.now, r.name)
	r.scheduler, r.afresh = scheduler, true
	r.out, r.in, r.done = nil, nil, nil
}

// TestFrozenRouterKeepsItsRoom freezes a router with long requests running; if it was the scheduler, its successor knows of them from
// load reports only.
func TestFrozenRouterKeepsItsRoom(t *testing.T) {
	for name, scheduler := range map[string]bool{"scheduler": true, "another router": false} {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { freezeOne(t, seed, scheduler) })
			}
		})
	}
}

func freezeOne(t *testing.T, seed uint64, scheduler bool) {
	w := newWorld(t, seed, 9, 10, 8)
	w.delay = time.Duration(1+w.rng.Int64N(10)) * time.Millisecond
	w.loadLag = time.Duration(w.rng.Int64N(200)) * time.Millisecond
	w.teams = append(w.teams,
		&fakeTeam{name: "long", share: 1, cost: 6000, hint: 1, keep: 4, at: []int{0}},
		&fakeTeam{name: "short", share: 9, cost: 10 + w.rng.Int64N(100), hint: 1, keep: 12, at: []int{1, 2, 3, 4, 5, 6, 7, 8}},
	)
	w.checks = append(w.checks, checkLimits, checkWork, checkCounts)
	w.run(3 * time.Second)
	if scheduler {
		w.addScheduler(Settings{})
		for _, r := range w.routers[1:] {
			w.follow(r, 1)
		}
	}
	w.lose(w.routers[0], time.Hour)
	w.run(8 * time.Second)
}
