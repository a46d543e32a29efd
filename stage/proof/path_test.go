package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

func TestWholePath(t *testing.T) {
	for name, site := range map[string]local.Site{"chenab": local.Chenab(), "carraig": local.Carraig()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, settings(site))
			settled(t, f)
			before := len(deskRuns(t, f))
			var results []result
			for n, router := range f.Routers[:2] {
				team := site.Teams[n]
				for m := range 4 {
					words := completion{prompt: fmt.Sprintf("oak panel %d", m), tokens: 12, stream: m%2 == 0, chat: m >= 2}
					c := words.call(site, router, team)
					c.timeout = callTimeout
					a := do(t.Context(), c)
					checkCompletion(t, words, a)
					results = append(results, result{completion: &words, answer: a})
				}
				for _, c := range []call{
					{method: http.MethodPost, path: "/" + site.Plain + site.Once, body: "sample", key: newKey()},
					{method: http.MethodPost, path: "/" + site.Plain + site.Once, body: "sample without a key"},
					{method: http.MethodGet, path: "/" + site.Plain + site.Harmless + "walnut"},
				} {
					c.router, c.team = router, team
					a := do(t.Context(), c)
					if a.status != http.StatusOK {
						t.Errorf("%s %s: status %d, %s %v", c.method, c.path, a.status, a.body, a.broken)
					}
					results = append(results, result{call: c, answer: a})
				}
			}
			check(t, f, results)
			if ran := len(deskRuns(t, f)) - before; ran != 6 {
				t.Errorf("the desks ran %d calls, want 6", ran)
			}
		})
	}
}

// settled waits until new keys run, whichever router is their home.
func settled(t *testing.T, f *local.Fleet) {
	t.Helper()
	const probes = 8
	within(t, readyLimit, func() error {
		for n := range probes {
			c := call{
				router: f.Routers[n%len(f.Routers)], team: f.Site.Teams[0], method: http.MethodPost,
				path: "/" + f.Site.Plain + f.Site.Once, body: "probe", key: newKey(), timeout: callTimeout,
			}
			if a := do(t.Context(), c); a.status != http.StatusOK {
				return fmt.Errorf("a new key through %s: status %d %s", c.router.Name, a.status, a.body)
			}
		}
		return nil
	})
}

func checkCompletion(t *testing.T, words completion, a answer) {
	t.Helper()
	text, usage, whole := words.read(a)
	if !whole || text != words.want() {
		t.Errorf("%+v: status %d, whole %v, text %q, want %q: %s %v", words, a.status, whole, text, words.want(), a.body, a.broken)
		return
	}
	if usage == nil || usage.CompletionTokens != words.tokens {
		t.Errorf("%+v: usage %+v", words, usage)
	}
}

func TestSameKeyIsAnsweredAgain(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	settled(t, f)
	c := call{router: f.Routers[0], team: f.Site.Teams[0], method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once, body: "sample", key: newKey()}
	first := do(t.Context(), c)
	var results []result
	for _, router := range f.Routers {
		c.router = router
		again := do(t.Context(), c)
		if again.status != first.status || string(again.body) != string(first.body) {
			t.Errorf("through %s: status %d %s, first %d %s", router.Name, again.status, again.body, first.status, first.body)
		}
		results = append(results, result{call: c, answer: again})
	}
	c.body = "another sample"
	if a := do(t.Context(), c); a.refusal.Reason != "keyMismatch" {
		t.Errorf("another body under the same key: status %d %s", a.status, a.body)
	}
	check(t, f, results)
}

func TestRefusals(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	router, team := f.Routers[0], f.Site.Teams[0]
	words := completion{prompt: "oak", tokens: 4}
	unknown := f.Site
	unknown.Model = "no-such-product"
	tests := map[string]struct {
		call   call
		status int
		reason string
	}{
		"wrong key":       {words.call(f.Site, router, local.Team{Name: "stranger"}), http.StatusUnauthorized, "unauthorized"},
		"unknown product": {words.call(unknown, router, team), http.StatusNotFound, "unknownProduct"},
		"unknown path":    {call{router: router, team: team, method: http.MethodGet, path: "/no-such-product/x"}, http.StatusNotFound, "unknownProduct"},
		"not JSON":        {call{router: router, team: team, method: http.MethodPost, path: "/v1/completions", body: "{"}, http.StatusBadRequest, "badRequest"},
		"key not a UUID":  {call{router: router, team: team, method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once, body: "x", key: "k"}, http.StatusBadRequest, "keyInvalid"},
	}
	var results []result
	for name, tt := range tests {
		a := do(t.Context(), tt.call)
		if a.status != tt.status || a.refusal.Reason != tt.reason || !a.refusal.NotRun {
			t.Errorf("%s: status %d %s, want %d %s", name, a.status, a.body, tt.status, tt.reason)
		}
		results = append(results, result{answer: a, call: tt.call, completion: &words})
	}
	check(t, f, results)
}

// A refusal under load is true and comes at once: far more callers than room, engines that stand still, short deadlines.
func TestRefusalsUnderLoadAreTrue(t *testing.T) {
	s := settings(local.Carraig())
	s.EngineLimit, s.DeskLimit = 2, 2
	f := start(t, s)
	settled(t, f)
	l := startLoad(t, f, 24, 12, 40)
	for _, server := range f.Servers {
		must(t, server.Steer("stall?on=true"))
	}
	l.waitFor(t, 15*time.Second, 24, func(r result) bool { return r.answer.refusal.NotRun })
	for _, server := range f.Servers {
		must(t, server.Steer("stall?on=false"))
	}
	l.waitFor(t, 10*time.Second, 24, answered)
	results := l.stop()
	check(t, f, results)
	for _, r := range results {
		if a := r.answer; a.refusal.Reason != "" && a.status != http.StatusUnauthorized && a.refusal.NotRun && a.header.Get("Retry-After") == "" {
			t.Errorf("refused as %s without Retry-After", a.refusal.Reason)
		}
		if r.took > callTimeout+500*time.Millisecond {
			t.Errorf("%s after %v, past the deadline of %v", ending(r), r.took, callTimeout)
		}
	}
}
