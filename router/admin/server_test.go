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
	stories := &Stories{}
	stories.Note(time.Second, "r1", "carpenters", "stain-llm", report.Step{What: "arrived"})
	stories.Note(3*time.Second, "r1", "", "", report.Step{What: "refused", Reason: fleet.ReasonQueueFull})
	s := &Server{
		Ready:    func() fleet.Reason { return fleet.ReasonDraining },
		Status:   func(context.Context) (*report.Status, error) { return &report.Status{Router: "lahore-1"}, nil },
		Stories:  stories,
		Registry: registry,
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
	if got := stories.Refusals("carpenters")["queueFull"]; got != 1 {
		t.Errorf("%d refusals of the team, want 1", got)
	}
	if got := stories.Troubled("carpenters", 5); len(got) != 1 {
		t.Errorf("%d troubled stories, want 1", len(got))
	}
}

func TestStoriesAreBounded(t *testing.T) {
	var s Stories
	for i := range 2 * storyLimit {
		s.Note(0, strings.Repeat("x", i%7)+time.Duration(i).String(), "t", "p", report.Step{What: "arrived"})
	}
	if len(s.stories) != storyLimit {
		t.Errorf("%d stories are kept, want %d", len(s.stories), storyLimit)
	}
}

func TestFloodBuriesNoOthersStories(t *testing.T) {
	var s Stories
	note := func(request, team string) {
		s.Note(0, request, team, "p", report.Step{What: "refused", Reason: fleet.ReasonQueueFull})
	}
	note("calm-1", "calm")
	for i := range 10 * storyLimit {
		note("flood-"+strconv.Itoa(i), "flood")
		if i == 5*storyLimit {
			note("calm-2", "calm")
		}
	}
	if _, found := s.Find("calm-2"); !found {
		t.Error("the story of a calm team was pushed out by a flood")
	}
	if _, found := s.Find("flood-" + strconv.Itoa(10*storyLimit-1)); !found || len(s.stories) != storyLimit {
		t.Errorf("%d stories, the latest among them: %v", len(s.stories), found)
	}
}
