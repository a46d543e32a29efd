package ready

import (
	"testing"
	"time"
)

// large is the load of a calm router in a large fleet.
var large = Load{Open: 10, Limit: 100, Part: 1, Routers: 25, Fleet: 80}

// overloaded returns a load during an overload.
func overloaded(l Load, part float64) Load {
	l.Overloaded, l.Part = true, part
	return l
}

// TestReadyAgain checks when a router is ready again that was overloaded for three seconds. It guards against one that gets all connections
// back before they have spread, and against one that stays away where that takes a machine that is needed, or for too long.
func TestReadyAgain(t *testing.T) {
	with := func(change func(l *Load)) Load {
		l := large
		change(&l)
		return l
	}
	for name, c := range map[string]struct {
		load Load    // after the overload
		part float64 // during the overload
		want time.Duration
	}{
		"a hot client":                {load: large, part: 10, want: calmTime},
		"a hot client that is served": {load: with(func(l *Load) { l.Open = 90 }), part: 10, want: maxStay},
		"no limit":                    {load: with(func(l *Load) { l.Open, l.Limit = 90, 0 }), part: 10, want: calmTime},
		"a small data centre":         {load: with(func(l *Load) { l.Routers = minRouters - 1 }), part: 10, want: time.Second},
		"all routers are overloaded":  {load: large, part: 1.2, want: time.Second},
		"demand is not known":         {load: large, part: 0, want: time.Second},
		"a small fleet":               {load: with(func(l *Load) { l.Routers, l.Fleet = 10, 10 }), part: 10, want: 10 * stayPerRouter},
	} {
		t.Run(name, func(t *testing.T) {
			var d Decider
			if !d.Update(0, c.load) {
				t.Fatal("not ready at the start")
			}
			end := 3 * time.Second
			for now := time.Second; now <= end; now += time.Second {
				if d.Update(now, overloaded(c.load, c.part)) || d.Away() {
					t.Fatalf("ready or away at %v, during the overload", now)
				}
			}
			const step = 500 * time.Millisecond
			now := end + time.Second // of the first probe without an overload
			for !d.Update(now, c.load) {
				if !d.Away() {
					t.Fatalf("neither ready nor away at %v", now)
				}
				now += step
			}
			if got := now - end; got < c.want || got > c.want+time.Second+step {
				t.Errorf("ready %v after the overload, want %v", got, c.want)
			}
			if d.Away() || !d.Update(now+step, c.load) {
				t.Error("not ready again")
			}
		})
	}
}

// TestTimeAwayIsBounded guards against routers that are overloaded again and again and stay away for more than a tenth of their time.
func TestTimeAwayIsBounded(t *testing.T) {
	for name, period := range map[string]time.Duration{"often": 3 * time.Second, "at times": 12 * time.Second, "rarely": 40 * time.Second} {
		t.Run(name, func(t *testing.T) {
			var d Decider
			const window = 100 // seconds
			var away [600]int
			for s := range away {
				now, l := time.Duration(s)*time.Second, large
				if now%period == 0 {
					l = overloaded(large, 10)
				}
				d.Update(now, l)
				if d.Away() {
					away[s] = 1
				}
			}
			all := 0
			for s, n := range away {
				all += n
				if s >= window {
					all -= away[s-window]
				}
				if all > window/10+1 {
					t.Fatalf("away for %d of %d s up to second %d", all, window, s)
				}
			}
		})
	}
}

// TestFreezeDuringStay guards against a router that stays out of service after it was frozen.
func TestFreezeDuringStay(t *testing.T) {
	var d Decider
	d.Update(time.Second, overloaded(large, 10))
	if d.Update(2*time.Second, large) {
		t.Fatal("ready right after an overload")
	}
	if !d.Update(time.Hour, large) {
		t.Error("not ready an hour later")
	}
}
