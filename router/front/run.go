package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
	"mangolug.org/router/back"
)

// pauseAfterReturn keeps a request from taking and returning grants in a tight loop.
const pauseAfterReturn = 20 * time.Millisecond

// run sees a request through to its answer; a returned error is a *Refusal.
func (c *call) run(ctx context.Context) error {
	c.front.budget.first(c.front.Settings.RetryFraction, c.front.Settings.RetryBurst)
	for again := false; ; again = true {
		v, err := c.admit(ctx, again)
		if err != nil {
			return err
		}
		if reason := c.unfit(ctx, v); reason != fleet.ReasonNone {
			c.giveBack(v, reason)
			if reason == fleet.ReasonCallerGone {
				return c.over(ctx)
			}
			if err := c.pause(ctx, pauseAfterReturn); err != nil {
				return err
			}
			continue
		}
		if done, err := c.renew(ctx, v); done || err != nil {
			return err
		}
		err = c.attempt(ctx, v)
		if err == nil {
			return nil
		}
		var failed *back.ServerError
		if !errors.As(err, &failed) {
			return err
		}
		if err := c.after(ctx, failed); err != nil {
			return err
		}
	}
}

// admit waits for a grant.
func (c *call) admit(ctx context.Context, again bool) (entry.Verdict, error) {
	f := c.front
	p := pair{c.team.Name, c.product.Name}
	estimate, service := f.habits.expect(p, c.guess())
	// A request that is granted when there is no time left to serve it is of no use to its caller.
	latest := c.deadline - min(service, (c.deadline-c.arrived)/2)
	v := f.Admit(ctx, entry.Request{
		ID: c.id, Team: c.team.Name, Product: c.product.Name, Estimate: estimate,
		Bytes: int64(len(c.body)), Deadline: latest, Prefix: c.prefix, Retry: again,
	})
	switch v.Reason {
	case fleet.ReasonGranted:
	case fleet.ReasonNone, fleet.ReasonHeld, fleet.ReasonCallerGone:
		return v, c.over(ctx) // the wait was given up without a decision
	default:
		e := c.turnDown(v.Reason, "")
		if v.RetryAfter > 0 {
			e.RetryAfter = v.RetryAfter
		}
		return v, e
	}
	c.note("granted", fleet.ReasonGranted, v.Grant.Server, "")
	return v, nil
}

// unfit says why a grant may not be used now: what has been learnt since it was given goes first.
func (c *call) unfit(ctx context.Context, v entry.Verdict) fleet.Reason {
	if ctx.Err() != nil {
		return fleet.ReasonCallerGone
	}
	if c.front.Clock() >= v.Expires {
		return fleet.ReasonGrantExpired
	}
	rules := c.front.Rules()
	if rules == nil {
		return fleet.ReasonNone
	}
	for _, s := range rules.Servers[c.product.Name] {
		if s.Name != v.Grant.Server {
			continue
		}
		if rules.Out[s.DataCentre] {
			return fleet.ReasonDataCentreOut
		}
		return fleet.ReasonNone
	}
	return fleet.ReasonServerLeaving
}

// giveBack returns a grant of which nothing was sent.
func (c *call) giveBack(v entry.Verdict, reason fleet.Reason) {
	c.front.Finish(v, fleet.Done{Grant: v.Grant.ID, Outcome: fleet.OutcomeReturned})
	if reason == fleet.ReasonCallerGone {
		return
	}
	c.front.count("retried." + reason.String())
	c.note("retried", reason, v.Grant.Server, "grant returned")
}

// pause waits, or says that the request is over.
func (c *call) pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return c.over(ctx)
	}
}

// over refuses a request whose time is up or whose caller has gone.
func (c *call) over(ctx context.Context) *Refusal {
	if c.front.stopping.Err() != nil {
		return c.turnDown(fleet.ReasonStopped, "this router stops")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.turnDown(fleet.ReasonDeadlinePassed, "")
	}
	return c.turnDown(fleet.ReasonCallerGone, "")
}

// after decides whether a failed attempt is followed by another; nil means that it is.
func (c *call) after(ctx context.Context, failed *back.ServerError) error {
	if !failed.NotRun {
		c.sent = true
	}
	if (ctx.Err() != nil || c.front.stopping.Err() != nil) && !c.once {
		return c.over(ctx)
	}
	detail := failed.Error()
	if failed.Reason == fleet.ReasonGrantExpired {
		c.front.count("retried." + failed.Reason.String())
		c.note("retried", failed.Reason, failed.Server, detail)
		return c.pause(ctx, pauseAfterReturn)
	}
	c.tries++
	switch {
	case c.once && c.sent:
		return c.failure(fleet.ReasonOutcomeUnknown, failed)
	case c.once, c.tries >= c.front.Settings.Attempts:
		// A call that may not be repeated has one attempt: its caller decides whether to try again.
		return c.failure(failed.Reason, failed)
	case !c.front.budget.take():
		return c.failure(fleet.ReasonRetryBudget, failed)
	}
	c.front.count("retried." + failed.Reason.String())
	c.note("retried", failed.Reason, failed.Server, detail)
	return nil
}

// attempt sends the request under one grant and passes the answer on; an error is a *back.ServerError or a *Refusal.
func (c *call) attempt(ctx context.Context, v entry.Verdict) error {
	f := c.front
	t := &try{call: c, verdict: v, begun: f.Clock()}
	send := ctx
	if c.once {
		// A non-idempotent call that was sent is seen to its end, so that its outcome is known.
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.deadline-t.begun)
		defer cancel()
		send = detached
	}
	send, cancel := context.WithCancel(send)
	defer cancel()
	defer context.AfterFunc(f.stopping, cancel)()
	t.cancel = cancel
	done := fleet.Done{Grant: v.Grant.ID, Outcome: fleet.OutcomeFailed}
	defer func() {
		done.Service = (f.Clock() - t.begun).Microseconds()
		done.Cost, done.FirstByte = t.cost(), t.firstByte.Microseconds()
		f.Finish(v, done)
	}()
	c.note("sent", fleet.ReasonNone, v.Grant.Server, "")
	answer, err := f.Client.Send(send, c.outgoing(ctx, v))
	if err == nil {
		defer answer.Body.Close()
		err = t.pass(answer)
	}
	done.Outcome = t.outcome(ctx, err)
	if err == nil {
		f.count("answered")
		c.note("answered", fleet.ReasonNone, v.Grant.Server, "")
		f.habits.learn(pair{c.team.Name, c.product.Name}, t.cost(), f.Clock()-t.begun)
	}
	return err
}

// outgoing builds the attempt that is sent to the backend server.
func (c *call) outgoing(ctx context.Context, v entry.Verdict) back.Attempt {
	f := c.front
	return back.Attempt{
		ID: newID(), Request: c.id, Team: c.team.Name, Server: v.Grant.Server, Address: v.Grant.Address,
		Fencing: v.Grant.Fencing, Term: v.Term, Method: c.request.Method, Target: c.target,
		Header: c.passedHeader(), Body: c.body, NonIdempotent: c.once,
		GrantExpired: func() bool {
			now := f.Clock()
			stale := c.keyed() && now >= c.asked+fleet.KeyRunLifetime
			return now >= v.Expires || stale || ctx.Err() != nil
		},
	}
}

// passedHeader gives the caller's header without what concerns only its own connection or this router.
func (c *call) passedHeader() http.Header {
	h := c.request.Header.Clone()
	back.StripHopByHop(h)
	for _, name := range []string{"Authorization", headerTimeout, "Expect"} {
		h.Del(name)
	}
	if c.product.Kind == rule.KindModel {
		h.Del("Accept-Encoding") // the router reads the usage in the answer
	}
	return h
}
