package drive

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mangolug.org/engine/batch"
	"mangolug.org/loader/plan"
)

// newRouter starts an engine that answers as a router does; a wrong key is refused.
func newRouter(t *testing.T) string {
	t.Helper()
	e := &batch.Engine{Name: "stain-1", Settings: batch.Settings{Limit: 4, Queue: 100, TokenTime: time.Millisecond, CacheBlocks: 10}}
	served := e.Handler()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", "1")
		if strings.HasPrefix(r.URL.Path, "/v1/") && r.Header.Get("Authorization") != "Bearer good" {
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"reason":"unauthorized","notRun":true,"retryAfter":0.05}`))
			return
		}
		served.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func planFor(address string) *plan.Plan {
	size, prompt := plan.Range{Min: 2, Max: 5}, plan.Range{Min: 10, Max: 40}
	return &plan.Plan{
		Name: "test", Seed: 1, DurationMillis: 300, WindowMillis: 100,
		Targets: []plan.Target{{Name: "r1", Address: address, Weight: 1}},
		Servers: []plan.Server{{Name: "stain-1", Address: address, Product: "stain-llm", Limit: 4}},
		Loads: []plan.Load{
			{Team: "closed", Key: "good", Share: 1, Product: "stain-llm", Concurrency: 3, TimeoutMillis: 5000, Stream: true, PromptTokens: prompt, AnswerTokens: size, Prefixes: 2},
			{Team: "open", Key: "good", Share: 2, Product: "stain-llm", ArrivalsPerSecond: 50, TimeoutMillis: 5000, PromptTokens: prompt, AnswerTokens: size, HintFactor: 10},
			{Team: "stranger", Key: "bad", Share: 1, Product: "stain-llm", Concurrency: 1, TimeoutMillis: 5000, PromptTokens: prompt, AnswerTokens: size},
		},
	}
}

func TestRunChecksWholeAnswers(t *testing.T) {
	result, err := Run(context.Background(), planFor(newRouter(t)))
	if err != nil {
		t.Fatal(err)
	}
	if result.NotWhole != 0 {
		t.Errorf("%d answers were not whole: %v", result.NotWhole, result.Reasons)
	}
	for _, v := range result.Teams {
		if v.Team == "stranger" {
			if v.Ends["refused"] != v.Requests || v.Reasons["refused.unauthorized"] != v.Requests {
				t.Errorf("stranger: %d requests, ends %v, reasons %v", v.Requests, v.Ends, v.Reasons)
			}
			continue
		}
		if v.Requests == 0 || v.Ends["answered"] != v.Requests || v.Service == 0 {
			t.Errorf("%s: %d requests, service %d, ends %v, reasons %v", v.Team, v.Requests, v.Service, v.Ends, v.Reasons)
		}
	}
}

func TestCutAtEnd(t *testing.T) {
	p := planFor(newRouter(t))
	p.CutAtEnd, p.Servers, p.Loads = true, nil, p.Loads[:1]
	p.Loads[0].AnswerTokens = plan.Range{Min: 4000, Max: 4000}
	result, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if cut := result.Teams[0].Ends["cut"]; cut != 3 || result.Requests != 3 {
		t.Errorf("%d of %d requests were cut, want all of 3: %v", cut, result.Requests, result.Teams[0].Ends)
	}
}

func TestMakerRepeatsItself(t *testing.T) {
	p := planFor("127.0.0.1:1")
	one, two := newMaker(p, &p.Loads[1], 1, 0), newMaker(p, &p.Loads[1], 1, 0)
	for range 20 {
		a, errA := one.next()
		b, errB := two.next()
		if errA != nil || errB != nil || string(a.body) != string(b.body) || a.target != b.target {
			t.Fatalf("the same seed gave %s and %s", a.body, b.body)
		}
	}
}

// TestSecondAnswerIsNotWhole guards against a whole stream with another one behind it that counts as answered.
func TestSecondAnswerIsNotWhole(t *testing.T) {
	e := &batch.Engine{Name: "stain-1", Settings: batch.Settings{Limit: 4, Queue: 100, CacheBlocks: 10}}
	served := e.Handler()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", "1")
		served.ServeHTTP(w, r)
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}))
	defer s.Close()
	p := planFor(strings.TrimPrefix(s.URL, "http://"))
	p.Servers, p.Loads = nil, p.Loads[:1]
	result, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if result.Answered != 0 || result.NotWhole != result.Requests || result.Requests == 0 {
		t.Errorf("%d of %d answered, %d not whole", result.Answered, result.Requests, result.NotWhole)
	}
}

func TestShortAnswerIsNotWhole(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "1")
		_, _ = w.Write([]byte("data: {\"choices\":[{\"text\":\"abc \"}],\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"))
	}))
	defer s.Close()
	p := planFor(strings.TrimPrefix(s.URL, "http://"))
	p.Servers, p.Loads = nil, p.Loads[:1]
	result, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if result.Answered != 0 || result.NotWhole != result.Requests {
		t.Errorf("%d of %d answered, %d not whole", result.Answered, result.Requests, result.NotWhole)
	}
}

// TestMalformedHeadIsNotWhole guards against an answer with a status or the name of a field that no answer has and that counts as answered.
func TestMalformedHeadIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{"status 000": "HTTP/1.1 000 OK\r\n", "a blank in a name": "HTTP/1.1 200 OK\r\nX Y: z\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, buffer, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer c.Close()
				_, _ = buffer.WriteString(head + "X-Request-Id: 1\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n")
				_ = buffer.Flush() // fails only if the loader has left
			}))
			defer s.Close()
			p := planFor(strings.TrimPrefix(s.URL, "http://"))
			p.Servers, p.Loads = nil, p.Loads[:1]
			result, err := Run(context.Background(), p)
			if err != nil {
				t.Fatal(err)
			}
			if n := result.Teams[0].Reasons["notWhole.malformedHead"]; n != result.Requests || n == 0 {
				t.Errorf("%d of %d requests have a malformed head: %v", n, result.Requests, result.Teams[0].Reasons)
			}
		})
	}
}
