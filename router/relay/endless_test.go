package relay

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangolug.org/core/route"
)

const (
	// socketBytes is the most that the kernel's buffers hold for a connection at both ends (tcp_wmem and tcp_rmem).
	socketBytes = 10 << 20
	// endlessByteLimit is how many bytes of endless answers the router may read: two attempts at the largest complete answer.
	endlessByteLimit = 2 * (answerLimit + socketBytes)
	// endlessTimeLimit is when the caller must have its answer at full speed: the route's timeout plus a margin for a slow machine.
	endlessTimeLimit = 3 * time.Second
	// dripTimeLimit is the same for bytes at intervals of dripGap, on a route with a timeout of 200 ms.
	dripTimeLimit = time.Second
	dripGap       = 20 * time.Millisecond
)

// writeEndless writes begin and then an endless repetition of more until the router closes the connection. It adds the bytes after begin
// to written.
func writeEndless(rw http.ResponseWriter, begin, more string, gap time.Duration, written *atomic.Int64, closed chan<- struct{}) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	defer func() { closed <- struct{}{} }()
	if _, err := io.WriteString(c, begin); err != nil {
		return
	}
	block := more
	if gap == 0 {
		block = strings.Repeat(more, 4<<10/len(more))
	}
	for {
		n, err := io.WriteString(c, block)
		written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(gap)
	}
}

// TestEndlessAnswers guards against servers that send endless bytes in any part of an answer, at full speed or a few bytes at a time. The
// bytes read and the time must be bounded, the connection closed, the caller's status correct, and other callers served.
func TestEndlessAnswers(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: yes\r\n"
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
		stream = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		notRun = "HTTP/1.1 503 Full\r\nX-Id: id-1\r\nX-Not-Run: 1\r\n"
	)
	tests := map[string]struct {
		begin, more string
		path        string // route name; empty for the safe route
		whole       string // the body that the caller gets; empty for a failure
		serversGone bool   // the servers report that they are gone, so the next caller cannot be served
		status      int    // status of a failure; 0 if the answer is cut off
	}{
		"status line":                {begin: "HTTP/1.1 200 ", more: "x", status: http.StatusBadGateway},
		"no status line":             {begin: "", more: "x", status: http.StatusBadGateway},
		"header line":                {begin: "HTTP/1.1 200 OK\r\nX-Id: ", more: "x", status: http.StatusBadGateway},
		"header lines":               {begin: "HTTP/1.1 200 OK\r\n", more: "X-A: b\r\n", status: http.StatusBadGateway},
		"interim answers":            {begin: "", more: "HTTP/1.1 100 Continue\r\n\r\n", status: http.StatusBadGateway},
		"chunk size":                 {begin: chunks, more: "0", status: http.StatusBadGateway},
		"chunk extension":            {begin: chunks + "1;a=", more: "x", status: http.StatusBadGateway},
		"chunks":                     {begin: chunks, more: "4\r\nabcd\r\n", status: http.StatusBadGateway},
		"trailer":                    {begin: chunks + "4\r\nabcd\r\n0\r\n", more: "X-A: b\r\n", status: http.StatusBadGateway},
		"body without length":        {begin: head + "\r\n", more: "x", status: http.StatusBadGateway},
		"beyond the length":          {begin: head + "Content-Length: 4\r\n\r\nabcd", more: "x", whole: "abcd"},
		"after a whole chunked body": {begin: chunks + "4\r\nabcd\r\n0\r\n\r\n", more: "x", whole: "abcd"},
		"body of a not-run answer": {
			begin: notRun + "Transfer-Encoding: chunked\r\n\r\n", more: "4\r\nabcd\r\n", status: http.StatusServiceUnavailable,
		},
		"body of another server": {
			begin: "HTTP/1.1 421 Misdirected\r\nX-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n", more: "4\r\nabcd\r\n", status: http.StatusServiceUnavailable,
			serversGone: true,
		},
		"event":                       {begin: stream + "ffffffff\r\ndata: ", more: "x", path: "fixed", status: http.StatusBadGateway},
		"comment lines without event": {begin: stream + "ffffffff\r\n", more: ": x\n", path: "fixed", status: http.StatusBadGateway},
		"event after others":          {begin: stream + "ffffffff\r\nid: 1\ndata: a\n\ndata: ", more: "x", path: "fixed"},
	}
	for name, tt := range tests {
		for speed, gap := range map[string]time.Duration{"full speed": 0, "slow": dripGap} {
			t.Run(name+"/"+speed, func(t *testing.T) {
				var written atomic.Int64
				closed := make(chan struct{}, 16)
				w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get(testID) != "id-1" {
						w.respond(rw, http.StatusOK, "sound")
						return
					}
					w.runs.Add(1)
					writeEndless(rw, tt.begin, tt.more, gap, &written, closed)
				})
				path, limit := "safe", endlessTimeLimit
				if tt.path != "" {
					path = tt.path
				}
				if gap > 0 {
					path, limit = "brief", dripTimeLimit
					if tt.path != "" {
						path = "briefFixed"
					}
				}
				began := time.Now()
				a := w.do(t, http.MethodPost, "/"+path+"/a", "body", nil)
				if took := time.Since(began); took > limit {
					t.Errorf("the caller waited %v, want at most %v", took, limit)
				}
				checkEndless(t, a, tt.whole, tt.status)
				for range w.runs.Load() {
					select {
					case <-closed:
					case <-time.After(endlessTimeLimit):
						t.Fatal("a connection with an endless answer stays open")
					}
				}
				if n := written.Load(); n > endlessByteLimit {
					t.Errorf("%d bytes were read from the server, want at most %d", n, endlessByteLimit)
				}
				if b := w.do(t, http.MethodPost, "/safe/b", "body", func(r *http.Request) { r.Header.Set(testID, "id-2") }); (b.body == "sound") == tt.serversGone {
					t.Errorf("the next caller got %+v", b)
				}
			})
		}
	}
}

// TestSlowSoundStreams guards against cutting off valid streams that are slow, however their bytes are split.
func TestSlowSoundStreams(t *testing.T) {
	const events, gap = 5, 150 * time.Millisecond
	for name, piece := range map[string]int{"whole events": 1 << 10, "a few bytes": 4} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
				w.runs.Add(1)
				rw.Header().Set(testSigned, "yes")
				rw.Header().Set("Content-Type", "text/event-stream")
				text := wholeStream(events)
				pause := gap * events / time.Duration(len(text)/piece+1)
				for len(text) > 0 {
					n := min(piece, len(text))
					_, _ = io.WriteString(rw, text[:n]) // fails only if the test's caller left
					rw.(http.Flusher).Flush()
					text = text[n:]
					time.Sleep(pause)
				}
			})
			if a := w.do(t, http.MethodPost, "/fixed/a", "body", nil); a.err != nil || a.body != wholeStream(events) || w.runs.Load() != 1 {
				t.Errorf("got %+v in %d runs, want the whole stream in one", a, w.runs.Load())
			}
		})
	}
}

// checkEndless checks what the caller got for an endless answer.
func checkEndless(t *testing.T, a response, whole string, status int) {
	t.Helper()
	switch {
	case whole != "":
		if a.err != nil || a.status != http.StatusOK || a.body != whole {
			t.Errorf("got status %d, body %.20q, error %v, want the whole answer %q", a.status, a.body, a.err, whole)
		}
	case status == 0:
		if a.err == nil {
			t.Errorf("got status %d and body %.20q as a complete answer", a.status, a.body)
		}
	case a.status == http.StatusGatewayTimeout && status == http.StatusBadGateway:
		// the timeout passed first
	case a.status != status:
		t.Errorf("got status %d, body %.20q, error %v, want status %d", a.status, a.body, a.err, status)
	}
}

// TestEndlessBodies guards against callers whose bodies, each within its limit, together exhaust the memory of a small VM. Beyond the
// limit on all held bodies they are refused without being run, and other callers are served.
func TestEndlessBodies(t *testing.T) {
	const (
		callers   = 200
		heldLimit = 4 << 20
		limit     = 1 << 20
		timeLimit = 5 * time.Second
	)
	tests := map[string]struct {
		head, more string
	}{
		"chunks":              {"Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"announced, not sent": {"Content-Length: 1000000\r\n\r\n", ""},
		"trailer":             {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-A: b\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
				w.respond(rw, http.StatusOK, "sound")
			})
			c := testConfig()
			c.Limits.BodyBytes = limit
			w.table.Store(route.NewTable(c))
			w.relay.BodyLimit = func() int64 { return heldLimit }
			var group sync.WaitGroup
			for range callers {
				conn := w.dial(t)
				group.Go(func() {
					defer conn.Close()
					_ = conn.SetDeadline(time.Now().Add(timeLimit)) // a TCP socket supports deadlines
					_, err := io.WriteString(conn, "POST /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\n"+tt.head)
					for sent := 0; err == nil && tt.more != "" && sent < 2*limit; sent += len(tt.more) {
						_, err = io.WriteString(conn, tt.more)
					}
					answer := make([]byte, len("HTTP/1.1 503"))
					if _, err := io.ReadFull(conn, answer); err == nil && strings.HasSuffix(string(answer), "200") {
						t.Errorf("a body without end got %q", answer)
					}
				})
			}
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				if held := w.relay.bodies.total(); held > heldLimit {
					t.Fatalf("%d bytes of bodies are held, want at most %d", held, heldLimit)
				}
				if a := w.do(t, http.MethodGet, "/safe/b", "", nil); a.body != "sound" {
					t.Errorf("another caller got %+v", a)
				}
			}
			group.Wait()
			deadline := time.Now().Add(timeLimit)
			for w.relay.bodies.total() > 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if held := w.relay.bodies.total(); held != 0 {
				t.Errorf("%d bytes are still held after all callers have gone", held)
			}
		})
	}
}

// total returns the number of bytes held.
func (b *bodies) total() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}
