package digest

import (
	"testing"
	"time"
)

// TestOutages guards against the removal of an entry that is taken for one that expired in an outage, though the platform served (DRAIN), or the other way
// round (LOST).
func TestOutages(t *testing.T) {
	for name, d := range map[string]struct {
		reads    []time.Duration // each at the position of its index plus one
		revision int64
		ok       bool
		at       time.Duration
	}{
		"nothing read":                {revision: 1},
		"the first read":              {reads: []time.Duration{5 * time.Second}, revision: 1},
		"without an outage":           {reads: []time.Duration{1 * time.Second, 2 * time.Second, 3 * time.Second}, revision: 2},
		"a short outage":              {reads: []time.Duration{1 * time.Second, 3 * time.Second}, revision: 2},
		"in an outage":                {reads: []time.Duration{1 * time.Second, 5 * time.Second}, revision: 2, ok: true, at: 5 * time.Second},
		"in an outage, read later":    {reads: []time.Duration{1 * time.Second, 5 * time.Second, 6 * time.Second}, revision: 2, ok: true, at: 5 * time.Second},
		"after an outage":             {reads: []time.Duration{1 * time.Second, 5 * time.Second, 5100 * time.Millisecond}, revision: 3, at: 5 * time.Second},
		"at an unknown revision":      {reads: []time.Duration{1 * time.Second, 5 * time.Second, 6 * time.Second}, ok: true, at: 5 * time.Second},
		"late news of an earlier one": {reads: []time.Duration{1 * time.Second, 5 * time.Second, 2 * time.Second}, revision: 3, at: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var o Outages
			for i, at := range d.reads {
				o.Observe(at, rev(int64(i+1)))
			}
			at, ok := o.MayHaveExpired(d.revision)
			if ok != d.ok || ok && at != d.at {
				t.Errorf("may have expired: %t, back at %v; want %t, %v", ok, at, d.ok, d.at)
			}
		})
	}
}

// TestAllKnowTheReturn guards against routers that find out late that the platform is back, and take for lapsed what others know to be removed (DRAIN).
func TestAllKnowTheReturn(t *testing.T) {
	n := newNet(22, 4, 11)
	for _, f := range n.fleets {
		f.ObservePlatform(time.Millisecond, Position{}, rev(1), nil)
	}
	n.run(0, 10*time.Second)
	reader := n.fleets["c3-17"]
	reader.ObservePlatform(10*time.Second, rev(1), rev(5), []Change{change(2, 10), change(5, 10)})
	n.run(10*time.Second, 11*time.Second)
	reader.ObservePlatform(11*time.Second, rev(5), rev(6), []Change{change(6, 10)})
	n.run(11*time.Second, 12*time.Second)
	for address, f := range n.fleets {
		o := f.Outages()
		if at, ok := o.MayHaveExpired(5); !ok || at < 10*time.Second-5*time.Millisecond || at > 10500*time.Millisecond {
			t.Errorf("%s: change 5 may have expired: %t, back at %v", address, ok, at)
		}
		if _, ok := o.MayHaveExpired(6); ok {
			t.Errorf("%s takes change 6 for one of the outage", address)
		}
	}
}
