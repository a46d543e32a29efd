package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

// pastLeases is longer than any lease, permission or grant of the fleet.
const pastLeases = 2 * time.Second

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
