package sched

import (
	"math"
	"testing"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

func TestOwnDataCentreFirst(t *testing.T) {
	for _, dataCentre := range []string{"killary", "clew"} {
		s := newScheduler(twoServers(), "r1")
		s.Take(0, "r1", dataCentre, 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
		if got := s.Next(0)[0].Grants.Grants[0].Server; got != dataCentre+"-1" {
			t.Errorf("a request in %s went to %s", dataCentre, got)
		}
	}
}

func TestEstimate(t *testing.T) {
	known := habit{mean: 100, ratio: 0.1}
	cases := map[string]struct {
		habit habit
		all   float32
		hint  int64
		want  int64
	}{
		"nothing known":              {hint: 50, want: 50},
		"no hint and nothing known":  {want: 1},
		"new team, hint within 4":    {all: 100, hint: 50, want: 50},
		"new team, hint far over":    {all: 100, hint: 10000, want: 400},
		"new team, hint far under":   {all: 100, hint: 1, want: 25},
		"known team, hints ten over": {habit: known, all: 7, hint: 1000, want: 100},
		"known team, larger request": {habit: known, all: 7, hint: 3000, want: 300},
		"known team, no hint":        {habit: known, all: 7, want: 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := memory{all: habit{mean: c.all}}
			if got := m.expect(c.habit, c.hint); got != c.want {
				t.Errorf("estimate %d, want %d", got, c.want)
			}
		})
	}
}

func TestMemoryKeepsTheLatestTeams(t *testing.T) {
	var m memory
	for i := range 3 * memorySize {
		m.keep(string(rune(i+0x20000)), habit{mean: 5})
	}
	if n := len(m.recent) + len(m.older); n > 2*memorySize {
		t.Errorf("%d teams remembered, bound %d", n, 2*memorySize)
	}
	if m.find(string(rune(3*memorySize-1+0x20000))).mean != 5 || m.find(string(rune(0x20000))).mean != 0 {
		t.Error("the latest team is forgotten, or the first is not")
	}
}

// TestRunningIsCharged lets a request cost more than expected while it runs.
func TestRunningIsCharged(t *testing.T) {
	s := newScheduler(twoServers(), "r1")
	s.Take(0, "r1", "clew", 0, full(1,
		fleet.TeamDemand{Team: "a", Waiting: 9, Estimate: 10}, fleet.TeamDemand{Team: "b", Waiting: 9, Estimate: 10}))
	grants := s.Next(0)[0].Grants.Grants
	a, b := grants[0], grants[1]
	s.Take(1, "r1", "clew", 0, fleet.Demand{
		Seq: 2, SeenTerm: term, Seen: b.ID,
		Running: []fleet.Running{{Grant: a.ID, Team: "a", Server: a.Server, Cost: 5000}},
		Done:    []fleet.Done{{Grant: b.ID, Outcome: fleet.OutcomeCompleted, Cost: 100}},
	})
	for _, g := range s.Next(1)[0].Grants.Grants {
		if g.Team != "b" {
			t.Errorf("team %s granted, whose running request has cost 50 times as much", g.Team)
		}
	}
}

// TestIdlenessEarnsNothing has a team keep one request running while another is served.
func TestIdlenessEarnsNothing(t *testing.T) {
	w := newWorld(t, 1, 3, 2, 4)
	busy := &fakeTeam{name: "busy", share: 1, cost: 100, hint: 1, keep: 10}
	back := &fakeTeam{name: "back", share: 1, cost: 100, hint: 1}
	w.teams = []*fakeTeam{busy, back}
	w.run(time.Second)
	w.ask(w.routers[0], back).cost = 6000
	w.run(5 * time.Second)
	back.keep, back.used, busy.used = 10, 0, 0
	w.run(2 * time.Second)
	if part := float64(back.used) / float64(back.used+busy.used); part > 0.6 {
		t.Errorf("a team back from idleness got %.2f of the service", part)
	}
}

// TestLeavingPaysNothing has a team leave after each of its large requests.
func TestLeavingPaysNothing(t *testing.T) {
	w := newWorld(t, 1, 3, 1, 1)
	flood := &fakeTeam{name: "flood", share: 1, cost: 100, hint: 1, keep: 10}
	comes := &fakeTeam{name: "comes", share: 1, cost: 600, hint: 1, callers: 1}
	w.teams = []*fakeTeam{flood, comes}
	w.ask(w.routers[0], comes)
	w.run(60 * time.Second)
	if part := float64(comes.used) / float64(comes.used+flood.used); math.Abs(part-0.5) > 0.05 {
		t.Errorf("a team that leaves after each request got %.2f of the service, want half", part)
	}
}

// TestFreedOrphanEndsOnce reports the end of a lost grant after its load was given up.
func TestFreedOrphanEndsOnce(t *testing.T) {
	s := newScheduler(twoServers()[:1], "r1", "r2")
	s.Take(0, "r1", "killary", 0, full(1))
	s.Take(0, "r2", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 2}))
	v := s.servers["killary-1"]
	v.limiter.Found(2)
	lost := s.Next(0)[0].Grants.Grants
	s.Forget(0, "r2")
	for i := range 3 * orphanReports {
		s.Load(time.Duration(2+i)*time.Second, fleet.Load{Server: "killary-1", Running: 1})
	}
	if len(lost) != 2 || v.orphans != 1 {
		t.Fatalf("%d granted, %d orphans of one reported", len(lost), v.orphans)
	}
	s.Take(20*time.Second, "r2", "killary", 0, fleet.Demand{Seq: 2, Done: []fleet.Done{{Grant: lost[0].ID}}})
	if v.orphans != 1 {
		t.Errorf("%d orphans left after the end of the one that was given up, want 1", v.orphans)
	}
}

// TestForeignLoad takes load that no grant explains off the limit, but not what a late report shows.
func TestForeignLoad(t *testing.T) {
	rules := []rule.Server{{Name: "killary-1", DataCentre: "killary", Limit: 4}}
	s := newScheduler(rules, "r1")
	s.servers["killary-1"].limiter.Found(4)
	s.Take(0, "r1", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 4}))
	d := fleet.Demand{Seq: 2, SeenTerm: term, Waiting: []fleet.TeamDemand{{Team: "skippers"}}}
	for _, g := range s.Next(0)[0].Grants.Grants {
		d.Seen, d.Done = g.ID, append(d.Done, fleet.Done{Grant: g.ID, Outcome: fleet.OutcomeCompleted})
	}
	s.Take(100*time.Millisecond, "r1", "killary", 100, d)
	report := fleet.Load{Server: "killary-1", Running: 4}
	cases := []struct {
		at   time.Duration
		want int
	}{{200 * time.Millisecond, 0}, {5 * time.Second, 4}}
	for _, c := range cases {
		s.Load(c.at, report)
		if got := s.Status(c.at).Servers[0].Foreign; got != c.want {
			t.Errorf("foreign load %d at %v, want %d", got, c.at, c.want)
		}
	}
}

// TestStalledServer sets a server aside whose request makes no progress, and tries it again.
func TestStalledServer(t *testing.T) {
	s := newScheduler(twoServers()[:1], "r1")
	s.Take(0, "r1", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	s.Next(0)
	for now := time.Duration(0); now < defaultStallLimit; now += time.Second {
		if held := s.Status(now).Servers[0].Held; held != fleet.ReasonHeld {
			t.Fatalf("%v at %v", held, now)
		}
	}
	if held := s.Status(defaultStallLimit).Servers[0].Held; held != fleet.ReasonServerFailed {
		t.Errorf("%v after no progress", held)
	}
	if wake, ok := s.Wake(); !ok || wake > defaultStallLimit+reviewPeriod {
		t.Errorf("next look at %v, %v", wake, ok)
	}
}
