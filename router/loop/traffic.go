package loop

import (
	"context"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

// Rules gives the configuration in force; nil before the first.
func (l *Loop) Rules() *conf.InForce { return l.current.Load() }

// Ready says why callers are not served now; ReasonNone when they are, also while the router drains.
func (l *Loop) Ready() fleet.Reason { return fleet.Reason(l.ready.Load()) }

// Draining says whether the router is stopping.
func (l *Loop) Draining() bool { return l.draining.Load() }

// Drain makes this router give up its duties; it goes on serving what it has.
func (l *Loop) Drain() {
	l.draining.Store(true)
	l.post(input{event: node.Event{Drain: &node.Drain{}}})
}

// Admit waits until a request is granted or refused; when the context ends first, the request waits no more.
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
	left := make(chan struct{})
	l.post(input{event: node.Event{Leave: &node.Leave{Request: q.ID}}, left: left})
	select {
	case <-left:
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

// OpenKey asks a key's home whether its request may be sent; the answer to no answer in time is a refusal.
func (l *Loop) OpenKey(ctx context.Context, team, key string, digest uint64) fleet.KeyAnswer {
	if ctx.Err() != nil {
		return fleet.KeyAnswer{Reason: fleet.ReasonCallerGone}
	}
	answer := make(chan fleet.KeyAnswer, 1)
	ask := node.KeyAsk{Ask: l.ask.Add(1), Open: fleet.KeyOpen{Team: team, Key: key, Digest: digest}}
	l.post(input{event: node.Event{KeyOpen: &ask}, answer: answer})
	select {
	case a := <-answer: // comes within KeyRunLifetime
		return a
	case <-l.ended:
		return fleet.KeyAnswer{Reason: fleet.ReasonStopped}
	}
}

// CloseKey tells a key's home how its request ended.
func (l *Loop) CloseKey(c fleet.KeyClose) {
	l.post(input{event: node.Event{KeyClose: &c}})
}
