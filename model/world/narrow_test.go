package world

import (
	"testing"
	"time"

	"mangolug.org/core/valve"
)

// TestNarrowEntrance lets all callers of a large team enter at one small router: it goes on serving about what its processor
// can, second by second, instead of refusing everything once it is overloaded.
func TestNarrowEntrance(t *testing.T) {
	d := SmallDoor()
	served := d.Admit + time.Duration(d.Events)*d.Event // processor time of a request
	for name, perSecond := range map[string]int{
		"what it can serve":    120,
		"five times that":      600,
		"ten times that":       1200,
		"a router that is new": 300,
	} {
		t.Run(name, func(t *testing.T) {
			s := EnterNarrow(d, &valve.ConcurrencyLimiter{InitialLimit: 157}, perSecond, 10*time.Second, 800*time.Millisecond)
			can := min(float64(perSecond), (d.Share-float64(perSecond)*d.Refuse.Seconds())/(served-d.Refuse).Seconds())
			t.Logf("%+v, can serve %.0f a second", s, can)
			for second, n := range s.Seconds {
				if float64(n) < 0.6*can {
					t.Errorf("%d requests of second %d served in time, want 0.6 of %.0f", n, second, can)
				}
			}
		})
	}
}
