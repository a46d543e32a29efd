package front

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestStop checks that a request whose backend server does not answer ends, when the router stops, with a refusal that
// states its outcome correctly.
func TestStop(t *testing.T) {
	key := http.Header{"Idempotency-Key": {idempotencyKey}}
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
			answer, text := b.do(t, tt.method, tt.path, tt.body, tt.header)
			wait(t, "the end of the attempt", b.ended)
			got := refusalText(t, answer, text)
			if answer.StatusCode != tt.status || got != tt.want {
				t.Errorf("status %d, %q, want %d, %q", answer.StatusCode, got, tt.status, tt.want)
			}
			if len(b.closes) != tt.closes {
				t.Errorf("key closed %v, want %d times", b.closes, tt.closes)
			}
		})
	}
}

// TestStopInStream checks that a stream interrupted by a stop ends with an error event and without its end marker.
func TestStopInStream(t *testing.T) {
	b := newBench(t, sse+chunks(false, textEvent)+hang)
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
	first := make([]byte, len(textEvent))
	if _, err := io.ReadFull(answer.Body, first); err != nil {
		t.Fatal(err)
	}
	b.front.Stop()
	rest, err := io.ReadAll(answer.Body)
	if err == nil || !strings.HasPrefix(string(rest), "event: error\ndata: {\"reason\":\"stopped\"") {
		t.Errorf("stream ended with %q, error %v; want an error event and no end in order", rest, err)
	}
	if strings.Contains(string(rest), "[DONE]") {
		t.Error("the interrupted stream has an end marker")
	}
}
