package world

import (
	"testing"
	"time"
)

const (
	grownRouters = 88
	grownServers = 140
	// grownLoad is the request rate of that fleet in the users' sheet, as a fraction of the scaled rate of Kinds.
	grownLoad = 0.8
	// grownPeriod is the interval between load reports of 88 routers.
	grownPeriod = 120 * time.Millisecond
	// grownWorth is the users' target for such a fleet.
	grownWorth = 0.73
)

func grownEngine() Engine {
	e := DefaultEngine()
	e.Slots, e.CacheTokens, e.PrefillPerMs, e.TokensPerEvent = 24, 313000, 38.4, 5
	return e
}

func grownKinds() []Kind {
	kinds := ScaleKinds(Kinds(), float64(grownServers)/usualServers)
	kinds[0].Objective, kinds[1].Objective = 800*time.Millisecond, 1500*time.Millisecond
	return kinds
}

// runGrown simulates the large fleet under a constant load, of which the fraction hot comes from one team.
func runGrown(load, hot float64, duration time.Duration) Result {
	p := Pattern{RateFactor: constantRate(load), Teams: 30, HotTeamShare: hot, Duration: duration, ReportPeriod: grownPeriod}
	return Run(p, grownKinds(), grownEngine(), grownRouters, grownServers, 1)
}

// TestGrownFleet guards against routers with stale load reports that all send to the servers that looked best.
func TestGrownFleet(t *testing.T) {
	t.Parallel()
	r := runGrown(grownLoad, 0, 15*time.Second)
	t.Log(r)
	if r.Worth < grownWorth {
		t.Errorf("worth %.3f, want %.3f", r.Worth, grownWorth)
	}
}
