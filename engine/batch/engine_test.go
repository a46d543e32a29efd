package batch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const testLimit = 5 * time.Second

func newEngine(t *testing.T, settings Settings) (*Engine, *httptest.Server) {
	t.Helper()
	engine := &Engine{Name: "stain-1", Settings: settings}
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	return engine, server
}

// post starts a completion and returns the response with its body open.
func post(ctx context.Context, t *testing.T, server *httptest.Server, body, term string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return &http.Response{Body: http.NoBody}
	}
	request.Header.Set("X-Attempt-Id", "attempt-1")
	request.Header.Set("Fencing-Term", term)
	response, err := server.Client().Do(request)
	if err != nil {
		t.Error(err)
		return &http.Response{Body: http.NoBody}
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	deadline := time.After(testLimit)
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		body string
		text string
	}{
		"whole":          {`{"prompt":"walnut","max_tokens":4}`, Text("walnut", 4)},
		"stream":         {`{"prompt":"walnut","max_tokens":4,"stream":true}`, Text("walnut", 4)},
		"natural length": {`{"prompt":"tokens=2 walnut","max_tokens":4}`, Text("tokens=2 walnut", 2)},
		"resumed":        {`{"prompt":"walnut","max_tokens":4,"stream":true,"resume_from":3}`, Token("walnut", 3)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, server := newEngine(t, Settings{Limit: 2})
			response := post(t.Context(), t, server, tt.body, "")
			if id := response.Header.Get("X-Attempt-Id"); id != "attempt-1" {
				t.Errorf("attempt id %q", id)
			}
			got := ""
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				line := strings.TrimPrefix(lines.Text(), "data: ")
				var event Response
				if line == "" || line == "[DONE]" {
					continue
				}
				if err := json.Unmarshal([]byte(line), &event); err != nil {
					t.Fatal(err)
				}
				got += event.Choices[0].Text
			}
			if got != tt.text {
				t.Errorf("got %q, want %q", got, tt.text)
			}
		})
	}
}

func TestQueueAndRefusal(t *testing.T) {
	engine, server := newEngine(t, Settings{Limit: 1, Queue: 1})
	engine.start()
	engine.setStalled(true)
	var callers sync.WaitGroup
	defer callers.Wait() // before the test's context ends
	for n := 1; n <= 2; n++ {
		callers.Go(func() { post(t.Context(), t, server, `{"prompt":"x"}`, "") })
		until(t, fmt.Sprintf("%d open", n), func() bool { return len(engine.Record().Runs) == n })
	}
	response := post(t.Context(), t, server, `{"prompt":"x"}`, "")
	if response.StatusCode != http.StatusTooManyRequests || response.Header.Get("X-Not-Run") != "true" {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
	if load := engine.Load(); load.Running != 1 || load.Waiting != 1 {
		t.Errorf("load %+v", load)
	}
	engine.mutex.Lock()
	engine.setStalled(false)
	engine.mutex.Unlock()
	until(t, "both completed", func() bool {
		runs := engine.Record().Runs
		return runs[0].State == "completed" && runs[1].State == "completed"
	})
	if record := engine.Record(); record.PeakOpen != 2 || record.PeakRunning != 1 {
		t.Errorf("record %+v", record)
	}
}

func TestCallerGoesAway(t *testing.T) {
	for name, linger := range map[string]time.Duration{"ends": 0, "lingers": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			engine, server := newEngine(t, Settings{Limit: 1, TokenTime: time.Millisecond})
			engine.cancelDelay = linger
			ctx, cancel := context.WithCancel(t.Context())
			post(ctx, t, server, `{"prompt":"x","max_tokens":4000,"stream":true}`, "")
			gone := time.Now()
			cancel()
			until(t, "cancelled", func() bool { return engine.Record().Runs[0].State == "cancelled" })
			if load := engine.Load(); load.Running != 0 || time.Since(gone) < linger {
				t.Errorf("%v after its caller went away: load %+v", time.Since(gone), load)
			}
		})
	}
}

func TestColdEngineBreaksUnderLoad(t *testing.T) {
	engine, server := newEngine(t, Settings{Limit: 8, Cold: true, ColdLimit: 1, TokenTime: time.Millisecond, RestartTime: time.Hour})
	epoch := engine.Load().Epoch
	var callers sync.WaitGroup
	defer callers.Wait() // before the test's context ends
	for range 3 {
		callers.Go(func() { post(t.Context(), t, server, `{"prompt":"x","max_tokens":4000}`, "") })
	}
	until(t, "broken", func() bool { return engine.Record().Crashes == 1 })
	if load := engine.Load(); load.Epoch == epoch {
		t.Error("the epoch did not change")
	}
	response := post(t.Context(), t, server, `{"prompt":"x"}`, "")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("X-Not-Run") != "true" {
		t.Errorf("while it restarts: status %d, header %v", response.StatusCode, response.Header)
	}
}

func TestColdEngineWarms(t *testing.T) {
	engine, server := newEngine(t, Settings{Limit: 3, Cold: true, ColdLimit: 1, WarmAfter: 1})
	for range 2 {
		post(t.Context(), t, server, `{"prompt":"x"}`, "")
	}
	until(t, "warm", func() bool {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		return engine.capacity() == 3
	})
}

func TestFencing(t *testing.T) {
	_, server := newEngine(t, Settings{Limit: 2, Fencing: true})
	for _, step := range []struct {
		term   string
		status int
	}{{"5", http.StatusOK}, {"4", http.StatusConflict}, {"5", http.StatusOK}, {"6", http.StatusOK}} {
		if response := post(t.Context(), t, server, `{"prompt":"x"}`, step.term); response.StatusCode != step.status {
			t.Errorf("term %s: status %d, want %d", step.term, response.StatusCode, step.status)
		}
	}
}

func TestCacheIsBounded(t *testing.T) {
	prompt := strings.Repeat("a", 3*blockBytes)
	c := &cache{size: 3}
	for name, want := range []int{0, 3 * blockBytes} {
		if hit := c.use(prompt); hit != want {
			t.Errorf("use %d hit %d bytes, want %d", name, hit, want)
		}
	}
	c.use(strings.Repeat("b", 3*blockBytes))
	if hit := c.use(prompt); hit != 0 || c.order.Len() != 3 {
		t.Errorf("after others: hit %d, blocks %d", hit, c.order.Len())
	}
}
