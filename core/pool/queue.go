package pool

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

const (
	// turnMisses is how many waiting requests in a row may find no room before a turn ends.
	turnMisses = 4
	// waitShare is the part of the time to its objective that a request beyond its team's share may wait.
	waitShare = 0.3
	// waitShareLeast bounds that part where it falls as a team asks for more; from TestHotTeamOnGrownFleet.
	waitShareLeast = 0.1
	// queueLimit bounds the requests that wait at one router for one service.
	queueLimit = 2000
)

// queue holds the requests that wait for a server of one service, the most pressing first.
type queue struct {
	asks []*Ask
}

// before orders waiting requests: those within their team's share first, then by the time at which waiting ends.
func before(a, b *Ask) int {
	if a.beyond != b.beyond {
		if a.beyond {
			return 1
		}
		return -1
	}
	return int(a.latest - b.latest)
}

func (q *queue) add(a *Ask) {
	at, _ := slices.BinarySearchFunc(q.asks, a, before)
	q.asks = slices.Insert(q.asks, at, a)
}

func (q *queue) remove(a *Ask) bool {
	for i, o := range q.asks {
		if o == a {
			q.asks = slices.Delete(q.asks, i, i+1)
			return true
		}
	}
	return false
}

// Admit decides on a new request at once, or lets it wait: then Turn gives its verdict later.
func (p *Pool) Admit(now time.Duration, a *Ask) (Verdict, bool) {
	p.init()
	v := p.service(a.Service)
	if a.Prompt > 0 && !a.Again {
		a.beyond, a.part = p.shares.ask(now, a.Team, float64(a.cost()), p.throughput())
	}
	if a.Prompt > 0 {
		v.heat.note(now, a.subject())
	}
	a.latest = p.latest(v, a)
	if len(v.queue.asks) == 0 || a.Again || a.Prompt == 0 {
		if verdict, ok := p.decide(now, v, a); ok {
			return verdict, true
		}
	}
	if len(v.queue.asks) >= queueLimit {
		return p.refuse(now, v, a, fleet.ReasonQueueFull), true
	}
	v.queue.add(a)
	return Verdict{}, false
}

// TurnedAway takes in that a request was refused before it came here: its team asked for it all the same.
func (p *Pool) TurnedAway(now time.Duration, a *Ask) {
	if a.Prompt > 0 {
		p.shares.note(now, a.Team, float64(a.cost()))
	}
}

// throughput gives the tokens a second that the routers that are known of may share: what all model servers give by the operator's
// word, or the part of these routers where they are few of all; 0 if not told.
func (p *Pool) throughput() float64 {
	if p.table == nil {
		return 0
	}
	all := p.table.Config.Limits.TokensPerSecond
	if p.shares.view > 0 {
		all *= p.shares.view
	}
	return all
}

// latest gives the time until which a request may wait and still be served within its objective.
func (p *Pool) latest(v *service, a *Ask) time.Duration {
	whole := a.Objective - a.Arrived
	if a.beyond {
		return a.Arrived + time.Duration(v.waitShare(a)*float64(whole))
	}
	need := min(whole/2, v.rate.time(a.own())+paceFixed)
	return min(a.Objective-need, a.Deadline)
}

// waitShare gives the part of the time to its objective that a request beyond its team's share may wait: what it gets then
// delays those that are within theirs. Where many routers send to many servers, the further its team is beyond the less it
// is, since none of them sees in time what the others just sent.
func (v *service) waitShare(a *Ask) float64 {
	if len(v.servers) <= wholeSearch {
		return waitShare
	}
	return max(waitShareLeast, waitShare*a.part)
}

// decide sends a request if a server has room, or refuses it if its time to wait is over.
func (p *Pool) decide(now time.Duration, v *service, a *Ask) (Verdict, bool) {
	c, ok := p.pick(now, v, a)
	ahead := a.beyond && p.shares.ahead(now, a.Team)
	inTime := ok && !ahead && now+c.backlog <= a.latest
	if c.room && (inTime || a.Prompt == 0) {
		return p.send(now, a, c), true
	}
	if !ok {
		if end, all := p.restEnds(now, v, a); all && end > a.latest {
			verdict := p.refuse(now, v, a, fleet.ReasonServersRest)
			verdict.RetryAfter = end - now + time.Duration(p.Random.Float64()*float64(restSpread))
			return verdict, true
		}
	}
	if inTime || !ok && now < a.latest {
		return Verdict{}, false
	}
	if !ok {
		return p.refuse(now, v, a, fleet.ReasonNoServer), true
	}
	if !ahead && p.half(now, c.backend) {
		return p.send(now, a, c), true
	}
	if a.beyond {
		return p.refuse(now, v, a, fleet.ReasonTeamShare), true
	}
	return p.refuse(now, v, a, fleet.ReasonWouldMissDeadline), true
}

// half reports a server of which less than half is in use: refusing a request beside it would waste it.
func (p *Pool) half(now time.Duration, b *backend) bool {
	return b.Slots > 0 && b.usage(now).Requests*2 < int64(b.Slots) && b.load.Waiting == 0
}

// Turn decides on the requests that wait.
func (p *Pool) Turn(now time.Duration) []Verdict {
	var verdicts []Verdict
	for _, v := range p.services {
		verdicts = append(verdicts, p.turn(now, v)...)
	}
	return verdicts
}

func (p *Pool) turn(now time.Duration, v *service) []Verdict {
	var verdicts []Verdict
	misses := 0
	kept := v.queue.asks[:0]
	for _, a := range v.queue.asks {
		if misses >= turnMisses && now < a.latest {
			kept = append(kept, a)
			continue
		}
		verdict, ok := p.decide(now, v, a)
		if ok {
			verdicts = append(verdicts, verdict)
			continue
		}
		misses++
		kept = append(kept, a)
	}
	clear(v.queue.asks[len(kept):])
	v.queue.asks = kept
	return verdicts
}

// Waiting gives how many requests wait at this router.
func (p *Pool) Waiting() int {
	n := 0
	for _, v := range p.services {
		n += len(v.queue.asks)
	}
	return n
}

// Leave forgets a request that waits, and reports whether it did.
func (p *Pool) Leave(a *Ask) bool { return p.service(a.Service).queue.remove(a) }

// refuse tells when to come back: when the backlog of the best server will be short again, spread so that not all return at once.
func (p *Pool) refuse(now time.Duration, v *service, a *Ask, reason fleet.Reason) Verdict {
	after := p.backlog(now, v)/2 + retryLeast
	after += time.Duration(p.Random.Float64() * float64(after))
	return Verdict{Ask: a, Reason: reason, RetryAfter: after, Backlog: p.backlog(now, v), Waited: now - a.Arrived}
}

// retryLeast is the least advice to come back: about the time in which other routers' load becomes known here.
const retryLeast = 300 * time.Millisecond

// backlog gives the shortest backlog of all servers of a service that may get work.
func (p *Pool) backlog(now time.Duration, v *service) time.Duration {
	var least time.Duration
	found := false
	for _, b := range v.servers {
		if !p.takes(now, b) {
			continue
		}
		if t := v.rate.time(b.usage(now).Prefill); !found || t < least {
			least, found = t, true
		}
	}
	return least
}
