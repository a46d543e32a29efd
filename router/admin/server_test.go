package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

func TestServer(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("refused.queueFull", registry).Inc(3)
	history := &RequestHistory{}
	history.Record(time.Second, "r1", "carpenters", "stain-llm", report.Step{What: "arrived"})
	history.Record(3*time.Second, "r1", "", "", report.Step{What: "refused", Reason: fleet.ReasonQueueFull})
	s := &Server{
		NotReadyReason: func() fleet.Reason { return fleet.ReasonDraining },
		Status:         func(context.Context) (*report.Status, error) { return &report.Status{Router: "lahore-1"}, nil },
		History:        history,
		Registry:       registry,
	}
	cases := map[string]struct {
		path, contains string
		code           int
	}{
		"health":            {"/healthz", "", http.StatusOK},
		"readiness":         {"/readyz", "draining", http.StatusServiceUnavailable},
		"text":              {"/metrics", "mangolug_refused_total{kind=\"queueFull\"} 3", http.StatusOK},
		"metrics as JSON":   {"/metrics?format=json", "\"refused.queueFull\":{\"count\":3}", http.StatusOK},
		"status":            {"/status", "\"router\":\"lahore-1\"", http.StatusOK},
		"request":           {"/explain/request/r1", "\"atMillis\":2000,\"what\":\"refused\",\"reason\":\"queueFull\"", http.StatusOK},
		"unknown request":   {"/explain/request/r2", "not known", http.StatusNotFound},
		"no such operation": {"/nothing", "not found", http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
			if w.Code != c.code || !strings.Contains(w.Body.String(), c.contains) {
				t.Errorf("got %d %q, want %d with %q", w.Code, w.Body, c.code, c.contains)
			}
		})
	}
	if got := history.Refusals("carpenters")["queueFull"]; got != 1 {
		t.Errorf("%d refusals of the team, want 1", got)
	}
	if got := history.Failures("carpenters", 5); len(got) != 1 {
		t.Errorf("%d requests with a failure, want 1", len(got))
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var s RequestHistory
	for i := range 2 * maxRequests {
		s.Record(0, strings.Repeat("x", i%7)+time.Duration(i).String(), "t", "p", report.Step{What: "arrived"})
	}
	if len(s.requests) != maxRequests {
		t.Errorf("%d requests are remembered, want %d", len(s.requests), maxRequests)
	}
}

func TestFloodEvictsOnlyItsOwnTeam(t *testing.T) {
	var s RequestHistory
	note := func(request, team string) {
		s.Record(0, request, team, "p", report.Step{What: "refused", Reason: fleet.ReasonQueueFull})
	}
	note("calm-1", "calm")
	for i := range 10 * maxRequests {
		note("flood-"+strconv.Itoa(i), "flood")
		if i == 5*maxRequests {
			note("calm-2", "calm")
		}
	}
	if _, found := s.Find("calm-2"); !found {
		t.Error("a request of a calm team was evicted by a flood of another team's")
	}
	if _, found := s.Find("flood-" + strconv.Itoa(10*maxRequests-1)); !found || len(s.requests) != maxRequests {
		t.Errorf("%d requests, the latest among them: %v", len(s.requests), found)
	}
}
