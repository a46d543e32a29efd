package world

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	routers = 9
	servers = 9
	day     = 20 * time.Second
	// calmWorth is what a calm day has to earn.
	calmWorth = 0.82
	// noise is the change of worth that counts as none.
	noise = 0.03
	// starved is the least part of the mean that each kind has to be served.
	starved = 0.25
	// fair is the least part of the best served team that each team has to be served.
	fair = 0.5
)

func play(p Pattern, routers int) Result {
	p.Duration = day
	p.Teams = 16
	return Run(p, Kinds(), DefaultEngine(), routers, servers, 1)
}

func steady(x float64) func(time.Duration, string) float64 {
	return func(time.Duration, string) float64 { return x }
}

// burst multiplies one kind for a while.
func burst(kind string, x float64) func(time.Duration, string) float64 {
	return func(at time.Duration, k string) float64 {
		if k == kind && at > 5*time.Second && at < 10*time.Second {
			return x
		}
		return 1
	}
}

// Each pattern of load with the least worth that it has to earn.
func TestPatterns(t *testing.T) {
	t.Parallel()
	calm := play(Pattern{}, routers).Worth
	lost := map[int]time.Duration{0: 5 * time.Second, 1: 5 * time.Second}
	tests := map[string]struct {
		pattern Pattern
		routers int
		worth   float64
	}{
		"calm":                          {worth: calmWorth},
		"one router with half the load": {pattern: Pattern{Skew: 0.5}, worth: calm - noise},
		"18 routers":                    {routers: 2 * routers, worth: calm - noise},
		"burst of long answers":         {pattern: Pattern{Factor: burst("note", 1.5)}, worth: calm - 2*noise},
		"two of nine servers lost":      {pattern: Pattern{Lose: lost}, worth: calmWorth * 7 / 9},
		"hot subject":                   {pattern: Pattern{HotKey: 0.28}, worth: calmWorth - 2*noise},
		"half as much again":            {pattern: Pattern{Factor: steady(1.5)}, worth: calmWorth / 1.5 * 0.9},
		"hot team":                      {pattern: Pattern{Factor: steady(1.5), HotTeam: 0.4}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := c.routers
			if n == 0 {
				n = routers
			}
			r := play(c.pattern, n)
			t.Log(r)
			if r.Worth < c.worth {
				t.Errorf("worth %.3f, want %.3f", r.Worth, c.worth)
			}
			for i, worth := range r.KindWorth {
				if worth < starved*r.Worth {
					t.Errorf("%s earns %.3f of its worth, all earn %.3f", Kinds()[i].Name, worth, r.Worth)
				}
			}
			best := 0.0
			for team, served := range r.TeamServed {
				if team != "hot" {
					best = max(best, served)
				}
			}
			for team, served := range r.TeamServed {
				if team != "hot" && served < fair*best {
					t.Errorf("%s has %.2f of its requests served in time, the best served team %.2f", team, served, best)
				}
			}
		})
	}
}

// others gives the part of their requests that teams other than the hot one have in time, in the mean.
func others(r Result) float64 {
	sum, teams := 0.0, 0.0
	for team, served := range r.TeamServed {
		if team != "hot" {
			sum, teams = sum+served, teams+1
		}
	}
	return sum / teams
}

// A team that sends far more than its share takes nothing from those within theirs: they are served as well as without it.
func TestHotTeamHarmsNobody(t *testing.T) {
	t.Parallel()
	without := play(Pattern{}, routers)
	with := play(Pattern{Factor: steady(1.6), HotTeam: 0.375}, routers) // the others ask for as much as on a calm day
	before, after := others(without), others(with)
	t.Logf("served in time: %.3f without, %.3f beside the hot team", before, after)
	if after < fair*before {
		t.Errorf("the other teams are served %.3f, without the hot team %.3f", after, before)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	if d := cmp.Diff(play(Pattern{}, routers), play(Pattern{}, routers)); d != "" {
		t.Error(d)
	}
}
