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

// Many routers that hear of each other's load late don't all send to the servers that looked best.
func TestGrownFleet(t *testing.T) {
	p := Pattern{Factor: steady(grownLoad), Teams: 30, Duration: 15 * time.Second, Period: grownPeriod}
	r := Run(p, grownKinds(), grownEngine(), grownRouters, grownServers, 1)
	t.Logf("worth %.3f, by kind %.3f, in time %d, late %d, refused %d (%d beside a half empty server), failed %d, read again %.3f",
		r.Worth, r.KindWorth, r.InTime, r.Late, r.Refused, r.FreeRefusals, r.Failed, r.Reread)
	if r.Worth < grownWorth {
		t.Errorf("worth %.3f, want %.3f", r.Worth, grownWorth)
	}
}
