package loop

import (
	"context"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
)

// Admit waits until a request is granted or refused; when the context ends first, the request waits no more.
func (l *Loop) Admit(ctx context.Context, q entry.Request) entry.Verdict {
	a := admission{request: q, verdict: make(chan entry.Verdict, 1)}
	gone := entry.Verdict{Request: q.ID, Reason: fleet.ReasonCallerGone}
	if !l.post(event{admit: &a}) {
		return entry.Verdict{Request: q.ID, Reason: fleet.ReasonStopped}
	}
	select {
	case v := <-a.verdict:
		return v
	case <-l.ended:
		return entry.Verdict{Request: q.ID, Reason: fleet.ReasonStopped}
	case <-ctx.Done():
	}
	left := departure{request: q.ID, done: make(chan struct{})}
	l.post(event{leave: &left})
	select {
	case <-left.done:
	case <-l.ended:
	}
	select {
	case v := <-a.verdict: // decided while the caller went away
		return v
	default:
		return gone
	}
}

// Finish reports the end of a granted attempt.
func (l *Loop) Finish(v entry.Verdict, d fleet.Done) {
	d.Grant = v.Grant.ID
	l.post(event{finish: &finish{cell: v.Cell, done: d}})
}

// Progress reports the cost so far of a granted attempt, in cost units.
func (l *Loop) Progress(v entry.Verdict, cost int64) {
	l.post(event{finish: &finish{cell: v.Cell, done: fleet.Done{Grant: v.Grant.ID, Cost: cost}, progress: true}})
}

func (l *Loop) admit(now time.Duration, a admission) {
	l.waiting[a.request.ID] = a
	l.deliver(l.Room.Arrive(now, a.request))
}

func (l *Loop) finish(now time.Duration, f *finish) {
	if f.progress {
		l.Room.Progress(now, f.cell, f.done.Grant, f.done.Cost)
		return
	}
	l.Room.Finish(now, f.cell, f.done)
}

// deliver hands verdicts to the goroutines that wait for them.
func (l *Loop) deliver(verdicts []entry.Verdict) {
	for _, v := range verdicts {
		a, found := l.waiting[v.Request]
		if !found {
			continue
		}
		delete(l.waiting, v.Request)
		a.verdict <- v
	}
}
