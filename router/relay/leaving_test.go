package relay

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestLeavingServerGetsNoRequests guards against requests to a server that reported in an answer that it leaves, while the platform
// still lists it. The answer with the report is passed on, and all later requests go to other servers.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(testLeaving, "1")
		w.respond(rw, http.StatusOK, "x")
	})
	for i := range w.received {
		if a := w.do(t, http.MethodGet, "/safe/", "", nil); a.status != http.StatusOK || a.header.Get(testLeaving) == "" {
			t.Fatalf("answer %d: status %d, header %v", i, a.status, a.header)
		}
	}
	for i := range w.received {
		if n := w.received[i].Load(); n != 1 {
			t.Errorf("server %d got %d requests, want only the one whose answer reported that it leaves", i, n)
		}
	}
	if a := w.do(t, http.MethodGet, "/safe/", "", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d after all servers reported that they leave, want 503", a.status)
	}
}

// TestPausedServersGetNoRequests guards against requests to servers that asked for a pause. Once all servers have asked for one, callers
// are refused at once with a Retry-After. A pause in an answer other than a 503, or in an answer to another request, is ignored.
func TestPausedServersGetNoRequests(t *testing.T) {
	const pause = 30
	for name, c := range map[string]struct {
		answer func(w *fixture, rw http.ResponseWriter)
		status int // of the request after the pauses
	}{
		"503": {status: http.StatusServiceUnavailable, answer: func(_ *fixture, rw http.ResponseWriter) {
			rw.Header().Set(testPause, strconv.Itoa(pause))
			shed(rw)
		}},
		"200": {status: http.StatusOK, answer: func(w *fixture, rw http.ResponseWriter) {
			rw.Header().Set(testPause, strconv.Itoa(pause))
			w.respond(rw, http.StatusOK, "x")
		}},
		"503 to another request": {status: http.StatusOK, answer: func(w *fixture, rw http.ResponseWriter) {
			if w.received[0].Load()+w.received[1].Load()+w.received[2].Load() > int64(len(w.received)) {
				w.respond(rw, http.StatusOK, "x")
				return
			}
			rw.Header().Set(testID, "another")
			rw.Header().Set(testPause, strconv.Itoa(pause))
			shed(rw)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { c.answer(w, rw) })
			for range w.received { // each request is sent to up to three servers
				w.do(t, http.MethodGet, "/safe/", "", nil)
			}
			before := [3]int64{w.received[0].Load(), w.received[1].Load(), w.received[2].Load()}
			began := time.Now()
			a := w.do(t, http.MethodGet, "/safe/", "", nil)
			if a.status != c.status {
				t.Fatalf("status %d, want %d", a.status, c.status)
			}
			if c.status == http.StatusOK {
				return
			}
			if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after < pause-1 || after > pause+2 {
				t.Errorf("Retry-After is %q, the servers asked for a pause of %d s", a.header.Get("Retry-After"), pause)
			}
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
			if now := [3]int64{w.received[0].Load(), w.received[1].Load(), w.received[2].Load()}; now != before {
				t.Errorf("paused servers got requests: %v, before %v", now, before)
			}
			if n := w.count("refused.serversRest"); n == 0 {
				t.Error("not counted as serversRest")
			}
		})
	}
}
