package relay

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestServerSaysThatItLeaves guards against requests that reach a server after it said in an answer that it leaves, while the
// platform still tells of it: the answer that says so is passed on, and all later requests go to the others.
func TestServerSaysThatItLeaves(t *testing.T) {
	w := newWorld(t, func(w *world, _ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(testLeave, "1")
		w.run(rw, http.StatusOK, "x")
	})
	for i := range w.served {
		if a := w.ask(t, http.MethodGet, "/safe/", "", nil); a.status != http.StatusOK || a.header.Get(testLeave) == "" {
			t.Fatalf("answer %d: status %d, header %v", i, a.status, a.header)
		}
	}
	for i := range w.served {
		if n := w.served[i].Load(); n != 1 {
			t.Errorf("server %d got %d requests, want the one at whose answer it said that it leaves", i, n)
		}
	}
	if a := w.ask(t, http.MethodGet, "/safe/", "", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d where all servers leave", a.status)
	}
}

// TestServersThatRest guards against requests that reach servers which said how long they want none: once all have said so, callers
// are refused at once and told when to come back. A rest in another answer than a 503, or in one to another request, is none.
func TestServersThatRest(t *testing.T) {
	const rest = 30
	for name, c := range map[string]struct {
		answer func(w *world, rw http.ResponseWriter)
		status int // of the second request
	}{
		"503": {status: http.StatusServiceUnavailable, answer: func(_ *world, rw http.ResponseWriter) {
			rw.Header().Set(testRest, strconv.Itoa(rest))
			shed(rw)
		}},
		"200": {status: http.StatusOK, answer: func(w *world, rw http.ResponseWriter) {
			rw.Header().Set(testRest, strconv.Itoa(rest))
			w.run(rw, http.StatusOK, "x")
		}},
		"503 to another request": {status: http.StatusOK, answer: func(w *world, rw http.ResponseWriter) {
			if w.served[0].Load()+w.served[1].Load()+w.served[2].Load() > int64(len(w.served)) {
				w.run(rw, http.StatusOK, "x")
				return
			}
			rw.Header().Set(testID, "another")
			rw.Header().Set(testRest, strconv.Itoa(rest))
			shed(rw)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, func(w *world, _ int, rw http.ResponseWriter, _ *http.Request) { c.answer(w, rw) })
			for range w.served { // each request is sent to up to three servers
				w.ask(t, http.MethodGet, "/safe/", "", nil)
			}
			before := [3]int64{w.served[0].Load(), w.served[1].Load(), w.served[2].Load()}
			began := time.Now()
			a := w.ask(t, http.MethodGet, "/safe/", "", nil)
			if a.status != c.status {
				t.Fatalf("status %d, want %d", a.status, c.status)
			}
			if c.status == http.StatusOK {
				return
			}
			if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after < rest-1 || after > rest+2 {
				t.Errorf("told to come back after %q, the servers rest for %d s", a.header.Get("Retry-After"), rest)
			}
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
			if now := [3]int64{w.served[0].Load(), w.served[1].Load(), w.served[2].Load()}; now != before {
				t.Errorf("servers that rest got requests: %v, before %v", now, before)
			}
			if n := w.count("refused.serversRest"); n == 0 {
				t.Error("not counted as serversRest")
			}
		})
	}
}
