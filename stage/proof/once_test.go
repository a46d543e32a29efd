package proof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/keys"
	"mangolug.org/core/member"
	"mangolug.org/stage/local"
)

const (
	// pastLeases is longer than any lease, permission or grant of the fleet.
	pastLeases = 2 * time.Second
	// keyGuard is how long after the begin of a key's new home a key must be minted: what a key may be ahead of its home's clock
	// (0.25 s), what two routers' clocks may differ (1 s), and how long the former home may act on what it was last told (0.25 s).
	keyGuard = 1500 * time.Millisecond
	// settleTime is how long a key's new home runs none.
	settleTime  = 2 * time.Second
	probePeriod = 20 * time.Millisecond
	probeTime   = 8 * time.Second // after the loss
)

// fault is one failure of a router and its mending.
type fault struct {
	strike func(r *local.Router) error
	mend   func(r *local.Router) error
}

func killed() fault {
	return fault{
		strike: func(r *local.Router) error { return r.Kill() },
		mend:   func(r *local.Router) error { return r.Start() },
	}
}

func frozen() fault {
	return fault{
		strike: func(r *local.Router) error { return r.Freeze() },
		mend:   func(r *local.Router) error { return r.Continue() },
	}
}

// Every router is struck in turn, so that entry, home of keys and scheduler are each struck while calls are on their way.
func TestAtMostOnce(t *testing.T) {
	tests := map[string]fault{"killed": killed(), "frozen": frozen()}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := settings(local.Chenab())
			s.Routers = 4
			s.DeskArgs = []string{"--service-time", "300ms"} // so that keys are on their way when a router is struck
			f := start(t, s)
			settled(t, f)
			l := startLoad(t, f, 3, 12, 8)
			for _, r := range f.Routers {
				l.waitFor(t, 10*time.Second, 12, answered)
				must(t, tt.strike(r))
				elapse(t, pastLeases)
				must(t, tt.mend(r))
				must(t, f.WaitReady(readyLimit))
			}
			l.waitFor(t, 10*time.Second, 12, answered)
			check(t, f, l.stop())
		})
	}
}

// When one router is lost unplanned, what it knew of keys the others know together: keys wait for the next home, and none ends as
// unknown. When two are lost, only keys minted before the next homes began, or within their guard, end so.
func TestKeysThroughALostHome(t *testing.T) {
	tests := map[string]struct {
		fault
		lost   int
		window time.Duration // after the loss, of keys that may end as unknown
	}{
		"one killed": {killed(), 1, 0},
		"one frozen": {frozen(), 1, 0},
		"two killed": {killed(), 2, takeoverLimit + keyGuard},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := settings(local.Carraig())
			s.Routers = 5
			f := start(t, s)
			elapse(t, member.DefaultListLag) // until the routers regard what they know as whole
			l := probeKeys(t, f, f.Routers[tt.lost:])
			l.waitQuiet(t, int(keyGuard/probePeriod))
			struck := time.Now()
			for _, r := range f.Routers[:tt.lost] {
				must(t, tt.strike(r))
			}
			elapse(t, probeTime)
			results := l.stop()
			check(t, f, results)
			checkLost(t, results, struck, tt.window)
		})
	}
}

// probeKeys sends one try of a new key at a steady pace until stop, to one slot after the other.
func probeKeys(t *testing.T, f *local.Fleet, routers []*local.Router) *load {
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{fleet: f, cancel: cancel}
	t.Cleanup(func() { l.stop() })
	l.workers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			c := call{
				router: routers[n%len(routers)], team: l.team(n), method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once,
				body: fmt.Sprintf("landing %d", n), key: newKey(), timeout: callTimeout,
			}
			for keys.Slot(c.team.Name, c.key) != n%keys.Slots {
				c.key = newKey()
			}
			l.workers.Go(func() { l.try(c, nil, true) })
			pause(ctx, probePeriod)
		}
	})
	return l
}

// waitQuiet waits until so many calls in turn were answered, so that no change of homes from the start is counted.
func (l *load) waitQuiet(t *testing.T, calls int) {
	t.Helper()
	within(t, readyLimit, func() error {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		latest := l.results[max(0, len(l.results)-calls):]
		if quiet := len(latest) - len(slices.DeleteFunc(slices.Clone(latest), answered)); quiet < calls {
			return fmt.Errorf("%d of %d calls answered", quiet, calls)
		}
		return nil
	})
}

// checkLost holds the keys with unknown outcome against the time for which a lost home's slots may be without one that knows.
func checkLost(t *testing.T, results []result, struck time.Time, window time.Duration) {
	t.Helper()
	results = slices.DeleteFunc(slices.Clone(results), func(r result) bool { return r.at.Before(struck) })
	slot := func(r result) int { return keys.Slot(r.call.team.Name, r.call.key) }
	slots := map[int]bool{}
	var unknown, lost int
	var latest, longest time.Duration
	for _, r := range results {
		if answered(r) {
			longest = max(longest, r.took)
			continue
		}
		unknown++
		slots[slot(r)] = true
		minted, _ := keys.Timestamp(r.call.key)
		latest = max(latest, minted.Sub(struck))
	}
	for _, r := range results {
		if slots[slot(r)] {
			lost++
		}
	}
	share := float64(unknown) / float64(len(results))
	bound := float64(lost) / float64(len(results)) * float64(window) / float64(probeTime)
	t.Logf("%d of %d keys unknown, a share of %.3f, at most %.3f; minted up to %v after the loss; longest wait %v",
		unknown, len(results), share, bound, latest, longest)
	if share > bound || latest > window || (unknown > 0) != (window > 0) {
		t.Errorf("want a share of at most %.3f, and none minted later than %v", bound, window)
	}
	if limit := takeoverLimit + settleTime + serviceSlack; longest > limit {
		t.Errorf("a key waited for %v, want at most %v", longest, limit)
	}
}

// elapse lets a time pass that is itself what the test brings about.
func elapse(t *testing.T, d time.Duration) {
	t.Helper()
	select {
	case <-time.After(d):
	case <-t.Context().Done():
	}
}

// All routers lose what they know between a try and its retry.
func TestAtMostOnceWhenAllRestartEmpty(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	settled(t, f)
	desks := f.ServersOf(f.Site.Plain)
	for _, s := range desks {
		must(t, s.Steer("stall?on=true"))
	}
	c := call{router: f.Routers[0], team: f.Site.Teams[0], method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once, body: "landing", key: newKey(), timeout: 2 * time.Second}
	before := len(deskRuns(t, f))
	first := make(chan answer, 1)
	go func() { first <- do(t.Context(), c) }()
	within(t, 5*time.Second, func() error {
		if len(deskRuns(t, f)) == before {
			return fmt.Errorf("the call has not reached a desk")
		}
		return nil
	})
	for _, r := range f.Routers {
		must(t, r.Restart())
	}
	for _, s := range desks {
		must(t, s.Steer("stall?on=false"))
	}
	must(t, f.WaitReady(readyLimit))
	settled(t, f)
	calls := len(deskRuns(t, f))
	results := []result{{call: c, answer: <-first}}
	for _, r := range f.Routers {
		c.router = r
		a := do(t.Context(), c)
		if a.status == http.StatusOK || a.refusal.NotRun && a.refusal.Reason != "keyTooOld" {
			t.Errorf("through %s after the restart: status %d %s", r.Name, a.status, a.body)
		}
		results = append(results, result{call: c, answer: a})
	}
	check(t, f, results)
	if ran := len(deskRuns(t, f)) - calls; ran != 0 {
		t.Errorf("%d runs after the restart, want none", ran)
	}
}

// A desk that runs a call and breaks the connection, fails or answers as another gets it only once.
func TestAtMostOnceWhenTheServerMisbehaves(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	settled(t, f)
	for name, tt := range map[string]struct {
		steer string
		keyed bool
	}{
		"broken with a key":     {"drop?count=1", true},
		"broken without a key":  {"drop?count=1", false},
		"crossed with a key":    {"cross?count=1", true},
		"crossed without a key": {"cross?count=1", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := call{team: f.Site.Teams[0], method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once, timeout: 2 * time.Second}
			warm := c
			warm.body = "to leave connections open"
			for _, r := range f.Routers {
				warm.router = r
				do(t.Context(), warm)
			}
			for _, s := range f.ServersOf(f.Site.Plain) {
				must(t, s.Steer(tt.steer))
			}
			before := len(deskRuns(t, f))
			c.router, c.body = f.Routers[0], name
			if tt.keyed {
				c.key = newKey()
			}
			a := do(t.Context(), c)
			if a.refusal.Outcome != "unknown" || a.refusal.NotRun {
				t.Errorf("status %d %s %v", a.status, a.body, a.broken)
			}
			if ran := len(deskRuns(t, f)) - before; ran != 1 {
				t.Errorf("%d runs, want 1", ran)
			}
			for _, s := range f.ServersOf(f.Site.Plain) {
				for _, word := range []string{"drop", "cross"} {
					must(t, s.Steer(word+"?count=0"))
				}
			}
			check(t, f, []result{{call: c, answer: a}})
		})
	}
}
