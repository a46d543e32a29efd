package pool

import (
	"time"

	"mangolug.org/core/fleet"
)

// RejectUnread counts a new request and rejects it if it is over its team's share and would be rejected now, so that its body need not be read.
// The same request is passed to Admit otherwise, which doesn't count it again.
func (p *Pool) RejectUnread(now time.Duration, a *Request) (Decision, bool) {
	p.init()
	v := p.service(a.Service)
	p.observeRequest(now, v, a)
	a.observed = true
	if !a.overShare {
		return Decision{}, false
	}
	if p.overServed(now, v, a) {
		p.shares.observeHeld(now, a.Team, float64(a.cost()))
		return p.reject(now, v, a, fleet.ReasonTeamShare), true
	}
	a.sendBy = p.latestSend(now, v, a)
	c, ok := p.pick(now, v, a)
	if !ok || now+c.backlog <= a.sendBy || p.underHalfFull(now, c.backend) && p.mayWait(v, a, c) || v.queue.ahead(a) < p.turns(now, v, a) {
		return Decision{}, false
	}
	return p.reject(now, v, a, fleet.ReasonTeamShare), true
}

// Withdraw takes back the count of a request that RejectUnread let pass and whose body did not come. It would make its team look as if it got too little.
func (p *Pool) Withdraw(now time.Duration, a *Request) {
	if !a.observed || a.Retry || a.PromptTokens == 0 {
		return
	}
	a.observed = false
	t := p.shares.team(a.Team)
	t.localDemand.observe(now, -float64(a.cost()))
	t.localDemand.value = max(0, t.localDemand.value)
	if !a.overShare {
		t.shareCredit += float64(a.cost())
	}
}

// observeRequest counts a request in the demand of its team and of its service.
func (p *Pool) observeRequest(now time.Duration, v *service, a *Request) {
	if a.PromptTokens == 0 {
		return
	}
	if !a.Retry {
		if v.large() {
			a.lot = p.Random.Float64()
		}
		if v.large() && p.shares.levelDue(now) {
			p.shares.observeIdle(now, p.idleFraction(now, v, a))
		}
		a.overShare, a.shareFraction = p.shares.admit(now, a.Team, float64(a.cost()), p.throughput())
	}
	v.demand.observe(now, a.affinityKey())
	v.meanPrompt += promptWeight * (float64(a.PromptTokens) - v.meanPrompt)
}
