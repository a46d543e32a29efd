package proof

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

const stopLimit = 15 * time.Second // of a graceful stop

// Every router is replaced in turn under load, and no caller sees more than a refusal to try elsewhere.
func TestGracefulStop(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	replaceAll(t, f, startLoad(t, f, 12, 0, 40))
}

// The same for calls that must not be repeated.
func TestGracefulStopWithKeys(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	settled(t, f)
	replaceAll(t, f, startLoad(t, f, 3, 6, 40))
}

// TestHangupAroundStop guards against SIGHUP that ends a router at once, in service or while it drains (LOST).
func TestHangupAroundStop(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	settled(t, f)
	l := startLoad(t, f, 3, 6, 40)
	replaceAllBy(t, f, l, func(r *local.Router) (int, error) {
		must(t, r.Signal(syscall.SIGHUP))
		l.waitFor(t, 10*time.Second, 20, answered)
		hangup := make(chan error, 1)
		go func() {
			hangup <- local.Until(stopLimit, func() error {
				if status, err := r.Status(); err != nil || !status.Draining {
					return fmt.Errorf("not draining: %v", err)
				}
				return r.Signal(syscall.SIGHUP)
			})
		}()
		code, err := r.Stop(stopLimit)
		must(t, <-hangup)
		return code, err
	})
}

// replaceAll stops and starts each router in turn, and looks at what the callers saw.
func replaceAll(t *testing.T, f *local.Fleet, l *load) {
	t.Helper()
	replaceAllBy(t, f, l, func(r *local.Router) (int, error) { return r.Stop(stopLimit) })
}

// replaceAllBy is like replaceAll with another way to stop a router.
func replaceAllBy(t *testing.T, f *local.Fleet, l *load, stop func(r *local.Router) (int, error)) {
	t.Helper()
	for _, r := range f.Routers {
		l.waitFor(t, 10*time.Second, 20, answered)
		code, err := stop(r)
		must(t, err)
		if code != 0 {
			t.Errorf("%s ended with status %d", r.Name, code)
		}
		l.waitFor(t, 10*time.Second, 20, answered)
		must(t, r.Start())
		must(t, f.WaitReady(readyLimit))
	}
	l.waitFor(t, 10*time.Second, 20, answered)
	results := l.stop()
	check(t, f, results)
	checkLimits(t, f)
	for _, r := range results {
		if ending(r) != "answered" && !avoidable(r) {
			t.Errorf("a caller of %s saw %s: %s %v", r.call.router.Name, ending(r), r.answer.body, r.answer.broken)
		}
	}
}

// avoidable says that a fresh connection to another router would have avoided the error:
// the connection was not accepted, or the router said that it is stopping or not yet ready.
// For a call with a key it can't say whether an earlier try ran.
func avoidable(r result) bool {
	a := r.answer
	if a.broken != nil {
		text := a.broken.Error() // refused, or reset out of the accept queue: either way the connection was not accepted
		return strings.Contains(text, "connection refused") || strings.Contains(text, "connect: connection reset by peer")
	}
	switch a.refusal.Reason {
	case "draining", "notReady":
		honest := a.refusal.NotRun || r.call.key != "" && a.refusal.Outcome == "unknown"
		return honest && a.status == http.StatusServiceUnavailable
	}
	return false
}

// A second signal ends a stop that waits for its requests, and their callers get true answers.
func TestSecondSignal(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	settled(t, f)
	for _, server := range f.Servers {
		must(t, server.Steer("stall?on=true"))
	}
	r := f.Routers[0]
	words := completion{prompt: "oak", tokens: 10}
	calls := []call{
		words.call(f.Site, r, f.Site.Teams[0]),
		{router: r, team: f.Site.Teams[1], method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once, body: "sample", key: newKey()},
	}
	answers := make(chan result, len(calls))
	before := len(deskRuns(t, f))
	for n, c := range calls {
		go func() {
			made := result{call: c, answer: do(t.Context(), c)}
			if n == 0 {
				made.completion = &words
			}
			answers <- made
		}()
	}
	within(t, 5*time.Second, func() error {
		if len(deskRuns(t, f)) == before {
			return fmt.Errorf("the call has not reached a desk")
		}
		return nil
	})
	ended, err := r.Terminate()
	must(t, err)
	within(t, 5*time.Second, func() error {
		if status, err := r.Status(); err != nil || !status.Draining {
			return fmt.Errorf("not draining: %v", err)
		}
		return nil
	})
	_, err = r.Terminate()
	must(t, err)
	select {
	case <-ended:
	case <-time.After(stopLimit):
		t.Error("the second signal did not end the router")
	}
	var results []result
	for range calls {
		made := <-answers
		results = append(results, made)
		if a := made.answer; a.status == http.StatusOK || a.refusal.NotRun || a.refusal.Outcome != "unknown" {
			t.Errorf("status %d %s %v", a.status, a.body, a.broken)
		}
	}
	for _, server := range f.Servers {
		must(t, server.Steer("stall?on=false"))
	}
	check(t, f, results)
}

// Health and readiness tell a stopping router from a working one.
func TestHealth(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/status"} {
		response, err := http.Get("http://" + f.Routers[0].Admin + path)
		must(t, err)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", path, response.StatusCode)
		}
	}
}
