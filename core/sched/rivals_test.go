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
	designRouters  = 9
	designServers  = 10
	designLimit    = 9
	designWarmUp   = 5 * time.Second
	exchangePeriod = 100 * time.Millisecond // period of exchanged counters
)

var (
	span       = flag.Duration("span", 5*time.Second, "virtual time of each run that compares designs")
	compareAll = flag.Bool("rivals", false, "compare all designs and not only the baselines")
)

// baselines are the designs that the scheduler is compared with.
var baselines = []string{"least loaded, no fairness", "each router alone"}

// designs set up the designs that docs/design/sharing.md compares.
var designs = map[string]func(w *simulation){
	"a scheduler a cell": func(*simulation) {},
	"least loaded, no fairness": func(w *simulation) {
		w.schedulers[0].Settings.Policy = LeastLoaded
	},
	"each router alone": routersAlone,
	"exchanged counters": func(w *simulation) {
		routersAlone(w)
		w.checks = append(w.checks, exchangeCounters())
	},
	"a home router a team": func(w *simulation) {
		routersAlone(w)
		for i, m := range w.teams {
			m.backlog *= max(1, len(m.routers), designRouters*boolToInt(len(m.routers) == 0))
			m.routers = []int{i % designRouters}
		}
	},
	"a scheduler a server": schedulersPerServer,
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// routersAlone gives each router a fixed part of every server's limit, independent of the other routers.
func routersAlone(w *simulation) {
	w.dropReports = true
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
		w.schedulers[i].SetLenders(0, []string{r.name}, 1)
	}
}

// exchangeCounters returns a check that adds to each team's level at a router, once per exchangePeriod, the
// service that the team got at the other routers.
func exchangeCounters() func(w *simulation) {
	seen := map[*team]int64{}
	return func(w *simulation) {
		if w.now%exchangePeriod != 0 {
			return
		}
		for _, m := range w.teams {
			var here []*team
			total := int64(0)
			for _, s := range w.schedulers {
				if t := s.teams[m.name]; t != nil && t.backlogged {
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
				if t := s.teams[m.name]; t != nil && t.backlogged {
					t.key = t.level
					s.backlog.fix(&t.node)
				}
			}
		}
	}
}

// schedulersPerServer splits each router's queue evenly over the servers' schedulers.
func schedulersPerServer(w *simulation) {
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
		s.SetLenders(0, names, len(names))
	}
	w.spread(len(routers))
}

// spread splits each team's backlog at a router over the router's queues to the servers.
func (w *simulation) spread(routers int) {
	for _, m := range w.teams {
		var at []int
		for _, place := range m.routers {
			for i := range w.servers {
				at = append(at, i*routers+place)
			}
		}
		m.routers = at
		m.backlog = max(1, m.backlog/len(w.servers))
	}
}

// workloads add fifteen teams, the first two large, all backlogged.
var workloads = map[string]func(w *simulation){
	"balanced": func(w *simulation) {
		w.addTeams(10, func(int) []int { return nil })
	},
	"skewed": func(w *simulation) {
		w.addTeams(40, func(i int) []int {
			if i < 2 {
				return nil
			}
			return []int{i % 3}
		})
	},
	"flooded": func(w *simulation) {
		w.addTeams(20, func(i int) []int { return []int{i % designRouters} })
		w.teams[14].routers, w.teams[14].backlog = nil, 100*designServers*designLimit/designRouters
	},
	"data centre out": func(w *simulation) {
		w.addTeams(10, func(int) []int { return nil })
		w.out = "dc-1"
	},
	"at one router": func(w *simulation) {
		w.addTeams(100, func(int) []int { return []int{4} })
	},
}

func (w *simulation) addTeams(keep int, at func(i int) []int) {
	for i := range 15 {
		share := 10 + 10*(i%3)
		if i < 2 {
			share = 200
		}
		cost := int64(200 + 100*(i%5))
		w.teams = append(w.teams, &fakeTeam{name: fmt.Sprintf("team-%d", i), share: share, cost: cost, hint: 1, backlog: keep, routers: at(i)})
	}
}

type designResult struct{ gap, boundRatio, utilisation float64 }

func runDesign(t *testing.T, workload, design string) designResult {
	w := newSimulation(t, 1, designRouters, designServers, designLimit)
	w.maxDelay = 2 * time.Millisecond
	workloads[workload](w)
	designs[design](w)
	for _, s := range w.schedulers {
		var rules []rule.Server
		for _, v := range s.configured {
			rules = append(rules, v.rule)
		}
		s.Configure(0, rules, map[string]bool{w.out: true}, nil)
	}
	w.run(designWarmUp)
	w.idle, w.busy = 0, 0
	g := &gapMeter{teams: w.teams}
	w.checks = append(w.checks, g.check)
	w.run(*span)
	r := designResult{gap: g.worst, boundRatio: g.worstRatio, utilisation: w.utilisation()}
	t.Logf("%-26s gap %8.1f, %6.2f of the bound, utilisation %.3f", design, r.gap, r.boundRatio, r.utilisation)
	return r
}

// TestVisitor bounds how long a small team within its share waits while another team floods the cell.
func TestVisitor(t *testing.T) {
	const longest = 900 * time.Millisecond
	for _, design := range append([]string{"a scheduler a cell"}, baselines...) {
		w := newSimulation(t, 1, designRouters, designServers, designLimit)
		w.maxDelay = 2 * time.Millisecond
		workloads["flooded"](w)
		designs[design](w)
		visitor := &fakeTeam{name: "visitor", share: 10, cost: 200, hint: 1, routers: []int{4}}
		w.teams = append(w.teams, visitor)
		w.run(designWarmUp)
		for range 30 {
			w.enqueue(w.routers[4], visitor)
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
			ours := runDesign(t, workload, "a scheduler a cell")
			better := math.Inf(1)
			for design := range designs {
				isBaseline := slices.Contains(baselines, design)
				if design == "a scheduler a cell" || !isBaseline && !*compareAll {
					continue
				}
				r := runDesign(t, workload, design)
				// A baseline that leaves most slots idle serves too little to show a gap.
				if isBaseline && r.utilisation > ours.utilisation/2 {
					better = min(better, r.gap)
				}
			}
			if ours.boundRatio > 1 || ours.gap > better/4 || ours.utilisation < 0.97 {
				t.Errorf("gap %.1f beside a baseline's %.1f, %.2f of the bound, utilisation %.3f", ours.gap, better, ours.boundRatio, ours.utilisation)
			}
		})
	}
}
