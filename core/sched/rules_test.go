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
		s.ReceiveDemand(0, "r1", dataCentre, 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
		if got := s.Next(0)[0].Grants.Grants[0].Server; got != dataCentre+"-1" {
			t.Errorf("request in %s was granted on %s", dataCentre, got)
		}
	}
}

func TestEstimate(t *testing.T) {
	known := costStats{mean: 100, ratio: 0.1}
	cases := map[string]struct {
		habit costStats
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
			m := costHistory{all: costStats{mean: c.all}}
			if got := m.estimate(c.habit, c.hint); got != c.want {
				t.Errorf("estimate %d, want %d", got, c.want)
			}
		})
	}
}

func TestMemoryKeepsTheLatestTeams(t *testing.T) {
	var m costHistory
	for i := range 3 * generationSize {
		m.store(string(rune(i+0x20000)), costStats{mean: 5})
	}
	if n := len(m.recent) + len(m.older); n > 2*generationSize {
		t.Errorf("%d teams in the cost history, want at most %d", n, 2*generationSize)
	}
	if m.lookup(string(rune(3*generationSize-1+0x20000))).mean != 5 || m.lookup(string(rune(0x20000))).mean != 0 {
		t.Error("the cost history lacks the latest team, or still has the first")
	}
}

// TestRunningIsCharged requires that a running request that exceeds its estimate is charged before it ends.
func TestRunningIsCharged(t *testing.T) {
	s := newScheduler(twoServers(), "r1")
	s.ReceiveDemand(0, "r1", "clew", 0, full(1,
		fleet.TeamDemand{Team: "a", Waiting: 9, Estimate: 10}, fleet.TeamDemand{Team: "b", Waiting: 9, Estimate: 10}))
	grants := s.Next(0)[0].Grants.Grants
	a, b := grants[0], grants[1]
	s.ReceiveDemand(1, "r1", "clew", 0, fleet.Demand{
		Seq: 2, SeenTerm: term, Seen: b.ID,
		Running: []fleet.Running{{Grant: a.ID, Team: "a", Server: a.Server, Cost: 5000}},
		Done:    []fleet.Done{{Grant: b.ID, Outcome: fleet.OutcomeCompleted, Cost: 100}},
	})
	for _, g := range s.Next(1)[0].Grants.Grants {
		if g.Team != "b" {
			t.Errorf("granted to team %s, whose running request has cost 50 times as much", g.Team)
		}
	}
}

// TestNoCreditForIdleTime requires that a team with one long running request and nothing waiting gains no
// credit while another team is served.
func TestNoCreditForIdleTime(t *testing.T) {
	w := newSimulation(t, 1, 3, 2, 4)
	busy := &fakeTeam{name: "busy", share: 1, cost: 100, hint: 1, backlog: 10}
	returning := &fakeTeam{name: "returning", share: 1, cost: 100, hint: 1}
	w.teams = []*fakeTeam{busy, returning}
	w.run(time.Second)
	w.enqueue(w.routers[0], returning).cost = 6000
	w.run(5 * time.Second)
	returning.backlog, returning.used, busy.used = 10, 0, 0
	w.run(2 * time.Second)
	if part := float64(returning.used) / float64(returning.used+busy.used); part > 0.6 {
		t.Errorf("a team that was idle got %.2f of the service, want at most 0.6", part)
	}
}

// TestNoGainFromLeaving requires that a team that goes idle after each of its large requests gets no more than
// its share.
func TestNoGainFromLeaving(t *testing.T) {
	w := newSimulation(t, 1, 3, 1, 1)
	flood := &fakeTeam{name: "flood", share: 1, cost: 100, hint: 1, backlog: 10}
	leaver := &fakeTeam{name: "leaver", share: 1, cost: 600, hint: 1, callers: 1}
	w.teams = []*fakeTeam{flood, leaver}
	w.enqueue(w.routers[0], leaver)
	w.run(60 * time.Second)
	if part := float64(leaver.used) / float64(leaver.used+flood.used); math.Abs(part-0.5) > 0.05 {
		t.Errorf("a team that goes idle after each request got %.2f of the service, want half", part)
	}
}

// TestFreedOrphanEndsOnce reports the end of a lost grant after load reports have freed its orphan. The end must
// not free a second orphan.
func TestFreedOrphanEndsOnce(t *testing.T) {
	s := newScheduler(twoServers()[:1], "r1", "r2")
	s.ReceiveDemand(0, "r1", "killary", 0, full(1))
	s.ReceiveDemand(0, "r2", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 2}))
	v := s.servers["killary-1"]
	v.limiter.InferInFlight(2)
	lost := s.Next(0)[0].Grants.Grants
	s.RemoveRouter(0, "r2")
	for i := range 3 * orphanReports {
		s.ObserveLoad(time.Duration(2+i)*time.Second, fleet.Load{Server: "killary-1", Running: 1})
	}
	if len(lost) != 2 || v.orphans != 1 {
		t.Fatalf("%d grants and %d orphans, want 2 and 1", len(lost), v.orphans)
	}
	s.ReceiveDemand(20*time.Second, "r2", "killary", 0, fleet.Demand{Seq: 2, Done: []fleet.Done{{Grant: lost[0].ID}}})
	if v.orphans != 1 {
		t.Errorf("%d orphans after the end of the freed one, want 1", v.orphans)
	}
}

// TestForeignLoad requires that load that no grant explains reduces the usable limit, but not load in a report
// that is merely late.
func TestForeignLoad(t *testing.T) {
	rules := []rule.Server{{Name: "killary-1", DataCentre: "killary", Limit: 4}}
	s := newScheduler(rules, "r1")
	s.servers["killary-1"].limiter.InferInFlight(4)
	s.ReceiveDemand(0, "r1", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 4}))
	d := fleet.Demand{Seq: 2, SeenTerm: term, Waiting: []fleet.TeamDemand{{Team: "skippers"}}}
	for _, g := range s.Next(0)[0].Grants.Grants {
		d.Seen, d.Done = g.ID, append(d.Done, fleet.Done{Grant: g.ID, Outcome: fleet.OutcomeCompleted})
	}
	s.ReceiveDemand(100*time.Millisecond, "r1", "killary", 100, d)
	report := fleet.Load{Server: "killary-1", Running: 4}
	cases := []struct {
		at   time.Duration
		want int
	}{{200 * time.Millisecond, 0}, {5 * time.Second, 4}}
	for _, c := range cases {
		s.ObserveLoad(c.at, report)
		if got := s.Status(c.at).Servers[0].Foreign; got != c.want {
			t.Errorf("foreign load %d at %v, want %d", got, c.at, c.want)
		}
	}
}

// TestStalledServer requires that a server whose request makes no progress is held back, and is tried again later.
func TestStalledServer(t *testing.T) {
	s := newScheduler(twoServers()[:1], "r1")
	s.ReceiveDemand(0, "r1", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	s.Next(0)
	for now := time.Duration(0); now < defaultStallLimit; now += time.Second {
		if held := s.Status(now).Servers[0].Held; held != fleet.ReasonHeld {
			t.Fatalf("held as %v at %v, want held", held, now)
		}
	}
	if held := s.Status(defaultStallLimit).Servers[0].Held; held != fleet.ReasonServerFailed {
		t.Errorf("held as %v without progress, want serverFailed", held)
	}
	if wake, ok := s.NextWake(); !ok || wake > defaultStallLimit+reviewPeriod {
		t.Errorf("Wake returned %v, %v", wake, ok)
	}
}
