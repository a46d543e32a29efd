package world

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	routers         = 9
	servers         = 9
	patternDuration = 20 * time.Second
	// calmWorth is the least worth without disturbances.
	calmWorth = 0.82
	// tolerance is the change in worth that counts as none.
	tolerance = 0.03
	// minKindFraction is the least worth of each kind, as a fraction of the worth of all.
	minKindFraction = 0.25
	// minTeamFraction is the least service of each team, as a fraction of that of the best served team.
	minTeamFraction = 0.5
)

func runPattern(p Pattern, routers int) Result {
	p.Duration = patternDuration
	p.Teams = 16
	return Run(p, Kinds(), DefaultEngine(), routers, servers, 1)
}

func constantRate(x float64) func(time.Duration, string) float64 {
	return func(time.Duration, string) float64 { return x }
}

// burst multiplies the rate of one kind between 5 s and 10 s.
func burst(kind string, x float64) func(time.Duration, string) float64 {
	return func(at time.Duration, k string) float64 {
		if k == kind && at > 5*time.Second && at < 10*time.Second {
			return x
		}
		return 1
	}
}

// TestPatterns checks that each load pattern earns its least worth and starves no kind or team.
func TestPatterns(t *testing.T) {
	t.Parallel()
	calm := runPattern(Pattern{}, routers).Worth
	lost := map[int]time.Duration{0: 5 * time.Second, 1: 5 * time.Second}
	tests := map[string]struct {
		pattern Pattern
		routers int
		worth   float64
	}{
		"calm":                          {worth: calmWorth},
		"one router with half the load": {pattern: Pattern{Skew: 0.5}, worth: calm - tolerance},
		"18 routers":                    {routers: 2 * routers, worth: calm - tolerance},
		"burst of long answers":         {pattern: Pattern{RateFactor: burst("note", 1.5)}, worth: calm - 2*tolerance},
		"two of nine servers lost":      {pattern: Pattern{FailAt: lost}, worth: calmWorth * 7 / 9},
		"hot subject":                   {pattern: Pattern{HotSubjectShare: 0.28}, worth: calmWorth - 2*tolerance},
		"half as much again":            {pattern: Pattern{RateFactor: constantRate(1.5)}, worth: calmWorth / 1.5 * 0.9},
		"hot team":                      {pattern: Pattern{RateFactor: constantRate(1.5), HotTeamShare: 0.4}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := c.routers
			if n == 0 {
				n = routers
			}
			r := runPattern(c.pattern, n)
			t.Log(r)
			if r.Worth < c.worth {
				t.Errorf("worth %.3f, want %.3f", r.Worth, c.worth)
			}
			for i, worth := range r.KindWorth {
				if worth < minKindFraction*r.Worth {
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
				if team != "hot" && served < minTeamFraction*best {
					t.Errorf("%s has %.2f of its requests served in time, the best served team %.2f", team, served, best)
				}
			}
		})
	}
}

// othersInTime returns the mean fraction of requests served in time over all teams but the hot one.
func othersInTime(r Result) float64 {
	sum, teams := 0.0, 0.0
	for team, served := range r.TeamServed {
		if team != "hot" {
			sum, teams = sum+served, teams+1
		}
	}
	return sum / teams
}

// TestHotTeamHarmsNobody guards against a team over its share that takes capacity from teams within theirs. They must be
// served at least half as well as without it.
func TestHotTeamHarmsNobody(t *testing.T) {
	t.Parallel()
	without := runPattern(Pattern{}, routers)
	with := runPattern(Pattern{RateFactor: constantRate(1.6), HotTeamShare: 0.375}, routers) // the demand of the others is as in the calm pattern
	before, after := othersInTime(without), othersInTime(with)
	t.Logf("served in time: %.3f without, %.3f beside the hot team", before, after)
	if after < minTeamFraction*before {
		t.Errorf("the other teams are served %.3f, without the hot team %.3f", after, before)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	if d := cmp.Diff(runPattern(Pattern{}, routers), runPattern(Pattern{}, routers)); d != "" {
		t.Error(d)
	}
}
