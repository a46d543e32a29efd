package relay

import (
	"net/http"
	"testing"
)

// TestOverdueRouterDeniesNobody guards against a proper request that is turned away for good, with 401 or 404, by a router that knows that it lacks the
// newest configuration (DENIED).
func TestOverdueRouterDeniesNobody(t *testing.T) {
	for name, d := range map[string]struct {
		path, key string
		overdue   bool
		status    int
	}{
		"new route":            {path: "/new/", overdue: true, status: http.StatusServiceUnavailable},
		"new key":              {path: "/keyed/", key: "k9", overdue: true, status: http.StatusServiceUnavailable},
		"known":                {path: "/keyed/", key: "k1", overdue: true, status: http.StatusOK},
		"no route, in step":    {path: "/new/", status: http.StatusNotFound},
		"no such key, in step": {path: "/keyed/", key: "k9", status: http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { w.respond(rw, http.StatusOK, "") })
			w.relay.ConfigOverdue = func() bool { return d.overdue }
			a := w.do(t, http.MethodPost, d.path, "x", func(r *http.Request) { r.Header.Set(testKey, d.key) })
			if a.status != d.status {
				t.Errorf("status %d, want %d", a.status, d.status)
			}
			if wait := a.header.Get("Retry-After"); (wait != "") != (d.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q with status %d", wait, a.status)
			}
		})
	}
}
