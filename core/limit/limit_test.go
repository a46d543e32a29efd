package limit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
)

const (
	usual = 40_000  // microseconds to the first byte of a warm server
	late  = 400_000 // microseconds to the first byte of a cold one
)

// ended is a request that ended, n times over.
func ended(n int, outcome fleet.Outcome, first int64) func(*Limiter) {
	return func(l *Limiter) {
		for range n {
			l.Start()
			l.Done(0, fleet.Done{Outcome: outcome, FirstByte: first}, l.Limit())
		}
	}
}

func completed(n int) func(*Limiter) { return ended(n, fleet.OutcomeCompleted, usual) }

func reported(at time.Duration, r fleet.Load) func(*Limiter) {
	return func(l *Limiter) { l.Load(at, r) }
}

// absent is a server of epoch 1 that learnt 16, was taken out of service at 1 s, and came back with one request.
func absent(back time.Duration) func(*Limiter) {
	return func(l *Limiter) {
		l.Load(0, fleet.Load{Epoch: 1})
		completed(15)(l)
		l.Pause(time.Second)
		l.Load(2*time.Second, fleet.Load{Epoch: 1})
		l.Resume(back, 1)
	}
}

func inherited(at time.Duration, epoch uint64, limit int) func(*Limiter) {
	return func(l *Limiter) { l.Inherit(at, epoch, limit) }
}

func TestLimit(t *testing.T) {
	cases := map[string]struct {
		steps []func(*Limiter)
		want  []int // after each step
		cause Cause // of the latest lowering
	}{
		"unknown starts at the floor and rises by completions": {
			[]func(*Limiter){completed(0), completed(1), completed(2), completed(4), completed(100)},
			[]int{1, 2, 4, 8, 16},
			CauseNone,
		},
		"little use proves nothing": {
			[]func(*Limiter){completed(7), func(l *Limiter) { l.Done(0, fleet.Done{Outcome: fleet.OutcomeCompleted}, 1) }},
			[]int{8, 8},
			CauseNone,
		},
		"an overload halves at once and the limit then rises slowly": {
			[]func(*Limiter){completed(15), ended(1, fleet.OutcomeOverloaded, 0), completed(8), completed(9)},
			[]int{16, 8, 9, 10},
			CauseOverloaded,
		},
		"a burst of overloads leads to the floor": {
			[]func(*Limiter){completed(15), ended(5, fleet.OutcomeOverloaded, 0)},
			[]int{16, 1},
			CauseOverloaded,
		},
		"returned and cancelled requests teach nothing": {
			[]func(*Limiter){completed(7), ended(9, fleet.OutcomeReturned, 0), ended(9, fleet.OutcomeCancelled, 0)},
			[]int{8, 8, 8},
			CauseNone,
		},
		"a new epoch leads to the floor": {
			[]func(*Limiter){reported(0, fleet.Load{Epoch: 1}), completed(15), reported(0, fleet.Load{Epoch: 2, Running: 9})},
			[]int{1, 16, 1},
			CauseRestarted,
		},
		"a restart that broke requests is the cause of their cuts": {
			[]func(*Limiter){
				reported(0, fleet.Load{Epoch: 1}), completed(15), ended(3, fleet.OutcomeFailed, 0),
				reported(time.Second, fleet.Load{Epoch: 2}),
			},
			[]int{1, 16, 1, 1},
			CauseRestarted,
		},
		"late first bytes in a row mean a cold server": {
			[]func(*Limiter){completed(15), ended(2, fleet.OutcomeCompleted, late), ended(1, fleet.OutcomeCompleted, late)},
			[]int{16, 16, 1},
			CauseSlow,
		},
		"single late first bytes do not": {
			[]func(*Limiter){completed(15), ended(2, fleet.OutcomeCompleted, late), completed(1), ended(2, fleet.OutcomeCompleted, late)},
			[]int{16, 16, 16, 16},
			CauseNone,
		},
		"a lasting change becomes the norm": {
			[]func(*Limiter){completed(15), ended(6, fleet.OutcomeCompleted, late), ended(200, fleet.OutcomeCompleted, late)},
			[]int{16, 1, 16},
			CauseSlow,
		},
		"a report lowers at once and raises slowly": {
			[]func(*Limiter){
				completed(15), reported(0, fleet.Load{Limit: 4}), reported(1, fleet.Load{Limit: 16}), completed(20),
				reported(time.Second, fleet.Load{Limit: 16}), completed(20),
			},
			[]int{16, 4, 4, 4, 4, 5},
			CauseStated,
		},
		"a running server found by a new scheduler keeps its work": {
			[]func(*Limiter){reported(0, fleet.Load{Running: 9})},
			[]int{9},
			CauseNone,
		},
		"one found with a queue does not": {
			[]func(*Limiter){reported(0, fleet.Load{Running: 9, Waiting: 1})},
			[]int{1},
			CauseNone,
		},
		"a lasting queue lowers to what is in service": {
			[]func(*Limiter){completed(15), reported(0, fleet.Load{Running: 6, Waiting: 5}), reported(0, fleet.Load{Running: 6, Waiting: 5})},
			[]int{16, 16, 6},
			CauseQueueing,
		},
		"back as it was, a server has its limit back with a report": {
			[]func(*Limiter){absent(4 * time.Second), reported(4*time.Second, fleet.Load{Epoch: 1, Age: 200})},
			[]int{1, 16},
			CauseNone,
		},
		"back without a report, it is warmed": {
			[]func(*Limiter){absent(4 * time.Second), completed(1), completed(2), func(l *Limiter) { l.LoadFailed() }},
			[]int{1, 2, 4, 4},
			CauseNone,
		},
		"back with a report from before it may have restarted, it is warmed until a later one": {
			[]func(*Limiter){
				absent(4 * time.Second), reported(4*time.Second+1, fleet.Load{Epoch: 1, Age: 700}), completed(1),
				reported(4500*time.Millisecond, fleet.Load{Epoch: 1, Age: 500}),
			},
			[]int{1, 1, 2, 16},
			CauseNone,
		},
		"back after a restart, it is cold": {
			[]func(*Limiter){absent(4 * time.Second), reported(4*time.Second, fleet.Load{Epoch: 2}), reported(5*time.Second, fleet.Load{Epoch: 2})},
			[]int{1, 1, 1},
			CauseRestarted,
		},
		"restarted while out of service, it is cold": {
			[]func(*Limiter){
				absent(4 * time.Second), func(l *Limiter) { l.Pause(5 * time.Second) }, reported(6*time.Second, fleet.Load{Epoch: 2}),
				func(l *Limiter) { l.Resume(7*time.Second, 0) }, reported(7*time.Second, fleet.Load{Epoch: 2}),
			},
			[]int{1, 1, 1, 1, 1},
			CauseRestarted,
		},
		"back after long, it is cold": {
			[]func(*Limiter){absent(time.Second + warmTime + 1), reported(2*time.Minute, fleet.Load{Epoch: 1})},
			[]int{1, 1},
			CauseNone,
		},
		"back with a queue, it is warmed until that is gone": {
			[]func(*Limiter){
				absent(4 * time.Second), reported(4*time.Second, fleet.Load{Epoch: 1, Running: 1, Waiting: 1}),
				reported(5*time.Second, fleet.Load{Epoch: 1, Running: 1}),
			},
			[]int{1, 1, 16},
			CauseNone,
		},
		"in trouble once back, it does not have its limit back": {
			[]func(*Limiter){absent(4 * time.Second), completed(1), ended(1, fleet.OutcomeOverloaded, 0), reported(5*time.Second, fleet.Load{Epoch: 1})},
			[]int{1, 2, 1, 1},
			CauseOverloaded,
		},
		"without an epoch a report does not show that it is as it was": {
			[]func(*Limiter){
				completed(15), func(l *Limiter) { l.Load(0, fleet.Load{}); l.Pause(0); l.Resume(time.Second, 1) },
				reported(2*time.Second, fleet.Load{}),
			},
			[]int{16, 1, 1},
			CauseNone,
		},
		"another scheduler's limit holds with a report of its epoch": {
			[]func(*Limiter){inherited(0, 1, 12), reported(1, fleet.Load{Epoch: 1, Age: 200})},
			[]int{1, 12},
			CauseNone,
		},
		"another scheduler's limit is bounded by the ceiling": {
			[]func(*Limiter){inherited(0, 1, 40), reported(1, fleet.Load{Epoch: 1})},
			[]int{1, 16},
			CauseNone,
		},
		"another scheduler's limit of another epoch is dropped": {
			[]func(*Limiter){inherited(0, 1, 12), reported(1, fleet.Load{Epoch: 2}), reported(2, fleet.Load{Epoch: 1})},
			[]int{1, 1, 1},
			CauseRestarted,
		},
		"another scheduler's limit of no epoch is dropped": {
			[]func(*Limiter){inherited(0, 0, 12), reported(1, fleet.Load{})},
			[]int{1, 1},
			CauseNone,
		},
		"another scheduler's limit waits for a young report": {
			[]func(*Limiter){inherited(time.Second, 1, 12), reported(time.Second, fleet.Load{Epoch: 1, Age: 700}), reported(1500*time.Millisecond, fleet.Load{Epoch: 1, Age: 500})},
			[]int{1, 1, 12},
			CauseNone,
		},
		"another scheduler's limit does not hold after trouble": {
			[]func(*Limiter){completed(3), ended(1, fleet.OutcomeOverloaded, 0), inherited(0, 1, 12), reported(1, fleet.Load{Epoch: 1})},
			[]int{4, 2, 2, 2},
			CauseOverloaded,
		},
		"without reports the limit rises slowly": {
			[]func(*Limiter){completed(1), func(l *Limiter) { l.LoadFailed(); l.LoadFailed(); l.LoadFailed() }, completed(2), completed(3)},
			[]int{2, 2, 3, 4},
			CauseNone,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &Limiter{Ceiling: 16}
			var got []int
			for _, step := range c.steps {
				step(l)
				got = append(got, l.Limit())
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("limits differ (-want +got):\n%s", diff)
			}
			if cut := l.Cut(); cut.Cause != c.cause {
				t.Errorf("lowered for %v, want %v", cut.Cause, c.cause)
			}
		})
	}
}

func TestSetAside(t *testing.T) {
	l := &Limiter{Ceiling: 16}
	completed(15)(l)
	ended(failuresKept, fleet.OutcomeFailed, 0)(l)
	if diff := cmp.Diff(Cut{Cause: CauseFailed, From: 16, To: 1}, l.Cut()); diff != "" {
		t.Errorf("cuts differ (-want +got):\n%s", diff)
	}
	for now, backoff := time.Duration(0), firstBackoff; backoff < time.Minute; backoff *= 2 {
		wait := min(backoff, lastBackoff)
		if why, until := l.Held(now); why != fleet.ReasonServerFailed || until != now+wait {
			t.Fatalf("held for %v until %v, want %v", why, until, now+wait)
		}
		now += wait
		if why, _ := l.Held(now); why != fleet.ReasonNone || !l.Probing() {
			t.Fatalf("not tried again after %v: %v", wait, why)
		}
		l.Start()
		if why, _ := l.Held(now); why == fleet.ReasonNone {
			t.Fatal("a second request while the first tries the server")
		}
		l.Done(now, fleet.Done{Outcome: fleet.OutcomeUnreached}, 1)
	}
	l.Start()
	l.Done(time.Hour, fleet.Done{Outcome: fleet.OutcomeCompleted}, 1)
	if why, _ := l.Held(time.Hour); why != fleet.ReasonNone || l.Probing() || l.Limit() > 2 {
		t.Errorf("after a success: held for %v, limit %d", why, l.Limit())
	}
}
