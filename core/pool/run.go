package pool

import (
	"time"

	"mangolug.org/core/fleet"
)

// send notes that a request goes to a server.
func (p *Pool) send(now time.Duration, a *Ask, c choice) Verdict {
	b := c.backend
	r := &Run{
		Server: b.Server, Unread: c.unread, Again: c.unread - min(c.unread, a.own()), Home: c.home, ask: a, backend: b, sent: now, Cold: p.cold(now, b),
		usage: Usage{Requests: 1, Prefill: c.unread, Memory: a.own() + a.Output},
	}
	if a.Prompt == 0 {
		r.usage = Usage{Requests: 1}
	}
	r.ahead = b.usage(now).Prefill
	b.own.add(r.usage)
	b.said.sent(r)
	if r.Cold {
		b.meter.take(now)
	}
	if a.Prompt > 0 {
		b.cache.note(now, a.Parts)
		p.shares.sent(now, a.Team, float64(a.cost()))
	}
	return Verdict{Ask: a, Reason: fleet.ReasonGranted, Run: r, Backlog: c.backlog, Pace: p.service(b.Service).rate.value(), Waited: now - a.Arrived}
}

// Open reports whether the server of a run may still get new work: it may have begun to leave or to rest since it was chosen.
func (p *Pool) Open(now time.Duration, r *Run) bool {
	return p.open(r.backend) && !r.backend.said.rests(now)
}

// Began notes the first event of an answer: the server has read the prompt.
func (p *Pool) Began(now time.Duration, r *Run) {
	if r.began || r.ended {
		return
	}
	r.began = true
	r.backend.said.ended(now, r, true)
	if r.ask.Prompt > 0 && !r.Cold && r.ahead < r.Unread/paceAhead {
		p.service(r.Server.Service).rate.learn(r.Unread+r.ahead, now-r.sent)
	}
	r.backend.own.subtract(Usage{Prefill: r.usage.Prefill})
	r.usage.Prefill = 0
}

// Told takes in what a server says of its load.
func (p *Pool) Told(now time.Duration, r *Run, l Load) {
	r.backend.load, r.backend.loadAt = l, now
}

// Ended notes the end of a run; a second call does nothing.
func (p *Pool) Ended(now time.Duration, r *Run, result Result) {
	if r.ended {
		return
	}
	r.ended = true
	b := r.backend
	b.own.subtract(r.usage)
	b.said.ended(now, r, false)
	if r.ask.Prompt > 0 && !r.began {
		p.shares.unserved(now, r.ask.Team, float64(r.ask.cost()), now-r.sent)
	}
	if result.Left || b.gone {
		return
	}
	if result.Another {
		// The platform tells of servers late: the one that was meant here is gone.
		p.drop(b)
		p.tell(b, "gone", "another server has its address")
		return
	}
	v := p.service(r.Server.Service)
	failed := result.Failed || result.Lost || result.Rejected
	if b.health.note(now, failed, result.Lost, v.failing) {
		p.tell(b, "aside", b.health.until.String())
	}
	value := 0.0
	if failed {
		value = 1
	}
	v.failing += failingWeight * (value - v.failing)
}

// failingWeight is the part that one result has in a service's share of failures.
const failingWeight = 0.02

// Cold takes in that a server said how much longer it is cold.
func (p *Pool) Cold(now time.Duration, id string, length time.Duration) {
	if b := p.servers[id]; b != nil {
		b.coldUntil = max(b.coldUntil, now+length)
	}
}
