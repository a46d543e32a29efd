package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mangolug.org/desk/record"
	"mangolug.org/stage/local"
)

const (
	callTimeout  = 5 * time.Second           // that callers in the load give their requests
	callPatience = callTimeout + time.Second // after which a caller goes away
	retryPause   = 50 * time.Millisecond     // of a caller of the model
	keyPause     = 400 * time.Millisecond    // of a caller with a key, whose tries together outlast a takeover
	keyTries     = 8                         // of one key
)

// result is one call of the load with its answer.
type result struct {
	call       call
	completion *completion // nil for a plain call
	answer     answer
	at         time.Time // of the call
	took       time.Duration
	final      bool // the last try of its key
}

// load is callers at work until stop.
type load struct {
	fleet   *local.Fleet
	tokens  int // of each completion
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mutex   sync.Mutex
	results []result
}

// startLoad starts callers of the model, half of them streaming, and callers of what must not be repeated.
func startLoad(t *testing.T, f *local.Fleet, models, dispatches, tokens int) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{fleet: f, tokens: tokens, cancel: cancel}
	for n := range models {
		l.workers.Go(func() { l.models(ctx, n) })
	}
	for n := range dispatches {
		l.workers.Go(func() { l.dispatches(ctx, n) })
	}
	t.Cleanup(func() { l.stop() })
	return l
}

// stop lets the callers finish what they began, and gives all results.
func (l *load) stop() []result {
	l.cancel()
	l.workers.Wait()
	return l.results
}

// count gives the results so far that fit.
func (l *load) count(fits func(result) bool) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, r := range l.results {
		if fits(r) {
			count++
		}
	}
	return count
}

// waitFor waits until so many more calls that fit have ended; when they have not in time the test fails but goes on, so that its checks still run.
func (l *load) waitFor(t *testing.T, limit time.Duration, more int, fits func(result) bool) {
	t.Helper()
	before := l.count(fits)
	err := local.Until(limit, func() error {
		if got := l.count(fits) - before; got < more {
			return fmt.Errorf("%d of %d calls ended", got, more)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

func answered(r result) bool { return r.answer.status == http.StatusOK && r.answer.broken == nil }

func (l *load) add(r result) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results = append(l.results, r)
}

func (l *load) router(n int) *local.Router { return l.fleet.Routers[n%len(l.fleet.Routers)] }

func (l *load) team(n int) local.Team { return l.fleet.Site.Teams[n%len(l.fleet.Site.Teams)] }

func (l *load) try(c call, words *completion, final bool) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	began := time.Now()
	a := do(ctx, c)
	l.add(result{call: c, completion: words, answer: a, at: began, took: time.Since(began), final: final || a.status == http.StatusOK})
	return a
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (l *load) models(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		words := completion{prompt: fmt.Sprintf("oak panel %d of caller %d", n, worker), tokens: l.tokens, stream: n%2 == 0}
		c := words.call(l.fleet.Site, l.router(worker+n), l.team(worker))
		c.timeout = callTimeout
		if a := l.try(c, &words, true); a.status != http.StatusOK {
			pause(ctx, retryPause)
		}
	}
}

func (l *load) dispatches(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		l.dispatch(ctx, worker, n)
	}
}

// dispatch tries one key through one router after another until it is answered.
func (l *load) dispatch(ctx context.Context, worker, n int) {
	c := call{
		team: l.team(worker), method: http.MethodPost, path: "/" + l.fleet.Site.Plain + l.fleet.Site.Once,
		body: fmt.Sprintf("sample %d of caller %d", n, worker), key: newKey(), timeout: callTimeout,
	}
	for try := range keyTries {
		c.router = l.router(worker + n + try)
		a := l.try(c, nil, try == keyTries-1)
		if a.status == http.StatusOK && a.broken == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		pause(ctx, keyPause)
	}
}

// deskRuns gives all runs of all desks.
func deskRuns(t *testing.T, f *local.Fleet) []record.Run {
	t.Helper()
	var runs []record.Run
	for _, s := range f.ServersOf(f.Site.Plain) {
		all, err := s.DeskRecord()
		must(t, err)
		runs = append(runs, all.Runs...)
	}
	return runs
}

// check holds the answers against the servers' records: whole answers to their
// own callers, true refusals, and nothing run twice.
func check(t *testing.T, f *local.Fleet, results []result) {
	t.Helper()
	ran := map[string]bool{}     // request ids
	keys := map[string]int{}     // runs by key
	texts := map[string]string{} // bodies by key
	for _, run := range deskRuns(t, f) {
		if run.RequestID == "" {
			t.Errorf("a run has no request id: %+v", run)
		}
		ran[run.RequestID] = true
		texts[run.Key] = run.Body
		if run.Key != "" {
			keys[run.Key]++
		}
	}
	for key, count := range keys {
		if count > 1 {
			t.Errorf("key %s ran %d times (%s)", key, count, texts[key])
		}
	}
	for _, s := range f.ServersOf(f.Site.Model) {
		all, err := s.EngineRecord()
		must(t, err)
		for _, run := range all.Runs {
			ran[run.RequestID] = ran[run.RequestID] || run.Began
		}
	}
	for _, r := range results {
		checkResult(t, r, ran, keys)
	}
	report(t, results)
}

func checkResult(t *testing.T, r result, ran map[string]bool, keys map[string]int) {
	t.Helper()
	a := r.answer
	if a.refusal.NotRun && ran[a.refusal.RequestID] {
		t.Errorf("refused as not run (%s), but it ran: request %s", a.refusal.Reason, a.refusal.RequestID)
	}
	if a.status != 0 && a.requestID() == "" {
		t.Errorf("an answer of status %d has no request id: %s", a.status, a.body)
	}
	if a.status != 0 && a.status != http.StatusOK && a.refusal.Reason == "" {
		t.Errorf("status %d without a reason: %s", a.status, a.body)
	}
	if r.completion != nil {
		if text, _, whole := r.completion.read(a); whole && text != r.completion.want() {
			t.Errorf("an answer that looks whole is not the caller's: %q, want %q", text, r.completion.want())
		}
		return
	}
	if !answered(r) {
		return
	}
	if r.call.key != "" && keys[r.call.key] != 1 {
		t.Errorf("key %s was answered and ran %d times", r.call.key, keys[r.call.key])
	}
	checkPlain(t, r)
}

func checkPlain(t *testing.T, r result) {
	t.Helper()
	var plain record.Answer
	if err := json.Unmarshal(r.answer.body, &plain); err != nil {
		t.Errorf("answer %q: %v", r.answer.body, err)
		return
	}
	path := r.call.path[len("/")+len(productOf(r.call.path)):]
	if want := record.TextOf(path, []byte(r.call.body)); plain.Text != want {
		t.Errorf("the answer is not the caller's: %q, want %q", plain.Text, want)
	}
}

// productOf gives the first part of a path.
func productOf(path string) string {
	for n := 1; n < len(path); n++ {
		if path[n] == '/' {
			return path[1:n]
		}
	}
	return path[1:]
}

// report logs how the calls ended.
func report(t *testing.T, results []result) {
	t.Helper()
	counts := map[string]int{}
	for _, r := range results {
		counts[ending(r)]++
	}
	t.Logf("%d calls: %v", len(results), counts)
}

// ending names how a call ended.
func ending(r result) string {
	switch {
	case r.answer.status == 0:
		return "noAnswer"
	case r.answer.broken != nil:
		return "broken"
	case r.answer.status != http.StatusOK:
		return r.answer.refusal.Reason
	case r.completion != nil:
		if _, _, whole := r.completion.read(r.answer); !whole {
			return "incomplete"
		}
	}
	return "answered"
}
