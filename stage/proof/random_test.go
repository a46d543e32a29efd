package proof

import (
	"math/rand"
	"testing"
	"time"

	proxy "mangolug.org/faults/fault"
	"mangolug.org/stage/local"
)

// cutOff is the fault of a router that no other reaches.
func cutOff(f *local.Fleet) fault {
	return fault{
		strike: func(alone *local.Router) error { split(f, alone); return nil },
		mend: func(alone *local.Router) error {
			f.Faults.Set(proxy.Rule{Link: alone.Name})
			for _, r := range without(f, alone) {
				f.Faults.Set(proxy.Rule{Link: r.Name, Source: alone.IP})
			}
			return nil
		},
	}
}

// Routers of a fleet of today's size are killed, frozen and cut off in a random order, every second time the
// model's scheduler, each while the one before is still struck.
func TestNineRoutersStruckAtRandom(t *testing.T) {
	const (
		seed    = 9
		strikes = 6
	)
	s := settings(local.Chenab())
	s.Routers, s.Engines, s.PeerFaults = 9, 10, true
	f := start(t, s)
	settled(t, f)
	l := startLoad(t, f, 110, 9, 40)
	l.waitFor(t, 15*time.Second, 300, answered)
	faults := []fault{killed(), frozen(), cutOff(f)}
	mend := func() error { return nil }
	order := rand.New(rand.NewSource(seed))
	var struck *local.Router
	for n := range strikes {
		others := without(f, struck)
		r, kind := others[order.Intn(len(others))], order.Intn(len(faults))
		if n%2 == 1 {
			r = scheduler(t, part(f, others...), f.Site.Model)
		}
		struck = r
		t.Logf("strike %d: %s, kind %d", n, r.Name, kind)
		must(t, faults[kind].strike(r))
		must(t, mend())
		mend = func() error { return faults[kind].mend(r) }
		elapse(t, pastLeases)
		l.waitFor(t, 10*time.Second, 30, answered)
	}
	must(t, mend())
	must(t, f.WaitReady(readyLimit))
	l.waitFor(t, 10*time.Second, 90, answered)
	check(t, f, l.stop())
	checkLimits(t, f)
}
