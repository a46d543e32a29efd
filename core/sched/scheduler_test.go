package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

const term = 1000

func twoServers() []rule.Server {
	return []rule.Server{
		{Name: "killary-1", DataCentre: "killary", Address: "127.0.0.1:1", Limit: 2, Fencing: true},
		{Name: "clew-1", DataCentre: "clew", Address: "127.0.0.1:2", Limit: 2},
	}
}

func newScheduler(servers []rule.Server, lenders ...string) *Scheduler {
	s := &Scheduler{Term: term}
	s.Configure(0, servers, nil, nil)
	s.SetLenders(0, lenders, len(lenders))
	return s
}

func full(seq uint64, waiting ...fleet.TeamDemand) fleet.Demand {
	return fleet.Demand{Seq: seq, Full: true, Waiting: waiting}
}

func count(batches []Batch) int {
	n := 0
	for _, b := range batches {
		n += len(b.Grants.Grants)
	}
	return n
}

func TestFirstGrant(t *testing.T) {
	s := newScheduler(twoServers(), "r1")
	s.ReceiveDemand(0, "r1", "clew", 7, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	want := []Batch{{To: "r1", Grants: fleet.Grants{Term: term, Basis: 7, Grants: []fleet.Grant{
		{ID: term<<fleet.TermShift + 1, Team: "skippers", Server: "clew-1", Address: "127.0.0.1:2"},
	}}}}
	if diff := cmp.Diff(want, s.Next(0)); diff != "" {
		t.Errorf("grants differ (-want +got):\n%s", diff)
	}
	if again := s.Next(0); len(again) != 0 {
		t.Errorf("granted the same request again: %v", again)
	}
}

func TestServersThatTakeNothing(t *testing.T) {
	cases := map[string]struct {
		out, leaving map[string]bool
		want         int
	}{
		"all in service":         {want: 2},
		"a data centre out":      {out: map[string]bool{"clew": true}, want: 1},
		"a server leaving":       {leaving: map[string]bool{"clew-1": true}, want: 1},
		"both":                   {out: map[string]bool{"killary": true}, leaving: map[string]bool{"clew-1": true}, want: 0},
		"another leaving server": {leaving: map[string]bool{"other": true}, want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(twoServers(), "r1")
			s.Configure(0, twoServers(), c.out, c.leaving)
			s.ReceiveDemand(0, "r1", "clew", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 5}))
			if got := count(s.Next(0)); got != c.want {
				t.Errorf("granted %d, want %d: one per usable server", got, c.want)
			}
		})
	}
}

func TestQuotasStayWithinLimit(t *testing.T) {
	for limit := range 40 {
		for listed := 1; listed < 12; listed++ {
			for lent := range listed + 1 {
				a := &Scheduler{routerCount: listed, activeLenders: lent}
				b := &Scheduler{routerCount: listed, activeLenders: listed - lent}
				if sum := a.quota(limit) + b.quota(limit); sum > limit {
					t.Fatalf("quotas of limit %d with %d of %d routers lending add up to %d", limit, lent, listed, sum)
				}
			}
		}
	}
}

func TestUnusedGrantLapses(t *testing.T) {
	s := newScheduler(twoServers()[:1], "r1", "r2")
	s.ReceiveDemand(0, "r2", "killary", 0, full(1))
	s.ReceiveDemand(0, "r1", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	if got := count(s.Next(0)); got != 1 {
		t.Fatalf("granted %d, want 1", got)
	}
	s.UpdateBasis(800*time.Millisecond, "r1", 800)
	if got := s.Next(800 * time.Millisecond); len(got) != 0 {
		t.Fatalf("granted %v while the first grant is still valid", got)
	}
	s.UpdateBasis(900*time.Millisecond, "r1", 900)
	if got := count(s.Next(900 * time.Millisecond)); got != 1 {
		t.Errorf("granted %d after the first grant expired, want 1", got)
	}
}

func TestUnreachedServerIsAvoided(t *testing.T) {
	s := newScheduler(twoServers(), "r1", "r2")
	s.ReceiveDemand(0, "r2", "killary", 0, full(1))
	s.ReceiveDemand(0, "r1", "clew", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	first := s.Next(0)[0].Grants.Grants[0]
	s.ReceiveDemand(1, "r1", "clew", 0, fleet.Demand{
		Seq: 2, SeenTerm: term, Seen: first.ID, Done: []fleet.Done{{Grant: first.ID, Outcome: fleet.OutcomeUnreached}},
		Waiting: []fleet.TeamDemand{{Team: "skippers", Waiting: 1}},
	})
	if second := s.Next(1)[0].Grants.Grants[0]; first.Server != "clew-1" || second.Server != "killary-1" {
		t.Errorf("granted on %s and, after it was unreachable, on %s; want clew-1 and killary-1", first.Server, second.Server)
	}
}

func TestOrphansWithoutReports(t *testing.T) {
	s := newScheduler(twoServers()[:1], "r1", "r2")
	s.ReceiveDemand(0, "r2", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	s.ReceiveDemand(0, "r1", "clew", 0, full(1))
	s.Next(0)
	s.RemoveRouter(0, "r2")
	s.SetLenders(0, []string{"r1"}, 1)
	for now := time.Duration(0); now < 40*time.Second; now += time.Second {
		s.LoadFailed(now, "killary-1")
		s.ReceiveDemand(now, "r1", "clew", now.Milliseconds(), fleet.Demand{
			Seq: 2 + uint64(now), Waiting: []fleet.TeamDemand{{Team: "farms", Waiting: 1}},
		})
		if got, want := count(s.Next(now)), now == defaultStallLimit; (got == 1) != want {
			t.Fatalf("granted %d at %v beside the orphan of a lost router", got, now)
		}
		if now == defaultStallLimit {
			return
		}
	}
}

// TestOrphansWithinOtherQuotas cuts a router off from three others, which ran as many requests as the server
// allows. Once reports show that the others stay within their quotas, the router may use its own.
func TestOrphansWithinOtherQuotas(t *testing.T) {
	const others = 6 // quota of three routers of four, with a limit of 8
	cases := map[string]struct {
		after time.Duration // time of the first of three reports
		loads [orphanReports]int
		want  int
	}{
		"others within their quota":        {handoverTime, [orphanReports]int{others, others, others}, 2},
		"reports from before handoverTime": {handoverTime - time.Millisecond, [orphanReports]int{others, others, others}, 0},
		"others over their quota":          {handoverTime, [orphanReports]int{others, others + 1, others}, 0},
		"others idle":                      {handoverTime, [orphanReports]int{0, 0, 0}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			servers := twoServers()[:1]
			servers[0].Limit = 8
			s := newScheduler(servers, "r1", "r2", "r3", "r4")
			s.ObserveLoad(0, fleet.Load{Server: "killary-1", Running: 8})
			s.ReceiveDemand(0, "r1", "clew", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 8}))
			for i, name := range []string{"r2", "r3", "r4"} {
				d := full(1)
				for n := range 2 + i%2 {
					d.Running = append(d.Running, fleet.Running{Grant: uint64(10*i + n + 1), Team: "farms", Server: "killary-1"})
				}
				s.ReceiveDemand(0, name, "clew", 0, d)
				s.RemoveRouter(0, name)
			}
			s.SetLenders(0, []string{"r1"}, 4)
			granted := 0
			for i, load := range c.loads {
				now := c.after + time.Duration(i)*500*time.Millisecond
				s.ObserveLoad(now, fleet.Load{Server: "killary-1", Running: load})
				now += transitTime
				seen := uint64(term<<fleet.TermShift + granted)
				s.ReceiveDemand(now, "r1", "clew", now.Milliseconds(), fleet.Demand{Seq: 2 + uint64(i), SeenTerm: term, Seen: seen})
				granted += count(s.Next(now))
			}
			if granted != c.want {
				t.Errorf("granted %d, want %d", granted, c.want)
			}
		})
	}
}

// TestLostGrantIsReleased loses grants with a connection and then acknowledges a later one. The lost grants must
// not count as running for ever.
func TestLostGrantIsReleased(t *testing.T) {
	s := newScheduler(twoServers(), "r1")
	two := fleet.TeamDemand{Team: "skippers", Waiting: 2}
	s.ReceiveDemand(0, "r1", "clew", 0, full(1, two))
	first := s.Next(0)[0].Grants.Grants // lost; the router then sends a full demand
	again := full(2, fleet.TeamDemand{Team: "skippers", Waiting: 4})
	s.ReceiveDemand(1, "r1", "clew", 1, again)
	s.ReceiveDemand(2, "r1", "clew", 2, fleet.Demand{Seq: 3, SeenTerm: term, Seen: first[1].ID + 1})
	for now := time.Duration(1); now <= 4; now++ {
		s.ReceiveDemand(now*time.Second, "r1", "clew", 1000*int64(now), fleet.Demand{Seq: 3 + uint64(now), SeenTerm: term, Seen: first[1].ID + 1})
		s.ObserveLoad(now*time.Second, fleet.Load{Server: "clew-1"})
		s.ObserveLoad(now*time.Second, fleet.Load{Server: "killary-1"})
	}
	if got := count(s.Next(4 * time.Second)); got != 2 {
		t.Errorf("granted %d after the lost grants, want 2", got)
	}
}

func TestOldDemandIsDropped(t *testing.T) {
	s := newScheduler(twoServers(), "r1")
	s.ReceiveDemand(0, "r1", "clew", 0, full(5))
	s.ReceiveDemand(0, "r1", "clew", 0, full(4, fleet.TeamDemand{Team: "skippers", Waiting: 1}))
	if got := s.Next(0); len(got) != 0 || s.Dropped != 1 {
		t.Errorf("granted %v and dropped %d, want none and 1", got, s.Dropped)
	}
}

// TestFirstReport requires that a server gets no work before its first load report or the end of
// Settings.FirstReport.
func TestFirstReport(t *testing.T) {
	const wait = time.Second
	cases := map[string]struct {
		report *fleet.Load
		after  time.Duration
		want   int
	}{
		"no report yet":   {after: wait / 2, want: 0},
		"no report comes": {after: wait, want: 1},
		"full":            {report: &fleet.Load{Running: 2}, after: wait / 2, want: 0},
		"free":            {report: &fleet.Load{}, after: wait / 2, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Scheduler{Term: term, Settings: Settings{FirstReport: wait}}
			s.Configure(0, twoServers()[:1], nil, nil)
			s.SetLenders(0, []string{"r1"}, 1)
			s.ReceiveDemand(0, "r1", "killary", 0, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 5}))
			if c.report != nil {
				c.report.Server = "killary-1"
				s.ObserveLoad(c.after, *c.report)
			}
			s.UpdateBasis(c.after, "r1", c.after.Milliseconds())
			if got := count(s.Next(c.after)); got != c.want {
				t.Errorf("%d grants, want %d", got, c.want)
			}
		})
	}
}
