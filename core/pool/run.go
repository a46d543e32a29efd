package pool

import (
	"time"

	"mangolug.org/core/fleet"
)

// send records that a request is sent to a server, and returns the decision.
func (p *Pool) send(now time.Duration, a *Request, c candidate) Decision {
	b := c.backend
	r := &Run{
		Server: b.Server, PrefillTokens: c.prefillTokens, SharedPrefillTokens: c.prefillTokens - min(c.prefillTokens, a.uniqueTokens()), Home: c.home, request: a, backend: b, sent: now, Cold: p.cold(now, b),
		usage: Usage{Requests: 1, Prefill: c.prefillTokens, Memory: a.uniqueTokens() + a.OutputTokens},
	}
	if a.PromptTokens == 0 {
		r.usage = Usage{Requests: 1}
	}
	ahead := b.usage(now)
	r.prefillAhead, r.loadAhead = ahead.Prefill, ahead.Requests
	b.localUsage.add(r.usage)
	b.runs[r] = true
	for _, s := range a.trials {
		s.startTrial(now)
	}
	b.advertised.recordSend(r)
	if rate, limited := p.sendRate(now, b); limited {
		b.limiter.take(now, rate)
	}
	if a.PromptTokens > 0 {
		b.cache.record(now, a.Segments)
		p.shares.observeServed(now, a.Team, float64(a.cost()))
	}
	return Decision{
		Request: a, Reason: fleet.ReasonGranted, Run: r, Backlog: c.backlog, Waited: now - a.Arrived,
		PrefillRate: p.service(b.Service).prefill.Rate(), Speed: b.speed.value(), Moment: b.speed.moment.Percent(now),
	}
}

// Accepting reports whether the server of a run still accepts new work: since it was chosen it may have advertised that it is
// leaving, or asked routers to back off.
func (p *Pool) Accepting(now time.Duration, r *Run) bool {
	return p.accepting(r.backend) && !r.backend.advertised.backingOff(now)
}

// Began records the first event of a response: the server has prefilled the prompt.
func (p *Pool) Began(now time.Duration, r *Run) {
	if r.began || r.ended {
		return
	}
	r.began, r.beganAt = true, now
	r.backend.advertised.recordEnd(now, r, true)
	p.observePrefill(now, r)
	r.backend.localUsage.subtract(Usage{Prefill: r.usage.Prefill})
	r.usage.Prefill = 0
}

// ObserveLoad records the load that a server reports.
func (p *Pool) ObserveLoad(now time.Duration, r *Run, l Load) {
	r.backend.load, r.backend.loadAt = l, now
	r.backend.speed.moment.Report(now, l.Percent)
}

// Ended records the end of a run; later calls do nothing.
func (p *Pool) Ended(now time.Duration, r *Run, result Result) {
	if r.ended {
		return
	}
	r.ended = true
	b := r.backend
	delete(b.runs, r)
	if r.began && result == (Result{}) {
		p.prove(now, now, r)
		if !r.Cold && r.request.PromptTokens > 0 {
			p.service(r.Server.Service).hold.Observe(now - r.beganAt)
		}
	} else if r.proven() {
		p.prove(now, r.lastEvent(), r)
	}
	b.localUsage.subtract(r.usage)
	if result.Broken && !result.CallerGone && p.accepting(b) {
		p.observeBreak(now, r)
	}
	b.advertised.recordEnd(now, r, false)
	if r.request.PromptTokens > 0 && !r.began {
		p.shares.refundServed(now, r.request.Team, float64(r.request.cost()), now-r.sent)
	}
	if result.CallerGone || b.gone {
		return
	}
	if result.AddressReused {
		// The platform reports changes late: the intended server is gone.
		p.drop(now, b)
		p.emit(b, "gone", "another server has its address")
		return
	}
	v := p.service(r.Server.Service)
	if p.isPlain(r.request) && result == (Result{}) {
		v.plain.Ended(now, &b.plainSpeed, now-r.sent, float64(r.loadAhead), b.Slots)
	}
	failed := result.Failed || result.ConnectFailed || result.Rejected && !fullPlain(now, r)
	if b.health.observe(now, failed, result.ConnectFailed, v.failureRate) {
		p.emit(b, "aside", b.health.ejectedUntil.String())
	}
	value := 0.0
	if failed {
		value = 1
	}
	v.failureRate += failingWeight * (value - v.failureRate)
}

// failingWeight is the weight of one result in a service's moving failure rate.
const failingWeight = 0.02

// MarkCold records how much longer a server reports to be cold.
func (p *Pool) MarkCold(now time.Duration, id string, duration time.Duration) {
	if b := p.servers[id]; b != nil {
		b.coldUntil = max(b.coldUntil, now+duration)
	}
}
