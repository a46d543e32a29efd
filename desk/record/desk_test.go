package record

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestRunsAreRecorded(t *testing.T) {
	tests := map[string]struct {
		desk   *Desk
		status int
		runs   int
		notRun bool
	}{
		"answered":            {&Desk{Limit: 1}, http.StatusOK, 1, false},
		"failed after it ran": {&Desk{Limit: 1, failNext: 1}, http.StatusInternalServerError, 1, false},
		"broken after it ran": {&Desk{Limit: 1, dropNext: 1}, 0, 1, false},
		"full":                {&Desk{}, http.StatusTooManyRequests, 0, true},
		"left":                {&Desk{Limit: 1, record: Record{LeftAt: 1}}, http.StatusServiceUnavailable, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			desk := tt.desk
			server := httptest.NewServer(desk.Handler())
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/dispatches", strings.NewReader("walnut"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Idempotency-Key", "key-1")
			request.Header.Set("X-Request-Id", "request-1")
			request.GetBody = nil
			status, notRun := 0, false
			if response, err := server.Client().Do(request); err == nil {
				defer func() { _ = response.Body.Close() }()
				status, notRun = response.StatusCode, response.Header.Get("X-Not-Run") == "true"
				checkAnswer(t, response)
			}
			if status != tt.status || notRun != tt.notRun {
				t.Errorf("status %d, not run %v", status, notRun)
			}
			runs := desk.Record().Runs
			if len(runs) != tt.runs {
				t.Fatalf("runs %+v", runs)
			}
			if len(runs) > 0 && (runs[0].Key != "key-1" || runs[0].RequestID != "request-1") {
				t.Errorf("run %+v", runs[0])
			}
		})
	}
}

func checkAnswer(t *testing.T, response *http.Response) {
	t.Helper()
	if response.StatusCode != http.StatusOK {
		return
	}
	var answer Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if answer.Text != TextOf("/dispatches", []byte("walnut")) || answer.RequestID != "request-1" {
		t.Errorf("answer %+v", answer)
	}
}
