package world

import (
	"testing"
	"time"
)

// TestFairOverSixSeconds guards against teams that get far less than another for six seconds, as the users judge it, under
// loads in which some team always waits.
func TestFairOverSixSeconds(t *testing.T) {
	t.Parallel()
	half := map[int]time.Duration{0: 4 * time.Second, 1: 4 * time.Second, 2: 4 * time.Second, 3: 4 * time.Second, 4: 4 * time.Second}
	for name, p := range map[string]Pattern{
		"half as much again":                {Factor: steady(1.5)},
		"hot team":                          {Factor: steady(1.6), HotTeam: 0.375},
		"very hot team":                     {Factor: steady(4), HotTeam: 0.8},
		"hot team at one router":            {Factor: steady(4), HotTeam: 0.8, HotRouter: true},
		"hot team and five of nine lost":    {Factor: steady(2), HotTeam: 0.5, Lose: half},
		"hot router and five of nine lost":  {Factor: steady(2), HotTeam: 0.5, HotRouter: true, Lose: half},
		"few teams and five of nine lost":   {Factor: steady(1.2), Teams: 4, HotTeam: 0.3, Lose: half},
		"no hot team and five of nine lost": {Factor: steady(1.5), Lose: half},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if p.Teams == 0 {
				p.Teams = 16
			}
			p.Duration = day
			r := Run(p, Kinds(), DefaultEngine(), routers, servers, 1)
			t.Log(r)
			if r.Unfair != nil {
				t.Errorf("unfair: %+v", *r.Unfair)
			}
		})
	}
}

// TestHotTeamAtOneOfManyRouters is the same in a grown fleet: one of 88 routers sends for the hot team, the others hear of it late.
func TestHotTeamAtOneOfManyRouters(t *testing.T) {
	t.Parallel()
	p := Pattern{Factor: steady(grownHotLoad), Teams: 30, HotTeam: 0.6, HotRouter: true, Duration: grownHotTime, Period: grownPeriod}
	r := Run(p, grownKinds(), grownEngine(), grownRouters, grownServers, 1)
	t.Log(r)
	if r.Unfair != nil {
		t.Errorf("unfair: %+v", *r.Unfair)
	}
}

// TestUnfair checks the rule itself, on two teams over six seconds with requests of 100 tokens each.
func TestUnfair(t *testing.T) {
	for name, c := range map[string]struct {
		mine, other int // requests that are served in a second, of ten that each team asks for
		calmSecond  int // in which all of mine are served in time; 0 for none
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
					r := &Request{refused: i >= served}
					r.Team, r.PromptTokens, r.Arrived, r.Objective = team, 100, at, at+time.Second
					if !r.refused {
						r.began = at + time.Millisecond
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
			u, got := unfair(requests, fairWindow*time.Second)
			if got != c.want || got && u.Team != "mine" {
				t.Errorf("unfair %t %+v, want %t", got, u, c.want)
			}
		})
	}
}
