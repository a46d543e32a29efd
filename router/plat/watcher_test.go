package plat

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"mangolug.org/core/conf"
	"mangolug.org/core/fleet"
	"mangolug.org/router/pauses"
)

// deadline is the timeout of each wait for a condition.
const deadline = 10 * time.Second

// testTimes are short periods for tests.
var testTimes = Times{
	Wait: 20 * time.Millisecond, ListPeriod: time.Millisecond, SlowPeriod: time.Hour,
	RulesPeriod: time.Hour, Backoff: time.Millisecond, BackoffLimit: 4 * time.Millisecond,
}

// platform is a fake configuration service whose state tests can change.
type platform struct {
	mutex      sync.Mutex
	version    uint64
	status     int // returned for each request, if set
	vms        string
	rulesReads int // reads of the rules
	listReads  int // reads of the list
}

func (p *platform) set(change func(p *platform)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p)
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	rules := r.URL.Path == "/v1/config/rules"
	if rules {
		p.rulesReads++
	} else {
		p.listReads++
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	switch {
	case p.status != 0:
		w.WriteHeader(p.status)
	case !rules:
		_, _ = fmt.Fprintf(w, `{"vms":[%s]}`, p.vms)
	case p.version <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Config-Version", strconv.FormatUint(p.version, 10))
		_, _ = fmt.Fprintf(w, "dataCentre clew in # version %d\n", p.version)
	}
}

// recorder records the calls of a running Watcher.
type recorder struct {
	platform   *platform
	offers     chan uint64
	list       atomic.Pointer[[]fleet.VM] // newest list
	failures   chan error
	firstReads atomic.Int64
}

func watch(t *testing.T, p *platform, change func(w *Watcher)) *recorder {
	t.Helper()
	got := &recorder{
		platform: p, offers: make(chan uint64, 1000), failures: make(chan error, 1000),
	}
	w := &Watcher{
		Client: serve(t, p.ServeHTTP), Times: testTimes,
		Offer:        func(version uint64, _ []byte) { got.offers <- version },
		List:         func(vms []fleet.VM) { got.list.Store(&vms) },
		Failed:       func(err error) { recordError(got.failures, err) },
		ConfigPolled: func() { got.firstReads.Add(1) },
	}
	if change != nil {
		change(w)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("run ended with %v", err)
		}
	})
	return got
}

func recordError(failures chan error, err error) {
	select {
	case failures <- err:
	default:
	}
}

func (w *recorder) expectOffer(t *testing.T, want uint64) {
	t.Helper()
	select {
	case got := <-w.offers:
		if got != want {
			t.Fatalf("offered %d, want %d", got, want)
		}
	case <-time.After(deadline):
		t.Fatalf("version %d not offered", want)
	}
}

func (w *recorder) expectFailure(t *testing.T, status int) {
	t.Helper()
	select {
	case err := <-w.failures:
		var s *StatusError
		if !errors.As(err, &s) || s.Status != status {
			t.Fatalf("failure %v", err)
		}
	case <-time.After(deadline):
		t.Fatal("no failure")
	}
}

func TestWatchSurvivesOutages(t *testing.T) {
	p := &platform{version: 3}
	w := watch(t, p, nil)
	w.expectOffer(t, 3)
	p.set(func(p *platform) { p.status = http.StatusServiceUnavailable })
	w.expectFailure(t, http.StatusServiceUnavailable)
	p.set(func(p *platform) { p.status, p.version = 0, 4 })
	w.expectOffer(t, 4)
	p.set(func(p *platform) { p.version = 2 }) // stale: a request for versions after 4 returns nothing
	p.set(func(p *platform) { p.status = http.StatusTooManyRequests })
	for len(w.failures) > 0 {
		<-w.failures
	}
	w.expectFailure(t, http.StatusTooManyRequests)
	p.set(func(p *platform) { p.status, p.version = 0, 5 })
	w.expectOffer(t, 5)
	if w.firstReads.Load() != 1 {
		t.Errorf("Asked was called %d times, want 1", w.firstReads.Load())
	}
}

// TestOldVersionIsNotApplied serves an older version than the one in force to a watcher without state, as after a restart.
func TestOldVersionIsNotApplied(t *testing.T) {
	var k conf.Keeper
	k.Offer(0, 9, []byte("dataCentre clew in # version 9\n"), "r2")
	results := make(chan conf.Result, 10)
	watch(t, &platform{version: 5}, func(w *Watcher) {
		w.Offer = func(version uint64, text []byte) { results <- k.Offer(0, version, text, "") }
	})
	select {
	case r := <-results:
		if r != conf.ResultOutdated || k.Version() != 9 {
			t.Errorf("%v, %d in force", r, k.Version())
		}
	case <-time.After(deadline):
		t.Error("nothing offered")
	}
}

func TestFirstReadIsReportedWhenDown(t *testing.T) {
	w := watch(t, &platform{status: http.StatusInternalServerError}, nil)
	w.expectFailure(t, http.StatusInternalServerError)
	await(t, "call of ConfigPolled", func() bool { return w.firstReads.Load() == 1 })
}

// TestOnlyReadersWatch checks that a router that is not a reader reads once, and watches as soon as it becomes a reader.
func TestOnlyReadersWatch(t *testing.T) {
	var reader atomic.Bool
	p := &platform{version: 3}
	w := watch(t, p, func(w *Watcher) { w.Reader, w.Urgent = reader.Load, func() bool { return false } })
	w.expectOffer(t, 3)
	await(t, "list read", func() bool { return w.list.Load() != nil })
	p.set(func(p *platform) {
		if p.rulesReads != 1 || p.listReads != 1 {
			t.Errorf("%d reads of the rules, %d of the list", p.rulesReads, p.listReads)
		}
		p.version = 4
	})
	reader.Store(true)
	w.expectOffer(t, 4)
}

// The read rate of a fleet, without its readers and schedulers, is bounded by that of a small fleet.
func TestReadRateIsBounded(t *testing.T) {
	for name, tt := range map[string]struct {
		size int // routers
		most float64
	}{
		"unknown": {0, 0}, "one": {1, 0.2}, "three": {3, 0.6}, "nine": {9, 1.8}, "twenty": {20, 1.8}, "470": {470, 1.8},
	} {
		t.Run(name, func(t *testing.T) {
			w := &Watcher{FleetSize: func() int { return tt.size }}
			if got := float64(tt.size) / w.scalePeriod(DefaultSlowPeriod).Seconds(); got > tt.most+1e-9 {
				t.Errorf("%.2f reads a second, want %.2f at most", got, tt.most)
			}
			if period := w.scalePeriod(DefaultSlowPeriod); period < DefaultSlowPeriod {
				t.Errorf("period %v", period)
			}
		})
	}
}

func TestListIsUpdated(t *testing.T) {
	p := &platform{vms: `{"name":"pool-1","state":"live"}`}
	w := watch(t, p, nil)
	await(t, "live", w.shows(fleet.VMLive))
	p.set(func(p *platform) { p.vms = `{"name":"pool-1","state":"leaving"}` })
	await(t, "leaving", w.shows(fleet.VMLeaving))
}

// shows returns a condition: the newest list has one VM, in the given state.
func (w *recorder) shows(state fleet.VMState) func() bool {
	return func() bool {
		vms := w.list.Load()
		return vms != nil && len(*vms) == 1 && (*vms)[0].State == state
	}
}

func TestBackoff(t *testing.T) {
	tests := map[string]struct {
		random float64
		err    error
		want   []time.Duration
	}{
		"least jitter": {err: errors.New("down"), want: []time.Duration{50, 100, 200, 250, 250}},
		"most jitter":  {random: 1, err: errors.New("down"), want: []time.Duration{100, 200, 400, 500, 500}},
		"Retry-After": {
			err: &StatusError{Status: 429, RetryAfter: 300}, want: []time.Duration{300, 300, 300, 300, 300},
		},
		"Retry-After above the limit": {
			err: &StatusError{Status: 429, RetryAfter: time.Hour}, want: []time.Duration{retryAfterLimit},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := backoff{pauses.Backoff{Initial: 100, Max: 500, Random: func() float64 { return tt.random }}}
			var got []time.Duration
			for range tt.want {
				got = append(got, b.next(tt.err))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(deadline)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		pauses.Sleep(t.Context(), time.Millisecond)
	}
}
