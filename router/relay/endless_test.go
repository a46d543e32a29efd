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
	// socketBytes is the most that the system's buffers hold of a connection at both ends (tcp_wmem and tcp_rmem).
	socketBytes = 10 << 20
	// endlessMost is how many bytes may be taken of answers without end: two attempts at the largest whole answer.
	endlessMost = 2 * (answerBytes + socketBytes)
	// endlessTime is by when the caller has its answer at full speed: within the route's timeout and some time for the machine.
	endlessTime = 3 * time.Second
	// dripTime is the same for a byte now and then, on a route with a timeout of 200 ms.
	dripTime = time.Second
	dripGap  = 20 * time.Millisecond
)

// endless answers with a beginning and then bytes without end, until the router closes; it gives how many bytes it could write.
func endless(rw http.ResponseWriter, begin, more string, gap time.Duration, written *atomic.Int64, closed chan<- struct{}) {
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

// TestEndlessAnswers guards against servers that send bytes without end, in each place of an answer, at full speed and a few bytes now
// and then: what is read and the time are bounded, the connection is closed, the caller is told the truth, and others are served.
func TestEndlessAnswers(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: yes\r\n"
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
		stream = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		notRun = "HTTP/1.1 503 Full\r\nX-Id: id-1\r\nX-Not-Run: 1\r\n"
	)
	tests := map[string]struct {
		begin, more string
		path        string // after the route's name; empty for a safe call
		whole       string // the body that the caller gets; empty if it gets a failure
		gone        bool   // the servers are no longer there by their own word, so that the next caller can't be served
		status      int    // of a failure; 0 if the answer is cut
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
		"body of one that did not run": {
			begin: notRun + "Transfer-Encoding: chunked\r\n\r\n", more: "4\r\nabcd\r\n", status: http.StatusServiceUnavailable,
		},
		"body of another's": {
			begin: "HTTP/1.1 421 Misdirected\r\nX-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n", more: "4\r\nabcd\r\n", status: http.StatusServiceUnavailable,
			gone: true,
		},
		"event":                   {begin: stream + "ffffffff\r\ndata: ", more: "x", path: "fixed", status: http.StatusBadGateway},
		"lines that are no event": {begin: stream + "ffffffff\r\n", more: ": x\n", path: "fixed", status: http.StatusBadGateway},
		"event after others":      {begin: stream + "ffffffff\r\nid: 1\ndata: a\n\ndata: ", more: "x", path: "fixed"},
	}
	for name, tt := range tests {
		for speed, gap := range map[string]time.Duration{"full speed": 0, "now and then": dripGap} {
			t.Run(name+"/"+speed, func(t *testing.T) {
				var written atomic.Int64
				closed := make(chan struct{}, 16)
				w := newWorld(t, func(w *world, _ int, rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get(testID) != "id-1" {
						w.run(rw, http.StatusOK, "sound")
						return
					}
					w.runs.Add(1)
					endless(rw, tt.begin, tt.more, gap, &written, closed)
				})
				path, most := "safe", endlessTime
				if tt.path != "" {
					path = tt.path
				}
				if gap > 0 {
					path, most = "brief", dripTime
					if tt.path != "" {
						path = "briefFixed"
					}
				}
				began := time.Now()
				a := w.ask(t, http.MethodPost, "/"+path+"/a", "body", nil)
				if took := time.Since(began); took > most {
					t.Errorf("the caller waited %v, want %v at most", took, most)
				}
				checkEndless(t, a, tt.whole, tt.status)
				for range w.runs.Load() {
					select {
					case <-closed:
					case <-time.After(endlessTime):
						t.Fatal("a connection with bytes that are no answer stays open")
					}
				}
				if n := written.Load(); n > endlessMost {
					t.Errorf("%d bytes were taken from the server, want %d at most", n, endlessMost)
				}
				if b := w.ask(t, http.MethodPost, "/safe/b", "body", func(r *http.Request) { r.Header.Set(testID, "id-2") }); (b.body == "sound") == tt.gone {
					t.Errorf("the next caller got %+v", b)
				}
			})
		}
	}
}

// TestSlowSoundStreams guards against cutting streams that are slow but sound, however their bytes come.
func TestSlowSoundStreams(t *testing.T) {
	const events, gap = 5, 150 * time.Millisecond
	for name, piece := range map[string]int{"whole events, far apart": 1 << 10, "a few bytes now and then": 4} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, func(w *world, _ int, rw http.ResponseWriter, _ *http.Request) {
				w.runs.Add(1)
				rw.Header().Set(testSigned, "yes")
				rw.Header().Set("Content-Type", "text/event-stream")
				text := wholeStream(events)
				pause := gap * events / time.Duration(len(text)/piece+1)
				for len(text) > 0 {
					n := min(piece, len(text))
					_, _ = io.WriteString(rw, text[:n]) // a caller that left is the test's own doing
					rw.(http.Flusher).Flush()
					text = text[n:]
					time.Sleep(pause)
				}
			})
			if a := w.ask(t, http.MethodPost, "/fixed/a", "body", nil); a.err != nil || a.body != wholeStream(events) || w.runs.Load() != 1 {
				t.Errorf("got %+v in %d runs, want the whole stream in one", a, w.runs.Load())
			}
		})
	}
}

// checkEndless checks what the caller of an answer without end got.
func checkEndless(t *testing.T, a got, whole string, status int) {
	t.Helper()
	switch {
	case whole != "":
		if a.err != nil || a.status != http.StatusOK || a.body != whole {
			t.Errorf("got status %d, body %.20q, error %v, want the whole answer %q", a.status, a.body, a.err, whole)
		}
	case status == 0:
		if a.err == nil {
			t.Errorf("got status %d and body %.20q as if whole", a.status, a.body)
		}
	case a.status == http.StatusGatewayTimeout && status == http.StatusBadGateway:
		// its time was up first
	case a.status != status:
		t.Errorf("got status %d, body %.20q, error %v, want status %d", a.status, a.body, a.err, status)
	}
}

// TestBodiesWithoutEnd guards against callers whose bodies, each within its limit, take all of a small VM's memory: beyond the room
// for all of them they are refused, truly not run, and others are served.
func TestBodiesWithoutEnd(t *testing.T) {
	const (
		callers = 200
		room    = 4 << 20
		limit   = 1 << 20
		most    = 5 * time.Second
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
			w := newWorld(t, func(w *world, _ int, rw http.ResponseWriter, _ *http.Request) { w.run(rw, http.StatusOK, "sound") })
			c := testConfig()
			c.Limits.BodyBytes = limit
			w.table.Store(route.NewTable(c))
			w.relay.BodyRoom = func() int64 { return room }
			var group sync.WaitGroup
			for range callers {
				conn := w.dial(t)
				group.Go(func() {
					defer conn.Close()
					_ = conn.SetDeadline(time.Now().Add(most)) // a socket takes it
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
				if held := w.relay.bodies.total(); held > room {
					t.Fatalf("%d bytes of bodies are held, want %d at most", held, room)
				}
				if a := w.ask(t, http.MethodGet, "/safe/b", "", nil); a.body != "sound" {
					t.Errorf("another caller got %+v", a)
				}
			}
			group.Wait()
			deadline := time.Now().Add(most)
			for w.relay.bodies.total() > 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if held := w.relay.bodies.total(); held != 0 {
				t.Errorf("%d bytes are held when all have gone", held)
			}
		})
	}
}

// total gives the bytes that are held.
func (b *bodies) total() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}
