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

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
	"mangolug.org/router/back"
)

// Headers of the dialect used by the tests.
const (
	testID        = "X-Id"
	testKey       = "X-Key"
	testTimeout   = "X-Left"
	testServer    = "X-Server"
	testTeam      = "X-Team"
	testLastEvent = "Last-Event-Id"
	testBegan     = "X-Began" // id of the attempt that brought the first event
	testSigned    = "X-Signed"
	testNotRun    = "X-Not-Run"
	testLeaving   = "X-Leaving"
	testPause     = "X-Rest" // whole seconds
	testInstance  = "X-Instance"
	testStart     = "X-Start"
)

// testReportPath is the path at which servers name the requests that they run.
const testReportPath = "/report"

// testHealthPath is the path of the servers' health checks.
const testHealthPath = "/health"

func testDialect() HeaderCodec {
	return HeaderCodec{
		ParseRequest: func(h http.Header) (RequestInfo, error) {
			left, err := strconv.Atoi(h.Get(testTimeout))
			if h.Get(testTimeout) != "" && err != nil {
				return RequestInfo{}, err
			}
			return RequestInfo{ID: h.Get(testID), Key: h.Get(testKey), Timeout: time.Duration(left) * time.Millisecond, LastEvent: h.Get(testLastEvent), BegunBy: h.Get(testBegan)}, nil
		},
		WriteRequest: func(h http.Header, s Outgoing) {
			h.Del(testKey)
			h.Set(testServer, s.Server)
			h.Set(testTeam, s.Team)
			h.Set(testTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
			if s.LastEvent != "" {
				h.Set(testLastEvent, s.LastEvent)
			}
		},
		ParseResponse: func(h http.Header) ResponseInfo {
			t := ResponseInfo{ID: h.Get(testID), Server: h.Get(testInstance), Signed: h.Get(testSigned) != "", NotRun: h.Get(testNotRun) != "", Leaving: h.Get(testLeaving) != ""}
			if seconds, err := strconv.Atoi(h.Get(testPause)); err == nil {
				t.RetryAfter = time.Duration(seconds) * time.Second
			} else {
				t.Malformed = h.Get(testPause)
			}
			return t
		},
		SetRequestID: func(h http.Header, id string) { h.Set(testID, id) },
		Probe:        testProbe,
		Report: func(pool.Server, route.Service) Report {
			return Report{Path: testReportPath, Requests: func(status int, body []byte) ([]string, error) {
				if status != http.StatusOK {
					return nil, errors.Errorf("status %d", status)
				}
				return strings.Fields(string(body)), nil
			}}
		},
	}
}

// testProbe returns the health check of a server, which tells the time of its start or, if its entry has none, its name.
func testProbe(s pool.Server, service route.Service) Probe {
	return Probe{Path: service.HealthPath, Header: http.Header{testServer: {s.ID}}, Proves: func(status int, h http.Header, _ []byte) bool {
		if s.StartMillis != 0 {
			return h.Get(testStart) == strconv.FormatInt(s.StartMillis, 10)
		}
		if name := h.Get(testInstance); name != "" {
			return name == s.ID
		}
		return status == http.StatusServiceUnavailable && h.Get(testNotRun) != ""
	}}
}

// startOf returns the time at which a server of the fixture started, in milliseconds.
func startOf(server int) int64 { return int64(1000 + server) }

// fixture is a relay in front of simulated backend servers.
type fixture struct {
	relay    *Relay
	server   *httptest.Server
	runs     atomic.Int64 // requests that servers began to run
	reports  [3]string    // ids that each server reports as its runs; "-" for a server that fails to
	received [3]atomic.Int64

	addresses [3]string
	listeners [3]net.Listener // of the servers
	table     atomic.Pointer[route.Table]
}

// newFixture starts a relay in front of three servers that answer by calling serve with the server's number.
func newFixture(t testing.TB, serve func(w *fixture, server int, rw http.ResponseWriter, r *http.Request)) *fixture {
	t.Helper()
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Second }
	w := &fixture{}
	p := &pool.Pool{Self: "r", DataCentre: "east", Joined: true}
	table := route.NewTable(testConfig())
	p.Configure(table)
	w.table.Store(table)
	for i := range w.received {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == testHealthPath {
				rw.Header().Set(testStart, strconv.FormatInt(startOf(i), 10))
				return
			}
			if r.URL.Path == testReportPath {
				if w.reports[i] == "-" {
					rw.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = io.WriteString(rw, w.reports[i]) // fails only if the relay gave up
				return
			}
			w.received[i].Add(1)
			rw.Header().Set(testID, r.Header.Get(testID))
			body, err := io.ReadAll(r.Body) // net/http detects that a caller leaves only after the body is read
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			serve(w, i, rw, r)
		}))
		t.Cleanup(s.Close)
		w.addresses[i], w.listeners[i] = strings.TrimPrefix(s.URL, "http://"), s.Listener
		p.SetServer(0, pool.Server{ID: fmt.Sprint("s", i), Service: "desk", Address: strings.TrimPrefix(s.URL, "http://"), DataCentre: "east", Slots: 8, StartMillis: startOf(i)})
	}
	p.ReadAnew(-time.Hour, pool.Coverage{}) // so that a sole version of the servers is known
	w.relay = &Relay{
		Table: w.table.Load, Gate: &Gate{Pool: p, Clock: clock}, Client: &back.Client{}, HeaderCodec: testDialect(),
		Clock: clock, Budgets: pool.RetryBudgets{Ratio: 0.2, Slack: 20}, Metrics: metrics.NewRegistry(),
	}
	w.server = httptest.NewServer(w.relay)
	t.Cleanup(w.server.Close)
	return w
}

func testConfig() route.Config {
	split := []route.WeightedService{{Service: "desk", Weight: 1}}
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
		Services: []route.Service{{Name: "desk", HealthPath: testHealthPath}},
		Teams:    []route.Team{{Name: "farm", Keys: []string{"k1"}}},
		Limits:   route.Limits{HeaderBytes: 4096, BodyBytes: 1000},
	}
}

// response is an answer as a caller receives it.
type response struct {
	status int
	header http.Header
	body   string
	err    error // error of the request or of reading the body
}

// do sends one request, which change may modify if it is not nil.
func (w *fixture) do(t testing.TB, method, path, body string, change func(*http.Request)) response {
	t.Helper()
	return w.doContext(t.Context(), t, method, path, body, change)
}

func (w *fixture) doContext(ctx context.Context, t testing.TB, method, path, body string, change func(*http.Request)) response {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, w.server.URL+path, strings.NewReader(body))
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
		return response{err: err}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, header: a.Header, body: string(text), err: err}
}

// count returns the value of one of the relay's counters.
func (w *fixture) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.relay.Metrics).Count()
}

// respond answers like a server that ran the request.
func (w *fixture) respond(rw http.ResponseWriter, status int, body string) {
	w.runs.Add(1)
	rw.Header().Set(testSigned, "yes")
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body) // fails only if the test's caller left
}

// shed answers like an overloaded server.
func shed(rw http.ResponseWriter) {
	rw.Header().Set(testNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// closeConnection closes the connection of a request without an answer.
func closeConnection(rw http.ResponseWriter) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = c.Close() // the connection ends in any case
}

// writeRaw answers a request with the given bytes and closes the connection.
func writeRaw(rw http.ResponseWriter, text string) {
	c, buffer, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	writeAndFlush(buffer, text)
}

func writeAndFlush(b *bufio.ReadWriter, text string) {
	if _, err := b.WriteString(text); err == nil {
		_ = b.Flush() // fails only if the test's caller left
	}
}

// writeEvents writes the events first to last of a stream and flushes each.
func writeEvents(rw http.ResponseWriter, first, last int) {
	rw.Header().Set(testSigned, "yes")
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", i, i)
		rw.(http.Flusher).Flush()
	}
}

// die ends a server as the kernel does for a killed process: connections to it are refused, and the one of the request closes in order
// after the given bytes.
func (w *fixture) die(server int, rw http.ResponseWriter, text string) {
	_ = w.listeners[server].Close() // fails only if the server is dead already
	writeRaw(rw, text)
}

// wholeStream returns the complete text of a stream of n events.
func wholeStream(n int) string { return eventsText(1, n) }

// eventsText returns the text of the events first to last of a stream.
func eventsText(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	return text
}

// dial opens a connection to the relay for writing raw bytes.
func (w *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
