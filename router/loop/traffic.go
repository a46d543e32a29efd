package loop

import (
	"context"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

// InForce returns the configuration in force, or nil before the first one.
func (l *Loop) InForce() *conf.InForce { return l.current.Load() }

// NotReadyReason returns the reason why callers are not served now. It is ReasonNone if they are served, even while the
// router drains.
func (l *Loop) NotReadyReason() fleet.Reason { return fleet.Reason(l.notReady.Load()) }

// Draining reports whether the router is draining.
func (l *Loop) Draining() bool { return l.draining.Load() }

// Drain makes this router give up its duties. It continues to serve the requests that it has.
func (l *Loop) Drain() {
	l.draining.Store(true)
	l.post(input{event: node.Event{Drain: &node.Drain{}}})
}

// Admit waits until a request is granted or refused. If the context ends first, the request is withdrawn.
func (l *Loop) Admit(ctx context.Context, q entry.Request) entry.Verdict {
	verdict := make(chan entry.Verdict, 1)
	stopped := entry.Verdict{Request: q.ID, Reason: fleet.ReasonStopped}
	if !l.post(input{event: node.Event{Admit: &q}, verdict: verdict}) {
		return stopped
	}
	select {
	case v := <-verdict:
		return v
	case <-l.ended:
		return stopped
	case <-ctx.Done():
	}
	cancelled := make(chan struct{})
	l.post(input{event: node.Event{Cancel: &node.Cancel{Request: q.ID}}, cancelled: cancelled})
	select {
	case <-cancelled:
	case <-l.ended:
	}
	select {
	case v := <-verdict: // decided while the caller went away
		return v
	default:
		return entry.Verdict{Request: q.ID, Reason: fleet.ReasonCallerGone}
	}
}

// Finish reports the end of a granted attempt.
func (l *Loop) Finish(v entry.Verdict, d fleet.Done) {
	d.Grant = v.Grant.ID
	l.post(input{event: node.Event{Finish: &node.Finish{Cell: v.Cell, Done: d}}})
}

// Progress reports the cost so far of a granted attempt, in cost units.
func (l *Loop) Progress(v entry.Verdict, cost int64) {
	d := fleet.Done{Grant: v.Grant.ID, Cost: cost}
	l.post(input{event: node.Event{Progress: &node.Finish{Cell: v.Cell, Done: d}}})
}

// OpenKey asks a key's home whether its request may be sent. A request that is not answered in time is refused.
func (l *Loop) OpenKey(ctx context.Context, team, key string, digest uint64) fleet.KeyAnswer {
	if ctx.Err() != nil {
		return fleet.KeyAnswer{Reason: fleet.ReasonCallerGone}
	}
	answer := make(chan fleet.KeyAnswer, 1)
	request := node.KeyRequest{ID: l.lastKeyRequest.Add(1), Open: fleet.KeyOpen{Team: team, Key: key, Digest: digest}}
	l.post(input{event: node.Event{KeyOpen: &request}, answer: answer})
	select {
	case a := <-answer: // comes within KeyRunLifetime
		return a
	case <-l.ended:
		return fleet.KeyAnswer{Reason: fleet.ReasonStopped}
	}
}

// CloseKey reports to a key's home how its request ended.
func (l *Loop) CloseKey(c fleet.KeyClose) {
	l.post(input{event: node.Event{KeyClose: &c}})
}
