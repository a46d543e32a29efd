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

// pauseAfterReturn keeps a request from acquiring and returning grants in a tight loop.
const pauseAfterReturn = 20 * time.Millisecond

// run acquires grants and makes attempts until the request is answered or refused. A returned error is a *Refusal.
func (c *call) run(ctx context.Context) error {
	c.front.budget.earn(c.front.Settings.RetryFraction, c.front.Settings.RetryBurst)
	for retry := false; ; retry = true {
		v, err := c.admit(ctx, retry)
		if err != nil {
			return err
		}
		if reason := c.checkGrant(ctx, v); reason != fleet.ReasonNone {
			c.returnGrant(v, reason)
			if reason == fleet.ReasonCallerGone {
				return c.contextRefusal(ctx)
			}
			if err := c.pause(ctx, pauseAfterReturn); err != nil {
				return err
			}
			continue
		}
		if done, err := c.renewPermission(ctx, v); done || err != nil {
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
		if err := c.retryOrRefuse(ctx, failed); err != nil {
			return err
		}
	}
}

// admit waits for a grant.
func (c *call) admit(ctx context.Context, retry bool) (entry.Verdict, error) {
	f := c.front
	p := teamProduct{c.team.Name, c.product.Name}
	estimate, service := f.estimates.estimate(p, c.defaultCost())
	// A grant is useless to the caller if too little time is left to serve the request.
	latest := c.deadline - min(service, (c.deadline-c.arrived)/2)
	v := f.Admit(ctx, entry.Request{
		ID: c.id, Team: c.team.Name, Product: c.product.Name, Estimate: estimate,
		Bytes: int64(len(c.body)), Deadline: latest, Prefix: c.prefixHash, Retry: retry,
	})
	switch v.Reason {
	case fleet.ReasonGranted:
	case fleet.ReasonNone, fleet.ReasonHeld, fleet.ReasonCallerGone:
		return v, c.contextRefusal(ctx) // the wait ended without a decision
	default:
		e := c.newRefusal(v.Reason, "")
		if v.RetryAfter > 0 {
			e.RetryAfter = v.RetryAfter
		}
		return v, e
	}
	c.note("granted", fleet.ReasonGranted, v.Grant.Server, "")
	return v, nil
}

// checkGrant returns the reason why a grant may no longer be used, or ReasonNone. Changes since the grant was issued,
// such as a data centre taken out of service, override the grant.
func (c *call) checkGrant(ctx context.Context, v entry.Verdict) fleet.Reason {
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
		if rules.DataCentresOut[s.DataCentre] {
			return fleet.ReasonDataCentreOut
		}
		return fleet.ReasonNone
	}
	return fleet.ReasonServerLeaving
}

// returnGrant returns a grant under which nothing was sent.
func (c *call) returnGrant(v entry.Verdict, reason fleet.Reason) {
	c.front.Finish(v, fleet.Done{Grant: v.Grant.ID, Outcome: fleet.OutcomeReturned})
	if reason == fleet.ReasonCallerGone {
		return
	}
	c.front.count("retried." + reason.String())
	c.note("retried", reason, v.Grant.Server, "grant returned")
}

// pause waits for a duration, or returns a refusal if the request ends first.
func (c *call) pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return c.contextRefusal(ctx)
	}
}

// contextRefusal returns the refusal of a request whose context has ended: the router is stopping, the deadline has passed or the caller has gone.
func (c *call) contextRefusal(ctx context.Context) *Refusal {
	if c.front.stopping.Err() != nil {
		return c.newRefusal(fleet.ReasonStopped, "this router stops")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.newRefusal(fleet.ReasonDeadlinePassed, "")
	}
	return c.newRefusal(fleet.ReasonCallerGone, "")
}

// retryOrRefuse decides whether a failed attempt is retried. It returns nil for a retry.
func (c *call) retryOrRefuse(ctx context.Context, failed *back.ServerError) error {
	if !failed.NotRun {
		c.mayHaveRun = true
	}
	if (ctx.Err() != nil || c.front.stopping.Err() != nil) && !c.nonIdempotent {
		return c.contextRefusal(ctx)
	}
	detail := failed.Error()
	if failed.Reason == fleet.ReasonGrantExpired {
		c.front.count("retried." + failed.Reason.String())
		c.note("retried", failed.Reason, failed.Server, detail)
		return c.pause(ctx, pauseAfterReturn)
	}
	c.attempts++
	switch {
	case c.nonIdempotent && c.mayHaveRun:
		return c.attemptRefusal(fleet.ReasonOutcomeUnknown, failed)
	case c.nonIdempotent, c.attempts >= c.front.Settings.Attempts:
		// A non-idempotent call has one attempt; its caller decides whether to retry.
		return c.attemptRefusal(failed.Reason, failed)
	case !c.front.budget.spend():
		return c.attemptRefusal(fleet.ReasonRetryBudget, failed)
	}
	c.front.count("retried." + failed.Reason.String())
	c.note("retried", failed.Reason, failed.Server, detail)
	return nil
}

// attempt sends the request under a grant and relays the answer. A returned error is a *back.ServerError or a *Refusal.
func (c *call) attempt(ctx context.Context, v entry.Verdict) error {
	f := c.front
	t := &attempt{call: c, verdict: v, started: f.Clock()}
	send := ctx
	if c.nonIdempotent {
		// A non-idempotent call that was sent runs to its end even if the caller goes away, so that its outcome is known.
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.deadline-t.started)
		defer cancel()
		send = detached
	}
	send, cancel := context.WithCancel(send)
	defer cancel()
	defer context.AfterFunc(f.stopping, cancel)()
	t.cancel = cancel
	done := fleet.Done{Grant: v.Grant.ID, Outcome: fleet.OutcomeFailed}
	defer func() {
		done.Service = (f.Clock() - t.started).Microseconds()
		done.Cost, done.FirstByte = t.cost(), t.firstByte.Microseconds()
		f.Finish(v, done)
	}()
	c.note("sent", fleet.ReasonNone, v.Grant.Server, "")
	answer, err := f.Client.Send(send, c.newAttempt(ctx, v))
	if err == nil {
		defer answer.Body.Close()
		err = t.relay(answer)
	}
	done.Outcome = t.outcome(ctx, err)
	if err == nil {
		f.count("answered")
		c.note("answered", fleet.ReasonNone, v.Grant.Server, "")
		f.estimates.observe(teamProduct{c.team.Name, c.product.Name}, t.cost(), f.Clock()-t.started)
	}
	return err
}

// newAttempt returns the attempt to send to the backend server.
func (c *call) newAttempt(ctx context.Context, v entry.Verdict) back.Attempt {
	f := c.front
	return back.Attempt{
		ID: newID(), Request: c.id, Team: c.team.Name, Server: v.Grant.Server, Address: v.Grant.Address,
		Fencing: v.Grant.Fencing, Term: v.Term, Method: c.request.Method, Target: c.target,
		Header: c.forwardedHeader(), Body: c.body, NonIdempotent: c.nonIdempotent,
		EndMarker: c.product.Kind == rule.KindModel,
		GrantExpired: func() bool {
			now := f.Clock()
			stale := c.keyed() && now >= c.openedAt+fleet.KeyRunLifetime
			return now >= v.Expires || stale || ctx.Err() != nil
		},
	}
}

// forwardedHeader returns the caller's header without the fields that are meant only for its connection or this router.
func (c *call) forwardedHeader() http.Header {
	h := c.request.Header.Clone()
	back.StripHopByHop(h)
	for _, name := range []string{"Authorization", headerTimeout, "Expect"} {
		h.Del(name)
	}
	if c.product.Kind == rule.KindModel || c.keyed() {
		// The router must be able to read the usage in a model's answer, and the record of a keyed call has no Content-Encoding.
		h.Del("Accept-Encoding")
	}
	return h
}
