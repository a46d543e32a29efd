package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	proxy "mangolug.org/faults/fault"
	"mangolug.org/stage/local"
)

// Answers are cut at each class of bytes on their way from the engine; no caller may take a part for the whole.
func TestCutAnswers(t *testing.T) {
	s := settings(local.Chenab())
	s.ServerFaults = true
	f := start(t, s)
	tests := map[string]proxy.Rule{
		"before the header":         {ResetAt: "HTTP/1.1"},
		"inside the header":         {ResetAt: "Content-Type", ResetOffset: 5},
		"after the header":          {ResetAt: "\r\n\r\n", ResetOffset: 4},
		"between events":            {ResetAt: "\n\n", ResetOffset: 2, ResetSkip: 3},
		"inside an event":           {ResetAt: `"text"`, ResetOffset: 3, ResetSkip: 3},
		"before the usage":          {ResetAt: `"usage"`},
		"before the end marker":     {ResetAt: "data: [DONE]"},
		"inside the end marker":     {ResetAt: "[DONE]", ResetOffset: 2},
		"after the marker's text":   {ResetAt: "[DONE]", ResetOffset: 6},
		"request before its end":    {ResetRequests: 60},
		"closed in order in event":  {ResetAt: `"text"`, ResetOffset: 3, ResetSkip: 3, Close: true},
		"closed before the marker":  {ResetAt: "data: [DONE]", Close: true},
		"doubled pieces":            {Duplicate: true},
		"trickle":                   {TrickleBytes: 50, TrickleMillis: 1},
		"one connection in a fleet": {ResetAt: "data: [DONE]", Times: 1},
	}
	var results []result
	for name, rule := range tests {
		f.Faults.Set(rule)
		for n := range 2 {
			words := completion{prompt: fmt.Sprintf("%s %d", name, n), tokens: 10, stream: n == 0}
			c := words.call(f.Site, f.Routers[n%len(f.Routers)], f.Site.Teams[n])
			c.timeout = time.Second
			began := time.Now()
			a := do(t.Context(), c)
			r := result{call: c, completion: &words, answer: a, took: time.Since(began)}
			results = append(results, r)
			t.Logf("%s, stream %v: %s", name, words.stream, ending(r))
			if text, _, whole := words.read(a); whole && text != words.want() {
				t.Errorf("%s, stream %v: a part looks whole: %q, want %q", name, words.stream, text, words.want())
			}
		}
		f.Faults.Clear("")
	}
	check(t, f, results)
}

// Answers that change places between two connections reach nobody.
func TestCrossedAnswers(t *testing.T) {
	s := settings(local.Carraig())
	s.ServerFaults = true
	f := start(t, s)
	settled(t, f)
	l := startLoad(t, f, 8, 4, 8)
	l.waitFor(t, 10*time.Second, 20, answered)
	f.Faults.Set(proxy.Rule{Swap: true})
	l.waitFor(t, 15*time.Second, 12, func(result) bool { return true })
	f.Faults.Clear("")
	for _, server := range f.ServersOf(f.Site.Model) {
		must(t, server.Steer("cross?count=5"))
	}
	l.waitFor(t, 15*time.Second, 20, answered)
	check(t, f, l.stop())
}

// A completion is idempotent: one broken connection before its first byte is tried again for the caller.
func TestCompletionIsTriedAgain(t *testing.T) {
	s := settings(local.Chenab())
	s.ServerFaults = true
	f := start(t, s)
	words := completion{prompt: "oak", tokens: 6}
	f.Faults.Set(proxy.Rule{ResetAt: "HTTP/1.1", Times: 1})
	c := words.call(f.Site, f.Routers[0], f.Site.Teams[0])
	c.timeout = 4 * time.Second
	if a := do(t.Context(), c); a.status != http.StatusOK {
		t.Errorf("status %d %s %v", a.status, a.body, a.broken)
	}
}

// An engine restarts while it streams; the caller gets its whole answer, the rest of it from another run.
func TestStreamOutlastsItsEngine(t *testing.T) {
	s := settings(local.Carraig())
	s.EngineArgs = append(s.EngineArgs, "--token-time", "20ms")
	f := start(t, s)
	words := completion{prompt: "mussel", tokens: 40, stream: true}
	c := words.call(f.Site, f.Routers[0], f.Site.Teams[0])
	answers := make(chan answer, 1)
	go func() { answers <- do(t.Context(), c) }()
	within(t, 5*time.Second, func() error {
		for _, server := range f.ServersOf(f.Site.Model) {
			all, err := server.EngineRecord()
			if err != nil {
				return err
			}
			if len(all.Runs) > 0 && all.Runs[0].Tokens >= 5 {
				return server.Steer("restart")
			}
		}
		return errors.New("no engine streams")
	})
	a := <-answers
	text, _, whole := words.read(a)
	if !whole || text != words.want() {
		t.Errorf("whole %v, %q, want %q", whole, text, words.want())
	}
	runs := 0
	for _, server := range f.ServersOf(f.Site.Model) {
		all, err := server.EngineRecord()
		must(t, err)
		runs += len(all.Runs)
	}
	if runs < 2 {
		t.Errorf("%d runs: the stream did not break", runs)
	}
}
