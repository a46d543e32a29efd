package proc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
	"mangolug.org/core/valve"
	"mangolug.org/router/relay"
)

func TestSettings(t *testing.T) {
	good := Settings{Name: "r", DataCentre: "east", Front: "127.0.0.1:1", Readiness: "127.0.0.1:2", Grace: time.Second}
	tests := map[string]struct {
		change  func(*Settings)
		setting string // named by the error; empty for no error
	}{
		"good":        {change: func(*Settings) {}},
		"no name":     {change: func(s *Settings) { s.Name = "" }, setting: "name"},
		"no port":     {change: func(s *Settings) { s.Front = "127.0.0.1" }, setting: "front address"},
		"host name":   {change: func(s *Settings) { s.Readiness = "localhost:80" }, setting: "readiness address"},
		"bad seed":    {change: func(s *Settings) { s.Seeds = []string{"x"} }, setting: "seed"},
		"no grace":    {change: func(s *Settings) { s.Grace = 0 }, setting: "grace"},
		"less than 0": {change: func(s *Settings) { s.Memory = -1 }, setting: "memory"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := good
			c.change(&s)
			err := s.Check()
			var wrong *SettingError
			if errors.As(err, &wrong) != (c.setting != "") {
				t.Fatalf("error %v", err)
			}
			if wrong != nil && (wrong.Setting != c.setting || !strings.Contains(err.Error(), wrong.Want)) {
				t.Errorf("error %v, want it to name %s", err, c.setting)
			}
		})
	}
}

// blockedWriter is a log output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// TestLogsNeverBlock guards against a slow log reader that blocks the router: lines beyond the queue are dropped and counted.
func TestLogsNeverBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(out)
	done := make(chan struct{})
	go func() {
		for range 3 * logLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing a line waits for the reader")
	}
	if dropped := w.dropped.Load(); dropped < logLines || dropped > 2*logLines {
		t.Errorf("%d of %d lines dropped, with room for %d", dropped, 3*logLines, logLines)
	}
	close(out.release)
}

// testRouter is a running process with one backend server and a source that the test controls.
type testRouter struct {
	process *Process
	taker   chan *Sink
	stop    context.CancelFunc
	ended   chan error
	front   string
	ready   string
	server  string // address of the backend server
}

func start(t *testing.T, serve http.HandlerFunc) *testRouter {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	s := &testRouter{taker: make(chan *Sink, 1), ended: make(chan error, 1), front: freeAddress(t), ready: freeAddress(t), server: strings.TrimPrefix(server.URL, "http://")}
	var err error
	s.process, err = New(Settings{Name: "r", DataCentre: "east", Front: s.front, Readiness: s.ready, Control: freeAddress(t), Grace: 4 * time.Second, RetryRatio: 0.1, RetrySlack: 5},
		dialect(), func(ctx context.Context, k *Sink) error { s.taker <- k; <-ctx.Done(); return ctx.Err() })
	if err != nil {
		t.Fatal(err)
	}
	stop, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.ended <- s.process.Run(stop) }()
	t.Cleanup(cancel)
	k := <-s.taker
	if status(s.ready) != http.StatusServiceUnavailable {
		t.Error("ready without a configuration")
	}
	k.Configure(route.Config{Version: 3, Routes: []route.Route{{Name: "all", Host: "h", Prefix: "/", Kind: route.KindSafe, Objective: time.Second, Attempts: 1, Public: true, Split: []route.WeightedService{{Service: "desk", Weight: 1}}}}})
	k.SetServer(pool.Server{ID: "s", Service: "desk", Address: s.server, DataCentre: "east", Slots: 4})
	s.taker <- k
	return s
}

// startBlocked is like start with a server that answers only after the channel is closed.
func startBlocked(t *testing.T) (*testRouter, chan struct{}) {
	t.Helper()
	release := make(chan struct{})
	return start(t, func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		<-release
	}), release
}

func dialect() relay.HeaderCodec {
	return relay.HeaderCodec{
		ParseRequest:  func(h http.Header) (relay.RequestInfo, error) { return relay.RequestInfo{ID: h.Get("X-Id")}, nil },
		WriteRequest:  func(http.Header, relay.Outgoing) {},
		ParseResponse: func(h http.Header) relay.ResponseInfo { return relay.ResponseInfo{ID: h.Get("X-Id"), Signed: true} },
		SetRequestID:  func(http.Header, string) {},
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// status returns the status of a GET request, or 0 if it failed.
func status(address string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("X-Id", "1")
	r.Close = true
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

func echo(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) }

// TestGracefulStop checks that a process is ready once it has a configuration and a server, and that a planned stop first reports
// not ready and then drains requests in progress.
func TestGracefulStop(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	var begun atomic.Bool
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		if begun.CompareAndSwap(false, true) {
			close(running)
			<-release
		}
	})
	if status(s.ready) != http.StatusOK {
		t.Fatal("not ready with a configuration and a server")
	}
	answered := make(chan int, 1)
	go func() { answered <- status(s.front) }()
	<-running
	s.stop()
	waitUntil(t, func() bool { return status(s.ready) == http.StatusServiceUnavailable })
	if got := status(s.front); got != http.StatusOK {
		t.Errorf("status %d while the balancer has not noticed", got)
	}
	close(release)
	if got := <-answered; got != http.StatusOK {
		t.Errorf("the request that ran got %d", got)
	}
	select {
	case err := <-s.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("did not stop")
	}
}

// TestReloadKeepsGraceOfStop guards against a stopping router that takes requests which it then cuts, since a reload has brought a longer grace period (LOST).
func TestReloadKeepsGraceOfStop(t *testing.T) {
	s, release := startBlocked(t)
	defer close(release)
	go func() { _, _ = http.Get("http://" + s.front) }()
	s.stop()
	var left time.Duration
	for stopping := false; !stopping; time.Sleep(time.Millisecond) {
		left, stopping = s.process.drainRemaining()
	}
	next := *s.process.settings.Load()
	next.Grace = time.Minute
	if err := s.process.Reload(next); err != nil {
		t.Fatal(err)
	}
	if now, _ := s.process.drainRemaining(); now > left {
		t.Errorf("requests are cut in %v after the reload, in %v before it", now, left)
	}
}

// TestConfigureAndReload checks that an older configuration is ignored and that invalid settings change nothing.
func TestConfigureAndReload(t *testing.T) {
	s := start(t, echo)
	k := <-s.taker
	k.Configure(route.Config{Version: 2})
	if got := s.process.table.Load().Config.Version; got != 3 {
		t.Errorf("version %d in force after an older one", got)
	}
	if err := s.process.Reload(Settings{Name: "r"}); err == nil || s.process.settings.Load().Grace != 4*time.Second {
		t.Errorf("applied settings without addresses, %v", err)
	}
	next := *s.process.settings.Load()
	next.Grace, next.RetrySlack = time.Second, 9
	if err := s.process.Reload(next); err != nil || s.process.settings.Load().Grace != time.Second || s.process.relay.Budgets.Slack != 9 {
		t.Errorf("settings %+v, %v", s.process.settings.Load(), err)
	}
	k.SetOutOfService(map[string]bool{"east": true})
	if status(s.ready) != http.StatusServiceUnavailable {
		t.Error("ready although no server may get work")
	}
	k.SetOutOfService(nil)
	k.RetainServers(nil, Listing{})
	if status(s.ready) != http.StatusServiceUnavailable {
		t.Error("ready without servers")
	}
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(10 * time.Second)
	for !ok() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("condition not met within 10 s")
		}
	}
}

// TestAddressInUse checks that the error names the setting and the address.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, err = New(Settings{Name: "r", DataCentre: "east", Front: l.Addr().String(), Readiness: "127.0.0.1:0", Grace: time.Second}, dialect(), nil)
	if want := fmt.Sprintf("front address %s", l.Addr()); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want it to name the %s", err, want)
	}
}

func TestRoom(t *testing.T) {
	tests := map[string]struct {
		settings        Settings
		conns, requests int
	}{
		"no limits":       {},
		"memory binds":    {Settings{Memory: 112 << 20, Files: 4100}, 955, 627},
		"files bind":      {Settings{Memory: 4 << 30, Files: 4100}, 1640, 22937},
		"only files":      {Settings{Files: 1000}, 400, 0},
		"only the memory": {Settings{Memory: 40 << 20}, 341, 224},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if conns, requests := c.settings.room(); conns != c.conns || requests != c.requests {
				t.Errorf("room for %d connections and %d requests, want %d and %d", conns, requests, c.conns, c.requests)
			}
		})
	}
}

// TestFullRouter checks that a router whose requests use most of its memory reports not ready until they have ended, and rejects
// further requests unread.
func TestFullRouter(t *testing.T) {
	s, release := startBlocked(t)
	<-s.taker
	next := *s.process.settings.Load()
	next.Memory = 6 * requestBytes // room for two
	s.process.settings.Store(&next)
	answers := make(chan int, 3)
	for range 2 {
		go func() { answers <- status(s.front) }()
	}
	waitUntil(t, func() bool { return s.process.relay.OpenRequests() == 2 })
	if got := status(s.front); got != http.StatusServiceUnavailable {
		t.Errorf("status %d for a request beyond the limit", got)
	}
	waitUntil(t, func() bool { return status(s.ready) == http.StatusServiceUnavailable })
	close(release)
	for range 2 {
		if got := <-answers; got != http.StatusOK {
			t.Errorf("status %d for an admitted request", got)
		}
	}
	waitUntil(t, func() bool { return status(s.ready) == http.StatusOK })
}

// TestTooManyConnections checks that answers ask callers to close their connections when more are open than fit in memory.
func TestTooManyConnections(t *testing.T) {
	s := start(t, echo)
	<-s.taker
	next := *s.process.settings.Load()
	next.Memory = 11 * connBytes // room for two
	s.process.settings.Store(&next)
	closes := func() bool {
		a, err := http.Get("http://" + s.front + "/")
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		return a.Close
	}
	if closes() {
		t.Error("asked to close the only connection")
	}
	for range 3 {
		c, err := net.Dial("tcp", s.front)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	waitUntil(t, func() bool { return s.process.entrance.Conns.Count() > 2 })
	if !closes() {
		t.Error("not asked to close a connection beyond the limit")
	}
}

// TestCallersMoveToOtherRouters guards against an overloaded router that sends all callers away, or keeps all of them, although it
// can serve some. Rejected callers get a Retry-After of when new connections reach other routers, and are asked to close their
// connections from then on; the others never are.
func TestCallersMoveToOtherRouters(t *testing.T) {
	s := start(t, echo)
	<-s.taker
	closes := func(want int, soonest, latest float64) bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.front+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		if a.StatusCode != want {
			t.Errorf("status %d, want %d", a.StatusCode, want)
		}
		if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); want != http.StatusOK && (err != nil || after < soonest || after > latest) {
			t.Errorf("Retry-After is %q seconds, want %v to %v", a.Header.Get("Retry-After"), soonest, latest)
		}
		return a.Close
	}
	if status(s.ready) != http.StatusOK {
		t.Fatal("not ready")
	}
	setLastReject := func(at time.Time) {
		s.process.limit.mutex.Lock()
		defer s.process.limit.mutex.Unlock()
		s.process.limit.lastReject = at
	}
	full := true
	s.process.relay.Overloaded = func(relay.Load) bool { return full }
	if closes(http.StatusServiceUnavailable, 2, 3.1) {
		t.Error("asked to close a connection while a new one comes back here")
	}
	for s.process.untilRedirected() > 0 {
		setLastReject(time.Now())
		status(s.ready)
	}
	if !closes(http.StatusServiceUnavailable, 0.01, 0.1) {
		t.Error("not asked to close a connection although new ones reach other routers")
	}
	full = false
	if closes(http.StatusOK, 0, 0) {
		t.Error("asked to close a connection on which requests are served")
	}
	setLastReject(time.Time{})
	if status(s.ready) != http.StatusOK || s.process.untilRedirected() == 0 {
		t.Error("new connections are assumed to reach other routers although this one is ready")
	}
}

// TestLag checks that a process whose goroutines wait long for the processor reports not ready, and ready again once they don't.
func TestLag(t *testing.T) {
	s := start(t, echo)
	<-s.taker
	for range 100 {
		s.process.observeLag(2 * overloadLag)
	}
	if status(s.ready) != http.StatusServiceUnavailable {
		t.Error("ready although its timers are late")
	}
	if got := status(s.front); got != http.StatusOK {
		t.Errorf("status %d before the lag is long", got)
	}
	waitUntil(t, func() bool { return status(s.ready) == http.StatusOK && status(s.front) == http.StatusOK })
}

// TestProcessorOverload guards against a router that rejects everything once its processor is overloaded: it serves as many
// concurrent requests as the limit allows, rejects those beyond it, and reports not ready to the balancer.
func TestProcessorOverload(t *testing.T) {
	s, release := startBlocked(t)
	k := <-s.taker
	k.SetServer(pool.Server{ID: "s", Service: "desk", Address: s.server, DataCentre: "east", Slots: 2 * valve.DefaultMinLimit})
	s.process.limit.observe(time.Second, time.Minute, 1)
	answers := make(chan int, valve.DefaultMinLimit)
	for range valve.DefaultMinLimit {
		go func() { answers <- status(s.front) }()
	}
	waitUntil(t, func() bool { return s.process.relay.OpenRequests() == valve.DefaultMinLimit })
	s.process.limit.observe(time.Second, time.Minute, valve.DefaultMinLimit)
	if got := status(s.front); got != http.StatusServiceUnavailable {
		t.Errorf("status %d for a request beyond the bound of %d", got, s.process.limit.bound())
	}
	waitUntil(t, func() bool { return status(s.ready) == http.StatusServiceUnavailable })
	close(release)
	for range valve.DefaultMinLimit {
		if got := <-answers; got != http.StatusOK {
			t.Errorf("status %d for a request within the bound", got)
		}
	}
	waitUntil(t, func() bool { return status(s.ready) == http.StatusOK && status(s.front) == http.StatusOK })
}

// TestOneLongStall guards against a stall that barely moves the average: where many routers share few cores, timers are late once
// by seconds, and this one measurement has to weigh as much as all those that it prevented.
func TestOneLongStall(t *testing.T) {
	for name, c := range map[string]struct {
		late  time.Duration
		above time.Duration
		below time.Duration
	}{
		"seconds":            {late: 2 * time.Second, above: maxLag / 2, below: maxLag + 1},
		"a tenth of one":     {late: 100 * time.Millisecond, above: overloadLag, below: maxLag / 2},
		"as late as usually": {late: time.Millisecond, below: overloadLag / 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{}
			p.observeLag(c.late)
			if lag := time.Duration(p.lag.Load()); lag < c.above || lag >= c.below {
				t.Errorf("lag %v after one measurement of %v, want %v to %v", lag, c.late, c.above, c.below)
			}
		})
	}
}

// TestLagOfABusyProcess keeps one processor busy with goroutines that take turns: each waits for all the others, and the measured
// lag has to show it.
func TestLagOfABusyProcess(t *testing.T) {
	const (
		goroutines = 300
		slice      = time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for range goroutines {
		all.Go(func() {
			for ctx.Err() == nil {
				spins := 0
				for began := time.Now(); time.Since(began) < slice; {
					spins++
				}
				runtime.Gosched()
			}
		})
	}
	p := &Process{relay: &relay.Relay{}}
	all.Go(func() { _ = p.measureLag(ctx) }) // ends with the context
	deadline := time.Now().Add(20 * time.Second)
	for time.Duration(p.lag.Load()) <= maxLag/2 && time.Now().Before(deadline) {
		runtime.Gosched()
	}
	lag := time.Duration(p.lag.Load())
	cancel()
	all.Wait()
	if lag <= maxLag/2 {
		t.Errorf("lag %v where %d goroutines take turns of %v", lag, goroutines, slice)
	}
}

// TestConnectionsAreBounded guards against connections that fill the memory of a router whose processor is too slow to ask callers
// to close them: beyond one and a half times the limit, idle connections are closed, or new ones if all are in use.
func TestConnectionsAreBounded(t *testing.T) {
	s, release := startBlocked(t)
	<-s.taker
	next := *s.process.settings.Load()
	next.Memory = 60 * connBytes // 12 may be kept
	s.process.settings.Store(&next)
	kept, _ := next.room()
	most := int(maxConnsFactor * float64(kept))
	for range 3 * most {
		c, err := net.Dial("tcp", s.front)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n := s.process.entrance.Conns.Count(); n > most {
			t.Fatalf("%d connections are open, want %d at most", n, most)
		}
	}
	answered := make(chan int, 1)
	go func() { answered <- status(s.front) }()
	waitUntil(t, func() bool { return s.process.relay.OpenRequests() == 1 })
	close(release)
	if got := <-answered; got != http.StatusOK {
		t.Errorf("status %d for a request on a new connection beside %d unused ones", got, most)
	}
}
