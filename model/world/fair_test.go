package world

import (
	"testing"
	"time"
)

// TestFairOverSixSeconds guards against violations of the users' fairness rule over six seconds, under loads in which some
// team always waits.
func TestFairOverSixSeconds(t *testing.T) {
	t.Parallel()
	half := map[int]time.Duration{0: 4 * time.Second, 1: 4 * time.Second, 2: 4 * time.Second, 3: 4 * time.Second, 4: 4 * time.Second}
	for name, p := range map[string]Pattern{
		"half as much again":                {RateFactor: constantRate(1.5)},
		"hot team":                          {RateFactor: constantRate(1.6), HotTeamShare: 0.375},
		"very hot team":                     {RateFactor: constantRate(4), HotTeamShare: 0.8},
		"hot team at one router":            {RateFactor: constantRate(4), HotTeamShare: 0.8, HotTeamOnOneRouter: true},
		"hot team and five of nine lost":    {RateFactor: constantRate(2), HotTeamShare: 0.5, FailAt: half},
		"hot router and five of nine lost":  {RateFactor: constantRate(2), HotTeamShare: 0.5, HotTeamOnOneRouter: true, FailAt: half},
		"few teams and five of nine lost":   {RateFactor: constantRate(1.2), Teams: 4, HotTeamShare: 0.3, FailAt: half},
		"no hot team and five of nine lost": {RateFactor: constantRate(1.5), FailAt: half},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if p.Teams == 0 {
				p.Teams = 16
			}
			p.Duration = patternDuration
			r := Run(p, Kinds(), DefaultEngine(), routers, servers, 1)
			t.Log(r)
			if r.Unfair != nil {
				t.Errorf("unfair: %+v", *r.Unfair)
			}
		})
	}
}

// TestHotTeamAtOneOfManyRouters checks the fairness rule in a large fleet: one of 88 routers serves the hot team, and its
// load reports reach the others late.
func TestHotTeamAtOneOfManyRouters(t *testing.T) {
	t.Parallel()
	p := Pattern{RateFactor: constantRate(grownHotLoad), Teams: 30, HotTeamShare: 0.6, HotTeamOnOneRouter: true, Duration: grownHotDuration, ReportPeriod: grownPeriod}
	r := Run(p, grownKinds(), grownEngine(), grownRouters, grownServers, 1)
	t.Log(r)
	if r.Unfair != nil {
		t.Errorf("unfair: %+v", *r.Unfair)
	}
}

// TestUnfair checks the fairness rule itself, with two teams over six seconds and requests of 100 tokens each.
func TestUnfair(t *testing.T) {
	for name, c := range map[string]struct {
		mine, other int // requests served per second, of ten that each team sends
		calmSecond  int // second in which all of mine are served in time; 0 means none
		want        bool
	}{
		"far less":                     {mine: 2, other: 10, want: true},
		"half":                         {mine: 5, other: 10},
		"a little under half":          {mine: 4, other: 9, want: false}, // within three requests of six seconds
		"under half":                   {mine: 3, other: 8, want: true},
		"both get little":              {mine: 2, other: 3},
		"one second in which it is ok": {mine: 2, other: 10, calmSecond: 3},
	} {
		t.Run(name, func(t *testing.T) {
			var requests []*Request
			add := func(team string, second, n, served int) {
				for i := range n {
					at := time.Duration(second)*time.Second + time.Duration(i)*time.Millisecond
					r := &Request{rejected: i >= served}
					r.Team, r.PromptTokens, r.Arrived, r.Objective = team, 100, at, at+time.Second
					if !r.rejected {
						r.firstEvent = at + time.Millisecond
					}
					requests = append(requests, r)
				}
			}
			for second := range fairWindow {
				mine := c.mine
				if c.calmSecond == second && second > 0 {
					mine = 10
				}
				add("mine", second, 10, mine)
				add("other", second, 10, c.other)
			}
			u, got := findUnfairWindow(requests, fairWindow*time.Second)
			if got != c.want || got && u.Team != "mine" {
				t.Errorf("unfair %t %+v, want %t", got, u, c.want)
			}
		})
	}
}
