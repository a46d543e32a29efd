package world

import (
	"testing"
	"time"

	"mangolug.org/core/valve"
)

// TestNarrowEntrance sends all requests of a large team to one small router. In each second it must serve about what its
// processor can, instead of rejecting everything once it is overloaded.
func TestNarrowEntrance(t *testing.T) {
	d := SmallRouter()
	requestCost := d.AdmitCost + time.Duration(d.EventsPerAnswer)*d.EventCost // processor time of a request
	for name, perSecond := range map[string]int{
		"what it can serve":    120,
		"five times that":      600,
		"ten times that":       1200,
		"a router that is new": 300,
	} {
		t.Run(name, func(t *testing.T) {
			s := RunRouter(d, &valve.ConcurrencyLimiter{InitialLimit: 157}, perSecond, 10*time.Second, 800*time.Millisecond)
			sustainable := min(float64(perSecond), (d.CoreShare-float64(perSecond)*d.RejectCost.Seconds())/(requestCost-d.RejectCost).Seconds())
			t.Logf("%+v, can serve %.0f a second", s, sustainable)
			for second, n := range s.InTimeBySecond {
				if float64(n) < 0.6*sustainable {
					t.Errorf("%d requests of second %d served in time, want 0.6 of %.0f", n, second, sustainable)
				}
			}
		})
	}
}
