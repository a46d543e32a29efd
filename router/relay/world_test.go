package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
	"mangolug.org/router/back"
)

// Headers of the tests' own dialect.
const (
	testID     = "X-Id"
	testKey    = "X-Key"
	testLeft   = "X-Left"
	testServer = "X-Server"
	testTeam   = "X-Team"
	testLast   = "Last-Event-Id"
	testSigned = "X-Signed"
	testNotRun = "X-Not-Run"
	testLeave  = "X-Leaving"
	testRest   = "X-Rest" // whole seconds
)

func testDialect() Dialect {
	return Dialect{
		Read: func(h http.Header) (Asked, error) {
			left, err := strconv.Atoi(h.Get(testLeft))
			if h.Get(testLeft) != "" && err != nil {
				return Asked{}, err
			}
			return Asked{ID: h.Get(testID), Key: h.Get(testKey), Left: time.Duration(left) * time.Millisecond, LastEvent: h.Get(testLast)}, nil
		},
		Write: func(h http.Header, s Sending) {
			h.Del(testKey)
			h.Set(testServer, s.Server)
			h.Set(testTeam, s.Team)
			h.Set(testLeft, strconv.FormatInt(s.Left.Milliseconds(), 10))
			if s.LastEvent != "" {
				h.Set(testLast, s.LastEvent)
			}
		},
		Told: func(h http.Header) Told {
			t := Told{ID: h.Get(testID), Signed: h.Get(testSigned) != "", NotRun: h.Get(testNotRun) != "", Leaving: h.Get(testLeave) != ""}
			if seconds, err := strconv.Atoi(h.Get(testRest)); err == nil {
				t.RestFor = time.Duration(seconds) * time.Second
			} else {
				t.Odd = h.Get(testRest)
			}
			return t
		},
		Name: func(h http.Header, id string) { h.Set(testID, id) },
	}
}

// world is a relay before stand-ins for backend servers.
type world struct {
	relay  *Relay
	front  *httptest.Server
	runs   atomic.Int64 // requests that servers began to work on
	served [3]atomic.Int64

	addresses [3]string
	table     atomic.Pointer[route.Table]
}

// newWorld starts a relay before three servers that answer as told; each call is given the server's number.
func newWorld(t testing.TB, serve func(w *world, server int, rw http.ResponseWriter, r *http.Request)) *world {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) + time.Second }
	w := &world{}
	p := &pool.Pool{Self: "r", DataCentre: "east", Joined: true}
	table := route.NewTable(testConfig())
	p.Configure(table)
	w.table.Store(table)
	for i := range w.served {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.served[i].Add(1)
			rw.Header().Set(testID, r.Header.Get(testID))
			body, err := io.ReadAll(r.Body) // only then does net/http notice that a caller leaves
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			serve(w, i, rw, r)
		}))
		t.Cleanup(s.Close)
		w.addresses[i] = strings.TrimPrefix(s.URL, "http://")
		p.Set(0, pool.Server{ID: fmt.Sprint("s", i), Service: "desk", Address: strings.TrimPrefix(s.URL, "http://"), DataCentre: "east", Slots: 8})
	}
	w.relay = &Relay{
		Table: w.table.Load, Gate: &Gate{Pool: p, Clock: clock}, Client: &back.Client{}, Dialect: testDialect(),
		Clock: clock, Budgets: pool.Budgets{Ratio: 0.2, Slack: 20}, Metrics: metrics.NewRegistry(),
	}
	w.front = httptest.NewServer(w.relay)
	t.Cleanup(w.front.Close)
	return w
}

func testConfig() route.Config {
	split := []route.Share{{Service: "desk", Weight: 1}}
	second := time.Second
	return route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Timeout: 2 * second, Objective: second, Attempts: 2, Public: true, Split: split},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.KindSafe, Timeout: 2 * second, Objective: second, Attempts: 2, Public: true, Split: split},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: route.KindSafe, Timeout: 200 * time.Millisecond, Objective: second, Attempts: 2, Public: true, Split: split},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.KindStream, Timeout: 2 * second, Objective: second, Attempts: 2, Resumable: true, Public: true, Split: split},
			{Name: "fixed", Host: "h", Prefix: "/fixed/", Kind: route.KindStream, Timeout: 2 * second, Objective: second, Attempts: 2, Public: true, Split: split},
			{Name: "briefFixed", Host: "h", Prefix: "/briefFixed/", Kind: route.KindStream, Timeout: 200 * time.Millisecond, Objective: second, Attempts: 2, Public: true, Split: split},
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: route.KindSafe, Timeout: 2 * second, Objective: second, Attempts: 2, Split: split},
		},
		Services: []route.Service{{Name: "desk"}},
		Teams:    []route.Team{{Name: "farm", Keys: []string{"k1"}}},
		Limits:   route.Limits{HeaderBytes: 4096, BodyBytes: 1000},
	}
}

// got is an answer as a caller sees it.
type got struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

// ask sends one request; change may alter it.
func (w *world) ask(t testing.TB, method, path, body string, change func(*http.Request)) got {
	t.Helper()
	return w.askWith(t.Context(), t, method, path, body, change)
}

func (w *world) askWith(ctx context.Context, t testing.TB, method, path, body string, change func(*http.Request)) got {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, w.front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(testID, "id-1")
	if change != nil {
		change(r)
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return got{err: err}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return got{status: a.StatusCode, header: a.Header, body: string(text), err: err}
}

// count gives a counter of the relay.
func (w *world) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.relay.Metrics).Count()
}

// run answers as a server that did the work.
func (w *world) run(rw http.ResponseWriter, status int, body string) {
	w.runs.Add(1)
	rw.Header().Set(testSigned, "yes")
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body) // a caller that left is the test's own doing
}

// shed answers as a server that is full.
func shed(rw http.ResponseWriter) {
	rw.Header().Set(testNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// cut breaks the connection of a request.
func cut(rw http.ResponseWriter) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = c.Close() // it is gone either way
}

// raw answers a request with bytes of the test's own and breaks the connection.
func raw(rw http.ResponseWriter, text string) {
	c, buffer, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	write(buffer, text)
}

func write(b *bufio.ReadWriter, text string) {
	if _, err := b.WriteString(text); err == nil {
		_ = b.Flush() // a caller that left is the test's own doing
	}
}

// events writes events first to last of a stream and flushes each.
func events(rw http.ResponseWriter, first, last int) {
	rw.Header().Set(testSigned, "yes")
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", i, i)
		rw.(http.Flusher).Flush()
	}
}

// wholeStream is what a caller gets of a stream of n events.
func wholeStream(n int) string {
	text := ""
	for i := 1; i <= n; i++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	return text
}

// dial opens a connection to the relay for bytes of the test's own.
func (w *world) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
