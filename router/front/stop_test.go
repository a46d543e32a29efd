package front

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestStop ends a request that its backend server keeps waiting and requires a true last answer.
func TestStop(t *testing.T) {
	key := http.Header{"Idempotency-Key": {aKey}}
	tests := map[string]struct {
		answer string
		method string
		path   string
		body   string
		header http.Header
		status int
		want   string
		closes int
	}{
		"idempotent call":     {hang, "GET", "/swatch-desk/colours", "", nil, 503, "stopped unknown", 0},
		"non-idempotent call": {hang, "POST", "/swatch-desk/dispatches", "{}", nil, 502, "outcomeUnknown unknown", 0},
		"keyed call":          {hang, "POST", "/swatch-desk/dispatches", "{}", key, 502, "outcomeUnknown unknown", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answer)
			b.start(t)
			go func() {
				<-b.backend.arrived
				b.front.Stop()
			}()
			answer, text := b.ask(t, tt.method, tt.path, tt.body, tt.header)
			wait(t, "the end of the attempt", b.ended)
			got := refused(t, answer, text)
			if answer.StatusCode != tt.status || got != tt.want {
				t.Errorf("status %d, %q, want %d, %q", answer.StatusCode, got, tt.status, tt.want)
			}
			if len(b.closes) != tt.closes {
				t.Errorf("key closed %v, want %d times", b.closes, tt.closes)
			}
		})
	}
}

// TestStopInStream requires that a stream cut by a stop ends in an explicit error and not in its end marker.
func TestStopInStream(t *testing.T) {
	b := newBench(t, sse+chunks(false, one)+hang)
	b.start(t)
	r, err := http.NewRequest(http.MethodPost, b.server.URL+"/v1/completions", strings.NewReader(modelBody))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	first := make([]byte, len(one))
	if _, err := io.ReadFull(answer.Body, first); err != nil {
		t.Fatal(err)
	}
	b.front.Stop()
	rest, err := io.ReadAll(answer.Body)
	if err != nil || !strings.HasPrefix(string(rest), "event: error\ndata: {\"reason\":\"stopped\"") {
		t.Errorf("the stream ended with %q, error %v", rest, err)
	}
	if strings.Contains(string(rest), "[DONE]") {
		t.Error("the cut stream has an end marker")
	}
}
