package world

import (
	"testing"
	"time"
)

const (
	grownRouters = 88
	grownServers = 140
	// grownLoad is the sheet's requests a second of that fleet, as a part of what Kinds gives to so many servers.
	grownLoad = 0.8
	// grownPeriod is how often 88 routers hear of each other's load.
	grownPeriod = 120 * time.Millisecond
	// grownWorth is the users' aim for such a fleet.
	grownWorth = 0.73
)

func grownEngine() Engine {
	e := DefaultEngine()
	e.Slots, e.CacheTokens, e.ReadTokens, e.Stride = 24, 313000, 38.4, 5
	return e
}

func grownKinds() []Kind {
	kinds := Scaled(Kinds(), float64(grownServers)/usualServers)
	kinds[0].Objective, kinds[1].Objective = 800*time.Millisecond, 1500*time.Millisecond
	return kinds
}

// playGrown plays a grown fleet under a steady load, with so much of it from one hot team.
func playGrown(load, hot float64, duration time.Duration) Result {
	p := Pattern{Factor: steady(load), Teams: 30, HotTeam: hot, Duration: duration, Period: grownPeriod}
	return Run(p, grownKinds(), grownEngine(), grownRouters, grownServers, 1)
}

// Many routers that hear of each other's load late don't all send to the servers that looked best.
func TestGrownFleet(t *testing.T) {
	t.Parallel()
	r := playGrown(grownLoad, 0, 15*time.Second)
	t.Log(r)
	if r.Worth < grownWorth {
		t.Errorf("worth %.3f, want %.3f", r.Worth, grownWorth)
	}
}
