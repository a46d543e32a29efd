package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangolug.org/core/pool"
)

// lateFixture is a relay that is stopping, in front of servers that take some time for each answer.
func lateFixture(t *testing.T, untilCut, takes time.Duration) *fixture {
	t.Helper()
	stopping, cut := context.WithCancel(context.Background())
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(takes):
		case <-r.Context().Done():
			w.runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		w.respond(rw, http.StatusOK, "")
	})
	end := time.Now().Add(untilCut)
	timer := time.AfterFunc(untilCut, cut)
	t.Cleanup(func() { timer.Stop(); cut() })
	w.relay.Stopping = stopping
	w.relay.DrainRemaining = func() (time.Duration, bool) { return time.Until(end), true }
	return w
}

// slowBody sends a byte, waits, and sends the rest.
type slowBody struct {
	wait time.Duration
	sent int
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.sent++
	switch b.sent {
	case 1:
		p[0] = 'x'
		return 1, nil
	case 2:
		time.Sleep(b.wait)
		p[0] = 'y'
		return 1, nil
	}
	return 0, io.EOF
}

// TestLateInTheGrace guards against requests that a stopping router takes although it will cut them, among them requests that may not be repeated: it
// must refuse what it can't finish before it is sent, with a status that says that it did not run (LOST).
func TestLateInTheGrace(t *testing.T) {
	const takes = 150 * time.Millisecond
	for name, d := range map[string]struct {
		path     string
		untilCut time.Duration
		body     time.Duration // until the body is complete
		known    time.Duration // duration that the route's requests had so far; 0 for none
		served   bool
	}{
		"in time":                            {"/unsafe/", 5 * time.Second, 0, takes, true},
		"in time, its duration is not known": {"/unsafe/", 5 * time.Second, 0, 0, true},
		"too late for one like those before": {"/unsafe/", 100 * time.Millisecond, 0, takes, false},
		"late, its duration is not known":    {"/unsafe/", 100 * time.Millisecond, 0, 0, false},
		"late, and may be repeated":          {"/safe/", 100 * time.Millisecond, 0, takes, false},
		"the body comes late":                {"/unsafe/", 400 * time.Millisecond, 300 * time.Millisecond, takes, false},
		"the body of a safe one comes late":  {"/safe/", 400 * time.Millisecond, 300 * time.Millisecond, takes, false},
		"the body comes after the cut":       {"/unsafe/", 200 * time.Millisecond, 300 * time.Millisecond, takes, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := lateFixture(t, d.untilCut, takes)
			route := strings.Trim(d.path, "/")
			if d.known > 0 {
				w.relay.durations.observe(route, d.known)
			}
			a := w.do(t, http.MethodPost, d.path, "", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(&slowBody{wait: d.body}), 2
			})
			if d.served && a.status != http.StatusOK {
				t.Errorf("status %d %q, want it served", a.status, a.body)
			}
			if !d.served && (a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || w.runs.Load() > 0) {
				t.Errorf("status %d %q after %d runs, want 503 before any", a.status, a.body, w.runs.Load())
			}
		})
	}
}

// TestWaitsIntoTheGrace guards against a request that waited for a server while the router began to stop, and is sent just before it is cut.
func TestWaitsIntoTheGrace(t *testing.T) {
	const takes, untilCut = 150 * time.Millisecond, 300 * time.Millisecond
	w := lateFixture(t, untilCut, takes)
	w.relay.durations.observe("unsafe", takes)
	full := func(on bool) {
		w.relay.Gate.With(func(now time.Duration, p *pool.Pool) { p.Evacuate(now, "east", on) })
	}
	full(true)
	time.AfterFunc(untilCut-takes/2, func() { full(false) })
	a := w.do(t, http.MethodPost, "/unsafe/", "x", nil)
	if a.status != http.StatusServiceUnavailable || w.runs.Load() > 0 {
		t.Errorf("status %d %q after %d runs, want 503 before any", a.status, a.body, w.runs.Load())
	}
}
