package sched

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/rule"
)

const (
	rivalRouters = 9
	rivalServers = 10
	rivalLimit   = 9
	rivalWarmUp  = 5 * time.Second
	exchange     = 100 * time.Millisecond // period of exchanged counters
)

var (
	span   = flag.Duration("span", 5*time.Second, "virtual time of each run that compares designs")
	rivals = flag.Bool("rivals", false, "compare all designs and not only the baselines")
)

// baselines are the designs that the aims are stated against.
var baselines = []string{"least loaded, no fairness", "each router alone"}

// designs set up the ways to share that docs/design/sharing.md weighs.
var designs = map[string]func(w *world){
	"a scheduler a cell": func(*world) {},
	"least loaded, no fairness": func(w *world) {
		w.schedulers[0].Settings.Policy = LeastLoaded
	},
	"each router alone": routersAlone,
	"exchanged counters": func(w *world) {
		routersAlone(w)
		w.checks = append(w.checks, exchangeCounters())
	},
	"a home router a team": func(w *world) {
		routersAlone(w)
		for i, m := range w.teams {
			m.keep *= max(1, len(m.at), rivalRouters*btoi(len(m.at) == 0))
			m.at = []int{i % rivalRouters}
		}
	},
	"a scheduler a server": schedulersPerServer,
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// routersAlone gives each router a fixed part of every server, whatever the others do.
func routersAlone(w *world) {
	w.unheard = true
	rules := w.rules()
	for i := range rules {
		rules[i].Limit /= len(w.routers)
	}
	for i, r := range w.routers {
		if i > 0 {
			w.addScheduler(Settings{})
		}
		r.scheduler = i
		w.schedulers[i].Configure(0, rules, nil, nil)
		w.schedulers[i].Lend(0, []string{r.name}, 1)
	}
}

// exchangeCounters gives a check that adds to each router's levels, every period, what the
// team was served at the others since.
func exchangeCounters() func(w *world) {
	seen := map[*team]int64{}
	return func(w *world) {
		if w.now%exchange != 0 {
			return
		}
		for _, m := range w.teams {
			var here []*team
			total := int64(0)
			for _, s := range w.schedulers {
				if t := s.teams[m.name]; t != nil && t.backlog {
					here = append(here, t)
					total += t.service - seen[t]
				}
			}
			for _, t := range here {
				t.level += float64(total-(t.service-seen[t])) / t.share
				seen[t] = t.service
			}
		}
		for _, s := range w.schedulers {
			for _, m := range w.teams {
				if t := s.teams[m.name]; t != nil && t.backlog {
					t.key = t.level
					s.backlog.fix(&t.node)
				}
			}
		}
	}
}

// schedulersPerServer splits each router's queue evenly over the servers' schedulers.
func schedulersPerServer(w *world) {
	routers := w.routers
	w.routers, w.schedulers = nil, nil
	for i, v := range w.servers {
		s := w.addScheduler(Settings{})
		s.Configure(0, []rule.Server{v.rule}, nil, nil)
		for _, r := range routers {
			o := &fakeRouter{name: fmt.Sprintf("%s/%d", r.name, i), dataCentre: r.dataCentre, scheduler: i}
			w.restart(o)
			w.routers = append(w.routers, o)
		}
	}
	for i, s := range w.schedulers {
		var names []string
		for _, r := range w.routers {
			if r.scheduler == i {
				names = append(names, r.name)
			}
		}
		s.Lend(0, names, len(names))
	}
	w.spread(len(routers))
}

// spread splits what each team keeps waiting at a router over the router's queues to the servers.
func (w *world) spread(routers int) {
	for _, m := range w.teams {
		var at []int
		for _, place := range m.at {
			for i := range w.servers {
				at = append(at, i*routers+place)
			}
		}
		m.at = at
		m.keep = max(1, m.keep/len(w.servers))
	}
}

// workloads add fifteen teams, the first two large, all backlogged.
var workloads = map[string]func(w *world){
	"balanced": func(w *world) {
		w.addTeams(10, func(int) []int { return nil })
	},
	"skewed": func(w *world) {
		w.addTeams(40, func(i int) []int {
			if i < 2 {
				return nil
			}
			return []int{i % 3}
		})
	},
	"flooded": func(w *world) {
		w.addTeams(20, func(i int) []int { return []int{i % rivalRouters} })
		w.teams[14].at, w.teams[14].keep = nil, 100*rivalServers*rivalLimit/rivalRouters
	},
	"data centre out": func(w *world) {
		w.addTeams(10, func(int) []int { return nil })
		w.out = "dc-1"
	},
	"at one router": func(w *world) {
		w.addTeams(100, func(int) []int { return []int{4} })
	},
}

func (w *world) addTeams(keep int, at func(i int) []int) {
	for i := range 15 {
		share := 10 + 10*(i%3)
		if i < 2 {
			share = 200
		}
		cost := int64(200 + 100*(i%5))
		w.teams = append(w.teams, &fakeTeam{name: fmt.Sprintf("team-%d", i), share: share, cost: cost, hint: 1, keep: keep, at: at(i)})
	}
}

type rivalResult struct{ gap, part, utilisation float64 }

func runRival(t *testing.T, workload, design string) rivalResult {
	w := newWorld(t, 1, rivalRouters, rivalServers, rivalLimit)
	w.delay = 2 * time.Millisecond
	workloads[workload](w)
	designs[design](w)
	for _, s := range w.schedulers {
		var rules []rule.Server
		for _, v := range s.listed {
			rules = append(rules, v.rule)
		}
		s.Configure(0, rules, map[string]bool{w.out: true}, nil)
	}
	w.run(rivalWarmUp)
	w.idle, w.busy = 0, 0
	g := &gapMeter{teams: w.teams}
	w.checks = append(w.checks, g.check)
	w.run(*span)
	r := rivalResult{gap: g.worst, part: g.worstPart, utilisation: w.utilisation()}
	t.Logf("%-26s gap %8.1f, %6.2f of the bound, utilisation %.3f", design, r.gap, r.part, r.utilisation)
	return r
}

// TestVisitor measures how long a small team within its share waits beside a flood and large teams.
func TestVisitor(t *testing.T) {
	const longest = 900 * time.Millisecond
	for _, design := range append([]string{"a scheduler a cell"}, baselines...) {
		w := newWorld(t, 1, rivalRouters, rivalServers, rivalLimit)
		w.delay = 2 * time.Millisecond
		workloads["flooded"](w)
		designs[design](w)
		visitor := &fakeTeam{name: "visitor", share: 10, cost: 200, hint: 1, at: []int{4}}
		w.teams = append(w.teams, visitor)
		w.run(rivalWarmUp)
		for range 30 {
			w.ask(w.routers[4], visitor)
			w.run(time.Second)
		}
		waits := slices.Sorted(slices.Values(visitor.waits))
		if len(waits) == 0 {
			t.Logf("%-26s served 0 of 30", design)
			continue
		}
		t.Logf("%-26s served %d of 30, waits: median %v, longest %v", design, len(waits), waits[len(waits)/2], waits[len(waits)-1])
		if design == "a scheduler a cell" && (len(waits) < 30 || waits[29] > 3*longest) {
			t.Errorf("a small team waited %v, bound %v", waits[len(waits)-1], 3*longest)
		}
	}
}

func TestAims(t *testing.T) {
	for workload := range workloads {
		t.Run(workload, func(t *testing.T) {
			ours := runRival(t, workload, "a scheduler a cell")
			better := math.Inf(1)
			for design := range designs {
				isBaseline := slices.Contains(baselines, design)
				if design == "a scheduler a cell" || !isBaseline && !*rivals {
					continue
				}
				r := runRival(t, workload, design)
				// A baseline that leaves most slots idle has little service to differ in.
				if isBaseline && r.utilisation > ours.utilisation/2 {
					better = min(better, r.gap)
				}
			}
			if ours.part > 1 || ours.gap > better/4 || ours.utilisation < 0.97 {
				t.Errorf("gap %.1f beside a baseline's %.1f, %.2f of the bound, utilisation %.3f", ours.gap, better, ours.part, ours.utilisation)
			}
		})
	}
}
