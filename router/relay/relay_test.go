package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

func TestAnswersAreUnchanged(t *testing.T) {
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		text := fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header.Get("X-Extra"), r.Header.Get("X-Mine"))
		writeRaw(rw, "HTTP/1.1 202 Accepted\r\n"+testID+": id-1\r\n"+testSigned+": y\r\nX-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"+
			"Content-Length: "+fmt.Sprint(len(text))+"\r\n\r\n"+text)
	})
	g := w.do(t, http.MethodPost, "/unsafe/a%2Fb//c?x=1;y", "text", func(r *http.Request) {
		r.Header.Set("X-Extra", "kept")
		r.Header.Set("Connection", "X-Mine")
		r.Header.Set("X-Mine", "hop")
	})
	if want := "POST /unsafe/a%2Fb//c?x=1;y h text kept"; g.status != http.StatusAccepted || g.body != want || g.err != nil {
		t.Errorf("%d %q, %v; want %q", g.status, g.body, g.err, want)
	}
	if g.header.Get("X-Own") != "1" || g.header.Get("X-Hop") != "" || g.header.Get(testSigned) == "" {
		t.Errorf("header %v", g.header)
	}
}

func TestRefusalsOfTheRouter(t *testing.T) {
	tests := map[string]struct {
		path   string
		body   string
		change func(*http.Request)
		want   int
		reason string
	}{
		"no route":       {path: "/none/", want: http.StatusNotFound, reason: "unknownRoute"},
		"other host":     {path: "/safe/", change: func(r *http.Request) { r.Host = "x" }, want: http.StatusNotFound, reason: "unknownRoute"},
		"no key":         {path: "/keyed/", want: http.StatusUnauthorized, reason: "unauthorized"},
		"unknown key":    {path: "/keyed/", change: func(r *http.Request) { r.Header.Set(testKey, "k9") }, want: http.StatusUnauthorized, reason: "unauthorized"},
		"large body":     {path: "/unsafe/", body: strings.Repeat("x", 1001), want: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"},
		"large, chunked": {path: "/unsafe/", body: strings.Repeat("x", 1001), change: func(r *http.Request) { r.ContentLength = -1 }, want: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"},
		"large header":   {path: "/safe/", change: func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 5000)) }, want: http.StatusRequestHeaderFieldsTooLarge, reason: "badRequest"},
		"bad deadline":   {path: "/safe/", change: func(r *http.Request) { r.Header.Set(testTimeout, "soon") }, want: http.StatusBadRequest, reason: "badRequest"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { w.respond(rw, http.StatusOK, "") })
			g := w.do(t, http.MethodPost, c.path, c.body, c.change)
			if g.status != c.want {
				t.Errorf("status %d, want %d", g.status, c.want)
			}
			if w.runs.Load() != 0 || w.count("refused."+c.reason) != 1 {
				t.Errorf("%d runs, %d counted as %s", w.runs.Load(), w.count("refused."+c.reason), c.reason)
			}
			if g.header.Get(testSigned) != "" {
				t.Error("the router's own answer carries a server's signature")
			}
		})
	}
}

// TestTeams checks that servers get the team, but neither the key nor headers that callers may not set.
func TestTeams(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		w.respond(rw, http.StatusOK, r.Header.Get(testTeam)+"|"+r.Header.Get(testKey)+"|"+r.Header.Get(testServer)[:1])
	})
	g := w.do(t, http.MethodGet, "/keyed/", "", func(r *http.Request) {
		r.Header.Set(testKey, "k1")
		r.Header.Set(testTeam, "other")
		r.Header.Set(testServer, "mine")
	})
	if g.body != "farm||s" {
		t.Errorf("server saw %q", g.body)
	}
}

// TestFailures checks, for each way in which a server fails, whether the request is retried and which status the caller gets.
func TestFailures(t *testing.T) {
	tests := map[string]struct {
		path   string
		fail   func(w *fixture, rw http.ResponseWriter) // how the first server fails
		status int
		runs   int64 // number of runs that servers began
		after  bool  // expects a Retry-After
	}{
		"unsafe, connection cut":   {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) { closeConnection(rw) }, status: http.StatusBadGateway},
		"unsafe, not run":          {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) { shed(rw) }, status: http.StatusOK, runs: 1},
		"unsafe, another server":   {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) { rw.WriteHeader(http.StatusMisdirectedRequest) }, status: http.StatusOK, runs: 1},
		"unsafe, unsigned 503":     {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) { rw.WriteHeader(http.StatusServiceUnavailable) }, status: http.StatusBadGateway},
		"unsafe, unsigned success": {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) { rw.WriteHeader(http.StatusOK) }, status: http.StatusBadGateway},
		"unsafe, encoded": {path: "/unsafe/", fail: func(w *fixture, rw http.ResponseWriter) {
			rw.Header().Set("Content-Encoding", "gzip")
			w.respond(rw, 200, "x")
		}, status: http.StatusBadGateway, runs: 1},
		"unsafe, another's answer": {path: "/unsafe/", fail: func(w *fixture, rw http.ResponseWriter) { rw.Header().Set(testID, "id-2"); w.respond(rw, 200, "x") }, status: http.StatusBadGateway, runs: 1},
		"unsafe, own failure":      {path: "/unsafe/", fail: func(w *fixture, rw http.ResponseWriter) { w.respond(rw, http.StatusInternalServerError, "own") }, status: http.StatusInternalServerError, runs: 1},
		"unsafe, answer cut short": {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) {
			writeRaw(rw, "HTTP/1.1 200 OK\r\n"+testID+": id-1\r\n"+testSigned+": y\r\nContent-Length: 9\r\n\r\nhalf")
		}, status: http.StatusBadGateway},
		"unsafe, no answer at all": {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) { writeRaw(rw, "no http\r\n\r\n") }, status: http.StatusBadGateway},
		"unsafe, bytes after the end": {path: "/unsafe/", fail: func(_ *fixture, rw http.ResponseWriter) {
			writeRaw(rw, "HTTP/1.1 200 OK\r\n"+testID+": id-1\r\n"+testSigned+": y\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n")
		}, status: http.StatusOK},
		"safe, connection cut":          {path: "/safe/", fail: func(_ *fixture, rw http.ResponseWriter) { closeConnection(rw) }, status: http.StatusOK, runs: 1},
		"safe, own failure":             {path: "/safe/", fail: func(w *fixture, rw http.ResponseWriter) { w.respond(rw, http.StatusInternalServerError, "own") }, status: http.StatusOK, runs: 2},
		"resumable stream, cut":         {path: "/stream/", fail: func(_ *fixture, rw http.ResponseWriter) { closeConnection(rw) }, status: http.StatusOK, runs: 1},
		"non-resumable stream, cut":     {path: "/fixed/", fail: func(_ *fixture, rw http.ResponseWriter) { closeConnection(rw) }, status: http.StatusBadGateway},
		"non-resumable stream, not run": {path: "/fixed/", fail: func(_ *fixture, rw http.ResponseWriter) { shed(rw) }, status: http.StatusOK, runs: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			failed := make(chan struct{}, 1)
			failed <- struct{}{}
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
				select {
				case <-failed:
					c.fail(w, rw)
				default:
					w.respond(rw, http.StatusOK, "ok")
				}
			})
			g := w.do(t, http.MethodPost, c.path, "x", nil)
			if g.status != c.status || g.err != nil {
				t.Errorf("status %d, %v; want %d", g.status, g.err, c.status)
			}
			if w.runs.Load() != c.runs {
				t.Errorf("%d runs, want %d", w.runs.Load(), c.runs)
			}
		})
	}
}

// TestNothingRan checks that the caller gets a 503 with a Retry-After if no server ran its request, and that the retry budget limits how
// often it is sent.
func TestNothingRan(t *testing.T) {
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { shed(rw) })
	g := w.do(t, http.MethodPost, "/unsafe/", "x", nil)
	if g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", g.status, g.header.Get("Retry-After"))
	}
	if n := w.received[0].Load() + w.received[1].Load() + w.received[2].Load(); n != 3 {
		t.Errorf("servers got %d requests, want one each", n)
	}
	w.relay.Budgets.Slack, w.relay.Budgets.Ratio = 0, 0
	before := w.count("refused.retryBudget")
	w.do(t, http.MethodPost, "/unsafe/", "x", nil)
	if w.count("refused.retryBudget") == before {
		t.Error("a request was retried without a retry budget")
	}
}

// TestOwnFailureWithoutBudget checks that a server's failure answer is passed on unchanged if the budget allows no retry.
func TestOwnFailureWithoutBudget(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		w.respond(rw, http.StatusInternalServerError, "own")
	})
	w.relay.Budgets.Slack, w.relay.Budgets.Ratio = 0, 0
	if g := w.do(t, http.MethodGet, "/safe/", "", nil); g.status != http.StatusInternalServerError || g.body != "own" || g.err != nil {
		t.Errorf("%d %q, %v", g.status, g.body, g.err)
	}
}

// TestStreamsResume checks that a broken stream resumes at another server after its last complete event, within the same answer.
func TestStreamsResume(t *testing.T) {
	tests := map[string]struct {
		path  string
		stop  func(rw http.ResponseWriter) // how the first server breaks the stream after event 2
		whole bool
	}{
		"between events": {path: "/stream/", stop: cutStream, whole: true},
		"inside an event": {path: "/stream/", stop: func(rw http.ResponseWriter) {
			fmt.Fprint(rw, "id: 3\ndata: ev")
			rw.(http.Flusher).Flush()
			cutStream(rw)
		}, whole: true},
		"a stream that can't be resumed": {path: "/fixed/", stop: cutStream},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			first := make(chan struct{}, 1)
			first <- struct{}{}
			w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
				select {
				case <-first:
					writeEvents(rw, 1, 2)
					c.stop(rw)
				default:
					from := 1
					if _, err := fmt.Sscan(r.Header.Get(testLastEvent), &from); err == nil {
						from++
					}
					writeEvents(rw, from, 5)
				}
			})
			g := w.do(t, http.MethodPost, c.path, "x", nil)
			if whole := g.err == nil; whole != c.whole {
				t.Fatalf("read %q, %v", g.body, g.err)
			}
			want := wholeStream(5)
			if !c.whole {
				want = wholeStream(2)
			}
			if d := cmp.Diff(want, g.body); d != "" {
				t.Error(d)
			}
		})
	}
}

// cutStream aborts an answer that has begun.
func cutStream(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// TestBrokenStreamsNeverLookComplete checks that a broken stream is cut off, and does not look complete, if its route is removed from the
// configuration before it can resume.
func TestBrokenStreamsNeverLookComplete(t *testing.T) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	var w *fixture
	w = newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		select {
		case <-first:
			writeEvents(rw, 1, 2)
			c := testConfig()
			c.Routes = nil
			w.table.Store(route.NewTable(c))
			cutStream(rw)
		default:
			shed(rw)
		}
	})
	g := w.do(t, http.MethodPost, "/stream/", "x", nil)
	if g.err == nil || g.body != wholeStream(2) {
		t.Errorf("read %q, %v; want two events and a cut", g.body, g.err)
	}
}

// TestDeadlines checks that a server gets the remaining time, and that the route's timeout ends a request that a server does not answer.
func TestDeadlines(t *testing.T) {
	timeouts := make(chan string, 4)
	release := make(chan struct{})
	defer close(release)
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get(testTimeout)
		if strings.HasPrefix(r.URL.Path, "/brief/") {
			select {
			case <-release:
			case <-r.Context().Done():
			}
			return
		}
		w.respond(rw, http.StatusOK, "")
	})
	w.do(t, http.MethodGet, "/safe/", "", func(r *http.Request) { r.Header.Set(testTimeout, "700") })
	var left int
	if _, err := fmt.Sscan(<-timeouts, &left); err != nil || left < 500 || left > 700 {
		t.Errorf("the server got a timeout of %d ms out of 700, %v", left, err)
	}
	began := time.Now()
	g := w.do(t, http.MethodGet, "/brief/", "", func(r *http.Request) { r.Header.Set(testTimeout, "5000") })
	if took := time.Since(began); g.status != http.StatusGatewayTimeout || took < 150*time.Millisecond || took > time.Second {
		t.Errorf("status %d after %v; the route allows 200 ms", g.status, took)
	}
}

// TestCallerLeaves checks that the server's work on a retriable request ends at once when the caller leaves.
func TestCallerLeaves(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, 1, 1)
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-began
		leave()
	}()
	w.doContext(ctx, t, http.MethodPost, "/stream/", "x", nil)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server still works on the request")
	}
}

// TestRequestSmuggling checks that requests which contain another one or have two lengths do not reach servers as two requests.
func TestRequestSmuggling(t *testing.T) {
	inner := "GET /safe/hidden HTTP/1.1\r\nHost: h\r\n" + testID + ": id-9\r\n\r\n"
	tests := map[string]string{
		"two lengths":            "POST /unsafe/ HTTP/1.1\r\nHost: h\r\n" + testID + ": a\r\nContent-Length: 5\r\nContent-Length: 70\r\n\r\nhello" + inner,
		"length and chunks":      "POST /unsafe/ HTTP/1.1\r\nHost: h\r\n" + testID + ": a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown coding":         "POST /unsafe/ HTTP/1.1\r\nHost: h\r\n" + testID + ": a\r\nTransfer-Encoding: xchunked\r\n\r\n" + inner,
		"inside a body":          "POST /unsafe/ HTTP/1.1\r\nHost: h\r\n" + testID + ": a\r\nContent-Length: " + fmt.Sprint(len(inner)) + "\r\n\r\n" + inner,
		"line feed in a header":  "GET /safe/ HTTP/1.1\r\nHost: h\r\n" + testID + ": a\nX: y\r\n\r\n",
		"space before the colon": "POST /unsafe/ HTTP/1.1\r\nHost: h\r\n" + testID + ": a\r\nContent-Length : 5\r\n\r\n" + inner,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(testID) != "a" || strings.Contains(r.RequestURI, "hidden") {
					t.Errorf("a server got %s %s with id %q", r.Method, r.RequestURI, r.Header.Get(testID))
				}
				w.respond(rw, http.StatusOK, "")
			})
			c := w.dial(t)
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // a TCP connection supports deadlines
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				t.Errorf("no answer: %v", err)
			}
			if w.runs.Load() > 1 {
				t.Errorf("%d runs of one request", w.runs.Load())
			}
		})
	}
}

// TestStopping checks that a stopping router refuses requests that it cannot finish in time, and all requests once callers had time to
// notice.
func TestStopping(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { w.respond(rw, http.StatusOK, "") })
	left := time.Duration(0)
	leaving := false
	w.relay.DrainRemaining = func() (time.Duration, bool) { return left, leaving }
	w.relay.RefusesNew = func() bool { return leaving && left == 0 }
	w.relay.durations.observe("unsafe", 5*time.Second)
	tests := []struct {
		name, path string
		left       time.Duration
		leaving    bool
		status     int
	}{
		{"serving", "/unsafe/", 0, false, http.StatusOK},
		{"leaving, short request", "/safe/", 3 * time.Second, true, http.StatusOK},
		{"leaving, long request", "/unsafe/", 3 * time.Second, true, http.StatusServiceUnavailable},
		{"leaving, grace period over", "/safe/", 0, true, http.StatusServiceUnavailable},
	}
	for _, c := range tests {
		left, leaving = c.left, c.leaving
		g := w.do(t, http.MethodPost, c.path, "x", nil)
		if g.status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, g.status, c.status)
		}
		if c.status != http.StatusOK && g.header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", c.name)
		}
	}
}

// TestCutAtEndOfDrain checks that a request which is cut at the end of the grace period gets a status that does not claim that it did not
// run.
func TestCutAtEndOfDrain(t *testing.T) {
	stopping, stop := context.WithCancel(context.Background())
	w := newFixture(t, func(w *fixture, _ int, _ http.ResponseWriter, r *http.Request) {
		w.runs.Add(1)
		stop()
		<-r.Context().Done()
	})
	w.relay.Stopping = stopping
	g := w.do(t, http.MethodPost, "/unsafe/", "x", nil)
	if g.status != http.StatusBadGateway || g.header.Get("Retry-After") != "" {
		t.Errorf("status %d, Retry-After %q", g.status, g.header.Get("Retry-After"))
	}
}

func TestNoConfigurationYet(t *testing.T) {
	w := newFixture(t, func(_ *fixture, _ int, _ http.ResponseWriter, _ *http.Request) {})
	w.table.Store(nil)
	if g := w.do(t, http.MethodGet, "/none/", "", nil); g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", g.status, g.header.Get("Retry-After"))
	}
}

// TestRetryGetsNewObjective checks that a retry gets a new latency objective: the rest of its stream is worth waiting for until its
// deadline.
func TestRetryGetsNewObjective(t *testing.T) {
	w := newFixture(t, func(*fixture, int, http.ResponseWriter, *http.Request) {})
	now := w.relay.Clock()
	c := &call{relay: w.relay, arrived: now - time.Minute, deadline: now + time.Minute, route: &route.Route{Objective: time.Second}, sends: 1}
	if a := c.poolRequest(); a.Objective < now+time.Second || !a.Retry {
		t.Errorf("objective is %v from now, retry %t", a.Objective-now, a.Retry)
	}
}

// failingWriter is a response writer whose writes fail, as on a connection that broke unnoticed.
type failingWriter struct{ header http.Header }

func (d *failingWriter) Header() http.Header       { return d.header }
func (d *failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }
func (d *failingWriter) WriteHeader(int)           {}

// TestCallerConnectionFails checks that a stream and the server's work on it end at once if writing to the caller fails.
func TestCallerConnectionFails(t *testing.T) {
	ended := make(chan struct{})
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/stream/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.RequestURI = "h", "/stream/"
	r.Header.Set(testID, "id-1")
	began := time.Now()
	func() {
		defer func() {
			if got := recover(); got != http.ErrAbortHandler {
				t.Errorf("ended with %v, want http.ErrAbortHandler", got)
			}
		}()
		w.relay.ServeHTTP(&failingWriter{header: http.Header{}}, r)
	}()
	if took := time.Since(began); took > time.Second {
		t.Errorf("ended after %v, want it well before the route's timeout", took)
	}
	<-ended
}

// TestCallerLeftBeforeSending checks that a request goes to no server if its caller left before it was sent.
func TestCallerLeftBeforeSending(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { w.respond(rw, http.StatusOK, "x") })
	for name, leaves := range map[string]int{"before a server is chosen": 0, "before the write": 1} {
		t.Run(name, func(t *testing.T) {
			checks, before := 0, w.count("refused.callerGone")
			w.relay.CallerGone = func(*http.Request) bool {
				checks++
				return checks > leaves
			}
			if a := w.do(t, http.MethodGet, "/safe/a", "", nil); a.err == nil {
				t.Errorf("got %d %q", a.status, a.body)
			}
			if n := w.runs.Load(); n != 0 {
				t.Errorf("%d servers ran it", n)
			}
			if w.count("refused.callerGone") != before+1 {
				t.Error("not counted as callerGone")
			}
		})
	}
}

// TestServerLeavesBeforeTheWrite checks that a server which begins to leave between its choice and the write gets no request. Another
// server runs the request, and that does not count as a retry.
func TestServerLeavesBeforeTheWrite(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { w.respond(rw, http.StatusOK, "x") })
	w.relay.Budgets = pool.RetryBudgets{}
	write := w.relay.HeaderCodec.WriteRequest
	left := ""
	w.relay.HeaderCodec.WriteRequest = func(h http.Header, s Outgoing) {
		write(h, s)
		if left != "" {
			return
		}
		left = s.Server
		w.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
			address := ""
			for i := range w.received {
				if fmt.Sprint("s", i) == left {
					address = w.addresses[i]
				}
			}
			p.SetServer(now, pool.Server{ID: left, Service: "desk", Address: address, DataCentre: "east", Slots: 8, Draining: true})
		})
	}
	for _, path := range []string{"/safe/a", "/unsafe/a"} {
		left = ""
		a := w.do(t, http.MethodPost, path, "b", nil)
		if a.status != http.StatusOK || a.body != "x" {
			t.Errorf("%s: got %d %q, %v", path, a.status, a.body, a.err)
		}
		for i := range w.received {
			if n := w.received[i].Swap(0); n > 0 && fmt.Sprint("s", i) == left {
				t.Errorf("%s: the leaving server %s got %d requests", path, left, n)
			}
		}
	}
}
