package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestFingerprintOfARepeatedRequest guards against a request that is not recognized when it comes again under another id, and against two that are
// taken for one.
func TestFingerprintOfARepeatedRequest(t *testing.T) {
	type sent struct{ method, target, key, body string }
	first := sent{http.MethodPost, "/orders/7?x=1", "team-key", "a body"}
	of := func(s sent, id string) uint64 {
		r := httptest.NewRequest(s.method, s.target, strings.NewReader(s.body))
		r.Header.Set("Request-Id", id)
		r.Header.Set("Last-Event-Id", id)
		return fingerprint(r, s.key, []byte(s.body))
	}
	for name, d := range map[string]struct {
		again sent
		same  bool
	}{
		"again":                 {first, true},
		"another method":        {sent{http.MethodPut, first.target, first.key, first.body}, false},
		"another path":          {sent{first.method, "/orders/8?x=1", first.key, first.body}, false},
		"another query":         {sent{first.method, "/orders/7?x=2", first.key, first.body}, false},
		"another caller":        {sent{first.method, first.target, "other-key", first.body}, false},
		"another body":          {sent{first.method, first.target, first.key, "A body"}, false},
		"no body":               {sent{first.method, first.target, first.key, ""}, false},
		"body moved to the key": {sent{first.method, first.target, first.key + "a", " body"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if same := of(first, "1") == of(d.again, "2"); same != d.same {
				t.Errorf("same fingerprint: %t, want %t", same, d.same)
			}
		})
	}
}

// BenchmarkFingerprint measures the hash of a request with a body of the users' mean length for long prompts.
func BenchmarkFingerprint(b *testing.B) {
	r := httptest.NewRequest(http.MethodPost, "/orders/7", nil)
	body := make([]byte, 18000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		fingerprint(r, "team-key", body)
	}
}
