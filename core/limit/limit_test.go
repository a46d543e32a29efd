package limit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
)

const (
	warmFirstByte = 40_000  // time to first byte of a warm server, in microseconds
	coldFirstByte = 400_000 // time to first byte of a cold server, in microseconds
)

// endRequests starts and ends n requests with the given outcome.
func endRequests(n int, outcome fleet.Outcome, first int64) func(*Limiter) {
	return func(l *Limiter) {
		for range n {
			l.Start()
			l.ObserveDone(0, fleet.Done{Outcome: outcome, FirstByte: first}, l.Limit())
		}
	}
}

func completeRequests(n int) func(*Limiter) {
	return endRequests(n, fleet.OutcomeCompleted, warmFirstByte)
}

func report(at time.Duration, r fleet.Load) func(*Limiter) {
	return func(l *Limiter) { l.ObserveLoad(at, r) }
}

// resumeAfterPause learns a limit of 16 in epoch 1, takes the server out of service at 1 s, and resumes it with one
// request in flight.
func resumeAfterPause(back time.Duration) func(*Limiter) {
	return func(l *Limiter) {
		l.ObserveLoad(0, fleet.Load{Epoch: 1})
		completeRequests(15)(l)
		l.Pause(time.Second)
		l.ObserveLoad(2*time.Second, fleet.Load{Epoch: 1})
		l.Resume(back, 1)
	}
}

func inherit(at time.Duration, epoch uint64, limit int) func(*Limiter) {
	return func(l *Limiter) { l.Inherit(at, epoch, limit) }
}

func TestLimit(t *testing.T) {
	cases := map[string]struct {
		steps []func(*Limiter)
		want  []int // limit after each step
		cause Cause // of the latest reduction
	}{
		"an unknown server starts at the minimum and rises by completions": {
			[]func(*Limiter){completeRequests(0), completeRequests(1), completeRequests(2), completeRequests(4), completeRequests(100)},
			[]int{1, 2, 4, 8, 16},
			CauseNone,
		},
		"low utilisation does not raise the limit": {
			[]func(*Limiter){completeRequests(7), func(l *Limiter) { l.ObserveDone(0, fleet.Done{Outcome: fleet.OutcomeCompleted}, 1) }},
			[]int{8, 8},
			CauseNone,
		},
		"an overload halves the limit, which then rises slowly": {
			[]func(*Limiter){completeRequests(15), endRequests(1, fleet.OutcomeOverloaded, 0), completeRequests(8), completeRequests(9)},
			[]int{16, 8, 9, 10},
			CauseOverloaded,
		},
		"a burst of overloads lowers the limit to the minimum": {
			[]func(*Limiter){completeRequests(15), endRequests(5, fleet.OutcomeOverloaded, 0)},
			[]int{16, 1},
			CauseOverloaded,
		},
		"returned and cancelled requests do not change the limit": {
			[]func(*Limiter){completeRequests(7), endRequests(9, fleet.OutcomeReturned, 0), endRequests(9, fleet.OutcomeCancelled, 0)},
			[]int{8, 8, 8},
			CauseNone,
		},
		"a new epoch resets the limit to the minimum": {
			[]func(*Limiter){report(0, fleet.Load{Epoch: 1}), completeRequests(15), report(0, fleet.Load{Epoch: 2, Running: 9})},
			[]int{1, 16, 1},
			CauseRestarted,
		},
		"reductions by requests that a restart broke are attributed to the restart": {
			[]func(*Limiter){
				report(0, fleet.Load{Epoch: 1}), completeRequests(15), endRequests(3, fleet.OutcomeFailed, 0),
				report(time.Second, fleet.Load{Epoch: 2}),
			},
			[]int{1, 16, 1, 1},
			CauseRestarted,
		},
		"consecutive slow first bytes indicate a cold server": {
			[]func(*Limiter){completeRequests(15), endRequests(2, fleet.OutcomeCompleted, coldFirstByte), endRequests(1, fleet.OutcomeCompleted, coldFirstByte)},
			[]int{16, 16, 1},
			CauseSlow,
		},
		"too few consecutive slow first bytes do not lower the limit": {
			[]func(*Limiter){completeRequests(15), endRequests(2, fleet.OutcomeCompleted, coldFirstByte), completeRequests(1), endRequests(2, fleet.OutcomeCompleted, coldFirstByte)},
			[]int{16, 16, 16, 16},
			CauseNone,
		},
		"a lasting change moves the baseline": {
			[]func(*Limiter){completeRequests(15), endRequests(6, fleet.OutcomeCompleted, coldFirstByte), endRequests(200, fleet.OutcomeCompleted, coldFirstByte)},
			[]int{16, 1, 16},
			CauseSlow,
		},
		"a report lowers at once and raises slowly": {
			[]func(*Limiter){
				completeRequests(15), report(0, fleet.Load{Limit: 4}), report(1, fleet.Load{Limit: 16}), completeRequests(20),
				report(time.Second, fleet.Load{Limit: 16}), completeRequests(20),
			},
			[]int{16, 4, 4, 4, 4, 5},
			CauseAdvertised,
		},
		"a new scheduler starts from the requests that a server runs": {
			[]func(*Limiter){report(0, fleet.Load{Running: 9})},
			[]int{9},
			CauseNone,
		},
		"a new scheduler starts a server with a queue at the minimum": {
			[]func(*Limiter){report(0, fleet.Load{Running: 9, Waiting: 1})},
			[]int{1},
			CauseNone,
		},
		"a lasting queue lowers the limit to the requests in service": {
			[]func(*Limiter){completeRequests(15), report(0, fleet.Load{Running: 6, Waiting: 5}), report(0, fleet.Load{Running: 6, Waiting: 5})},
			[]int{16, 16, 6},
			CauseQueueing,
		},
		"resumed without a restart, the limit is restored by a report": {
			[]func(*Limiter){resumeAfterPause(4 * time.Second), report(4*time.Second, fleet.Load{Epoch: 1, Age: 200})},
			[]int{1, 16},
			CauseNone,
		},
		"resumed without a report, the limit rises by completions": {
			[]func(*Limiter){resumeAfterPause(4 * time.Second), completeRequests(1), completeRequests(2), func(l *Limiter) { l.LoadUnavailable() }},
			[]int{1, 2, 4, 4},
			CauseNone,
		},
		"resumed with a report that does not rule out a restart, the limit is restored by a later report": {
			[]func(*Limiter){
				resumeAfterPause(4 * time.Second), report(4*time.Second+1, fleet.Load{Epoch: 1, Age: 700}), completeRequests(1),
				report(4500*time.Millisecond, fleet.Load{Epoch: 1, Age: 500}),
			},
			[]int{1, 1, 2, 16},
			CauseNone,
		},
		"resumed after a restart, the limit is at the minimum": {
			[]func(*Limiter){resumeAfterPause(4 * time.Second), report(4*time.Second, fleet.Load{Epoch: 2}), report(5*time.Second, fleet.Load{Epoch: 2})},
			[]int{1, 1, 1},
			CauseRestarted,
		},
		"restarted while out of service, the limit is at the minimum": {
			[]func(*Limiter){
				resumeAfterPause(4 * time.Second), func(l *Limiter) { l.Pause(5 * time.Second) }, report(6*time.Second, fleet.Load{Epoch: 2}),
				func(l *Limiter) { l.Resume(7*time.Second, 0) }, report(7*time.Second, fleet.Load{Epoch: 2}),
			},
			[]int{1, 1, 1, 1, 1},
			CauseRestarted,
		},
		"resumed after more than the warm time, the limit is not restored": {
			[]func(*Limiter){resumeAfterPause(time.Second + warmTime + 1), report(2*time.Minute, fleet.Load{Epoch: 1})},
			[]int{1, 1},
			CauseNone,
		},
		"resumed with a queue, the limit is restored once the queue is empty": {
			[]func(*Limiter){
				resumeAfterPause(4 * time.Second), report(4*time.Second, fleet.Load{Epoch: 1, Running: 1, Waiting: 1}),
				report(5*time.Second, fleet.Load{Epoch: 1, Running: 1}),
			},
			[]int{1, 1, 16},
			CauseNone,
		},
		"overloaded after resuming, the limit is not restored": {
			[]func(*Limiter){resumeAfterPause(4 * time.Second), completeRequests(1), endRequests(1, fleet.OutcomeOverloaded, 0), report(5*time.Second, fleet.Load{Epoch: 1})},
			[]int{1, 2, 1, 1},
			CauseOverloaded,
		},
		"a report without an epoch does not restore the limit": {
			[]func(*Limiter){
				completeRequests(15), func(l *Limiter) { l.ObserveLoad(0, fleet.Load{}); l.Pause(0); l.Resume(time.Second, 1) },
				report(2*time.Second, fleet.Load{}),
			},
			[]int{16, 1, 1},
			CauseNone,
		},
		"an inherited limit takes effect with a report of its epoch": {
			[]func(*Limiter){inherit(0, 1, 12), report(1, fleet.Load{Epoch: 1, Age: 200})},
			[]int{1, 12},
			CauseNone,
		},
		"an inherited limit is bounded by the ceiling": {
			[]func(*Limiter){inherit(0, 1, 40), report(1, fleet.Load{Epoch: 1})},
			[]int{1, 16},
			CauseNone,
		},
		"an inherited limit of another epoch is dropped": {
			[]func(*Limiter){inherit(0, 1, 12), report(1, fleet.Load{Epoch: 2}), report(2, fleet.Load{Epoch: 1})},
			[]int{1, 1, 1},
			CauseRestarted,
		},
		"an inherited limit without an epoch is dropped": {
			[]func(*Limiter){inherit(0, 0, 12), report(1, fleet.Load{})},
			[]int{1, 1},
			CauseNone,
		},
		"an inherited limit takes effect only with a recent report": {
			[]func(*Limiter){inherit(time.Second, 1, 12), report(time.Second, fleet.Load{Epoch: 1, Age: 700}), report(1500*time.Millisecond, fleet.Load{Epoch: 1, Age: 500})},
			[]int{1, 1, 12},
			CauseNone,
		},
		"an inherited limit is dropped after an overload": {
			[]func(*Limiter){completeRequests(3), endRequests(1, fleet.OutcomeOverloaded, 0), inherit(0, 1, 12), report(1, fleet.Load{Epoch: 1})},
			[]int{4, 2, 2, 2},
			CauseOverloaded,
		},
		"without reports the limit rises slowly": {
			[]func(*Limiter){completeRequests(1), func(l *Limiter) { l.LoadUnavailable(); l.LoadUnavailable(); l.LoadUnavailable() }, completeRequests(2), completeRequests(3)},
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
			if cut := l.LastCut(); cut.Cause != c.cause {
				t.Errorf("last cause is %v, want %v", cut.Cause, c.cause)
			}
		})
	}
}

func TestEjection(t *testing.T) {
	l := &Limiter{Ceiling: 16}
	completeRequests(15)(l)
	endRequests(ejectAfter, fleet.OutcomeFailed, 0)(l)
	if diff := cmp.Diff(Cut{Cause: CauseFailed, From: 16, To: 1}, l.LastCut()); diff != "" {
		t.Errorf("last cut differs (-want +got):\n%s", diff)
	}
	for now, backoff := time.Duration(0), minBackoff; backoff < time.Minute; backoff *= 2 {
		wait := min(backoff, maxBackoff)
		if why, until := l.Ejected(now); why != fleet.ReasonServerFailed || until != now+wait {
			t.Fatalf("ejected for %v until %v, want %v", why, until, now+wait)
		}
		now += wait
		if why, _ := l.Ejected(now); why != fleet.ReasonNone || !l.Probing() {
			t.Fatalf("no trial request allowed after %v: %v", wait, why)
		}
		l.Start()
		if why, _ := l.Ejected(now); why == fleet.ReasonNone {
			t.Fatal("second request allowed while the trial request is in flight")
		}
		l.ObserveDone(now, fleet.Done{Outcome: fleet.OutcomeUnreached}, 1)
	}
	l.Start()
	l.ObserveDone(time.Hour, fleet.Done{Outcome: fleet.OutcomeCompleted}, 1)
	if why, _ := l.Ejected(time.Hour); why != fleet.ReasonNone || l.Probing() || l.Limit() > 2 {
		t.Errorf("after a success: ejected for %v, limit %d", why, l.Limit())
	}
}
