package sched

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// gapMeter measures the service gap between teams that are always backlogged.
type gapMeter struct {
	teams      []*fakeTeam
	indexes    map[string]int // of the teams, by name
	least      [][]float64    // lowest difference of service over share, by pair
	most       [][]float64
	running    []int // highest number of requests of a team in flight
	largest    []int64
	worst      float64 // largest gap of a pair
	worstRatio float64 // largest gap divided by its bound
}

func (g *gapMeter) check(w *simulation) {
	g.observe(w)
	for i, a := range g.teams {
		for j, b := range g.teams[:i] {
			d := float64(a.used)/float64(a.share) - float64(b.used)/float64(b.share)
			g.least[i][j] = min(g.least[i][j], d)
			g.most[i][j] = max(g.most[i][j], d)
			gap, bound := g.most[i][j]-g.least[i][j], 3*(g.inFlight(i)+g.inFlight(j))
			g.worst = max(g.worst, gap)
			if gap > 0 {
				g.worstRatio = max(g.worstRatio, gap/bound)
			}
		}
	}
}

// inFlight returns the most service over share that a team may have in flight.
func (g *gapMeter) inFlight(i int) float64 {
	return float64(g.running[i]) * float64(max(g.largest[i], g.teams[i].mostCost)) / float64(g.teams[i].share)
}

// observe records the terms of the bound: requests in flight, and the largest cost or charge.
func (g *gapMeter) observe(w *simulation) {
	if g.least == nil {
		for range g.teams {
			g.least = append(g.least, make([]float64, len(g.teams)))
			g.most = append(g.most, make([]float64, len(g.teams)))
		}
		for i, a := range g.teams {
			for j, b := range g.teams {
				g.least[i][j] = float64(a.used)/float64(a.share) - float64(b.used)/float64(b.share)
				g.most[i][j] = g.least[i][j]
			}
		}
		g.indexes = map[string]int{}
		for i, m := range g.teams {
			g.indexes[m.name] = i
		}
		g.running, g.largest = make([]int, len(g.teams)), make([]int64, len(g.teams))
	}
	for i, m := range g.teams {
		running := 0
		for _, s := range w.schedulers {
			if t := s.teams[m.name]; t != nil {
				running += t.running
			}
		}
		g.running[i] = max(g.running[i], running)
	}
	for _, s := range w.schedulers {
		for _, o := range s.grants {
			if i, known := g.indexes[o.team.name]; known {
				g.largest[i] = max(g.largest[i], o.charged)
			}
		}
	}
}

func TestServiceGap(t *testing.T) {
	for seed := range *seeds / 6 {
		for _, hint := range []float64{0.1, 1, 10} {
			t.Run(fmt.Sprintf("seed %d hint %v", seed, hint), func(t *testing.T) {
				w := newSimulation(t, seed, 3, 2, 4)
				w.maxDelay = 3 * time.Millisecond
				for i := range 4 {
					w.teams = append(w.teams, &fakeTeam{
						name: fmt.Sprintf("team-%d", i), share: 1 + w.rng.IntN(20), cost: 20 + w.rng.Int64N(200), hint: 1, backlog: 4,
					})
				}
				w.teams[0].hint = hint
				g := &gapMeter{teams: w.teams}
				w.run(100 * time.Millisecond)
				w.checks = append(w.checks, g.check, checkLimits, checkWork)
				w.run(30 * time.Second)
				if g.worstRatio > 1 {
					t.Errorf("seed %d: gap %.0f is %.2f of its bound", seed, g.worst, g.worstRatio)
				}
				t.Logf("gap %.0f, %.2f of its bound, utilisation %.3f", g.worst, g.worstRatio, w.utilisation())
			})
		}
	}
}

func TestSharesAreKept(t *testing.T) {
	cases := map[string][]float64{
		"hints right":            {1, 1, 1},
		"first ten times over":   {10, 1, 1},
		"first ten times under":  {0.1, 1, 1},
		"opposite and ten times": {10, 0.1, 1},
	}
	for name, hints := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 7, 3, 4, 8)
			for i, hint := range hints {
				w.teams = append(w.teams, &fakeTeam{name: fmt.Sprintf("team-%d", i), share: 1 << i, cost: 100, hint: hint, backlog: 8})
			}
			w.run(60 * time.Second)
			total := w.teams[0].used + w.teams[1].used + w.teams[2].used
			for _, m := range w.teams {
				want := float64(m.share) / 7
				if got := float64(m.used) / float64(total); math.Abs(got-want) > 0.02*want {
					t.Errorf("%s got %.3f of the service, want %.3f", m.name, got, want)
				}
			}
		})
	}
}

func TestNoStarvation(t *testing.T) {
	const (
		requests = 5
		large    = 4
		slots    = 80
		most     = 300 * time.Millisecond // longest request: 300 units at one per millisecond
	)
	w := newSimulation(t, 3, 9, 10, 8)
	w.maxDelay = 2 * time.Millisecond
	for i := range large {
		w.teams = append(w.teams, &fakeTeam{name: fmt.Sprintf("large-%d", i), share: 1000, cost: 200, hint: 1, backlog: 10})
	}
	flood := &fakeTeam{name: "flood", share: 1, cost: 200, hint: 1, backlog: 100 * slots / 9}
	small := &fakeTeam{name: "small", share: 1, cost: 200, hint: 1, routers: []int{4}}
	w.teams = append(w.teams, flood, small)
	w.checks = append(w.checks, checkLimits, checkWork)
	w.run(5 * time.Second)
	for range requests {
		w.enqueue(w.routers[4], small)
	}
	// See "How long a request waits" in docs/design/sharing.md.
	step := most * (1000*large + 2) / slots
	for k := range requests {
		bound := time.Duration(k)*step + 3*most
		for len(small.waits) <= k && w.now < 5*time.Second+bound {
			w.run(10 * time.Millisecond)
		}
		if len(small.waits) <= k {
			t.Fatalf("request %d of the small team still waits after %v", k+1, bound)
		}
		t.Logf("request %d waited %v, bound %v", k+1, small.waits[k], bound)
	}
}
