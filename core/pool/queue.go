package pool

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

const (
	// maxDispatchMisses is the maximum number of queued requests that find no room in one dispatch before the remaining ones
	// are skipped, unless their time to wait is over.
	maxDispatchMisses = 4
	// overShareWaitFraction is the fraction of the time to its objective that a request over its team's share may wait.
	overShareWaitFraction = 0.3
	// minOverShareWaitFraction is the minimum of that fraction, which falls as a team's demand rises. The value is from
	// TestHotTeamOnGrownFleet.
	minOverShareWaitFraction = 0.1
	// maxQueueLength is the maximum number of requests queued at one router for one service.
	maxQueueLength = 2000
)

// queue holds the requests that wait for a server of one service, the most urgent first.
type queue struct {
	requests []*Request
}

// compareRequests orders queued requests: those within their team's share first, then by the time at which they must be
// sent.
func compareRequests(a, b *Request) int {
	if a.overShare != b.overShare {
		if a.overShare {
			return 1
		}
		return -1
	}
	return int(a.sendBy - b.sendBy)
}

func (q *queue) add(a *Request) {
	at, _ := slices.BinarySearchFunc(q.requests, a, compareRequests)
	q.requests = slices.Insert(q.requests, at, a)
}

// ahead returns the number of queued requests that precede a request, which may be queued itself.
func (q *queue) ahead(a *Request) int {
	at, _ := slices.BinarySearchFunc(q.requests, a, compareRequests)
	return at
}

func (q *queue) remove(a *Request) bool {
	for i, o := range q.requests {
		if o == a {
			q.requests = slices.Delete(q.requests, i, i+1)
			return true
		}
	}
	return false
}

// Admit decides on a new request at once and returns true, or queues it and returns false; Dispatch then returns its decision
// later.
func (p *Pool) Admit(now time.Duration, a *Request) (Decision, bool) {
	p.init()
	v := p.service(a.Service)
	if decision, ok := p.rejectAtOnce(now, v, a); ok {
		return decision, true
	}
	if !a.observed {
		p.observeRequest(now, v, a)
	}
	a.observed = false // it counts again if it comes again
	if p.isPlain(a) && !a.Retry {
		a.returning = v.plain.Arrive(now, a.Route, a.CallerTime)
	}
	a.sendBy = p.latestSend(now, v, a)
	if len(v.queue.requests) == 0 || a.Retry || a.PromptTokens == 0 {
		if decision, ok := p.decide(now, v, a); ok {
			return decision, true
		}
	}
	if at, all := p.earliestRateLimited(now, v, a); all && at > a.sendBy {
		return p.rejectRateLimited(now, a, at), true
	}
	if len(v.queue.requests) >= maxQueueLength {
		return p.reject(now, v, a, fleet.ReasonQueueFull), true
	}
	v.queue.add(a)
	return Decision{}, false
}

// CountShed counts a request that was rejected before it reached the pool, since it is part of its team's demand all the
// same.
func (p *Pool) CountShed(now time.Duration, a *Request) {
	if a.PromptTokens > 0 {
		p.shares.observeDemand(now, a.Team, float64(a.cost()))
	}
}

// throughput returns the tokens per second that the known routers may share: the configured throughput of all model servers,
// or a fraction of it if only few of the routers are known; 0 if it is not configured.
func (p *Pool) throughput() float64 {
	if p.table == nil {
		return 0
	}
	all := p.table.Config.Limits.TokensPerSecond
	if p.shares.coverage > 0 {
		all *= p.shares.coverage
	}
	return all
}

// latestSend returns the time until which a request may wait and still meet its objective.
func (p *Pool) latestSend(now time.Duration, v *service, a *Request) time.Duration {
	budget := a.Objective - a.Arrived
	if a.overShare {
		return a.Arrived + time.Duration(v.maxWaitFraction(a)*float64(budget))
	}
	if t, known := v.plain.Time(); known && p.isPlain(a) && !v.plain.AtEase(now) {
		return min(a.Objective-min(budget/2, t+v.prefill.Fixed()), a.Deadline)
	}
	need := min(budget/2, v.prefill.Duration(a.uniqueTokens())+v.prefill.Fixed())
	return min(a.Objective-need, a.Deadline)
}

// maxWaitFraction returns the fraction of the time to its objective that a request over its team's share may wait, since
// serving it delays requests within their share. With many routers and servers the fraction falls as the team's demand
// exceeds its share, since no router sees in time what the others have just sent.
func (v *service) maxWaitFraction(a *Request) float64 {
	if !v.large() {
		return overShareWaitFraction
	}
	return max(minOverShareWaitFraction, overShareWaitFraction*a.shareFraction)
}

// decide sends a request if a server has room, or rejects it if its time to wait is over; it returns false if the request
// has to wait.
func (p *Pool) decide(now time.Duration, v *service, a *Request) (Decision, bool) {
	if decision, ok := p.rejectAtOnce(now, v, a); ok {
		return decision, true
	}
	if p.isPlain(a) {
		if decision, ok := p.decidePlain(now, v, a); ok {
			return decision, true
		}
	}
	c, ok := p.pick(now, v, a)
	overServed := a.overShare && p.overServed(now, v, a)
	inTime := ok && !overServed && now+c.backlog <= c.sendBy
	if c.hasRoom && (inTime || a.PromptTokens == 0) {
		return p.send(now, a, c), true
	}
	if !ok {
		if backoffEnd, all := p.earliestBackoffEnd(now, v, a); all && backoffEnd > a.sendBy {
			decision := p.reject(now, v, a, fleet.ReasonServersRest)
			decision.RetryAfter = backoffEnd - now + time.Duration(p.Random.Float64()*float64(maxBackoffJitter))
			return decision, true
		}
		if at, all := p.earliestRateLimited(now, v, a); all && at > a.sendBy {
			return p.rejectRateLimited(now, a, at), true
		}
	}
	if inTime || !ok && now < a.sendBy {
		return Decision{}, false
	}
	if !ok {
		return p.reject(now, v, a, fleet.ReasonNoServer), true
	}
	if !overServed && now+c.backlog <= a.sendBy && len(v.servers) > maxFullSearch {
		return Decision{}, false // it is late only since this server is slow, and others are sampled the next time
	}
	if !overServed && !a.small && v.queue.ahead(a) < p.turns(now, v, a) {
		return Decision{}, false
	}
	if !overServed && p.underHalfFull(now, c.backend) && p.mayWait(v, a, c) {
		return p.send(now, a, c), true
	}
	if overServed {
		p.shares.observeHeld(now, a.Team, float64(a.cost()))
	}
	if a.overShare {
		return p.reject(now, v, a, fleet.ReasonTeamShare), true
	}
	return p.reject(now, v, a, fleet.ReasonWouldMissDeadline), true
}

// overServed reports whether a request over its team's share has to leave capacity to others: its team is much better served than another one, or it
// would take more of the idle capacity than the team may get.
func (p *Pool) overServed(now time.Duration, v *service, a *Request) bool {
	return p.shares.overServed(now, a.Team) || v.large() && !p.shares.mayGetSpare(now, a.Team, a.lot)
}

// busyFraction is the fraction of the time to its objective by which a request that finds all servers busy is delayed. With 0.1 servers that have just
// one prompt ahead count as busy and capacity stays idle; with 0.5 requests within their shares come late.
const busyFraction = 0.25

// idleFraction returns the fraction of the capacity of a service's servers that is idle, as far as known: servers without prompts ahead and with free
// slots are idle, those that delay a request by busyFraction are not.
func (p *Pool) idleFraction(now time.Duration, v *service, a *Request) float64 {
	limit := busyFraction * float64(a.Objective-a.Arrived)
	idle, servers := 0.0, 0
	for _, b := range v.servers {
		if !p.eligible(now, b) || p.cold(now, b) {
			continue
		}
		servers++
		u := b.usage(now)
		if b.Slots > 0 && u.Requests >= int64(b.Slots) {
			continue
		}
		idle += max(0, 1-float64(p.prefillTime(now, v, b, u.Prefill))/max(1, limit))
	}
	if servers == 0 {
		return 0
	}
	return idle / float64(servers)
}

// mayWait reports whether a request may add to a server's backlog although it will be late. In a large service one over its team's share may not, once
// the backlog is longer than requests may cause that are in time: it would delay those within their shares.
func (p *Pool) mayWait(v *service, a *Request, c candidate) bool {
	return !a.overShare || !v.large() || c.backlog <= p.maxBacklog(a)
}

// large reports whether a service has so many servers that few of its routers know in time what the others send.
func (v *service) large() bool { return len(v.servers) > maxFullSearch }

// underHalfFull reports whether less than half of a server is in use: rejecting a request would waste its capacity.
func (p *Pool) underHalfFull(now time.Duration, b *backend) bool {
	return b.Slots > 0 && b.usage(now).Requests*2 < int64(b.Slots) && b.load.Waiting == 0
}

// Dispatch decides on the queued requests, and returns the decisions.
func (p *Pool) Dispatch(now time.Duration) []Decision {
	var decisions []Decision
	for _, v := range p.services {
		decisions = append(decisions, p.dispatch(now, v)...)
	}
	return decisions
}

func (p *Pool) dispatch(now time.Duration, v *service) []Decision {
	var decisions []Decision
	misses := 0
	kept := v.queue.requests[:0]
	for _, a := range v.queue.requests {
		if misses >= maxDispatchMisses && now < a.sendBy {
			kept = append(kept, a)
			continue
		}
		verdict, ok := p.decide(now, v, a)
		if ok {
			decisions = append(decisions, verdict)
			continue
		}
		misses++
		kept = append(kept, a)
	}
	clear(v.queue.requests[len(kept):])
	v.queue.requests = kept
	return decisions
}

// Waiting returns the number of requests queued at this router.
func (p *Pool) Waiting() int {
	n := 0
	for _, v := range p.services {
		n += len(v.queue.requests)
	}
	return n
}

// Cancel removes a queued request, and reports whether it was queued.
func (p *Pool) Cancel(a *Request) bool { return p.service(a.Service).queue.remove(a) }

// reject returns a rejection whose Retry-After is the time in which the backlog of the best server becomes short again, plus
// random jitter so that callers do not retry all at once.
func (p *Pool) reject(now time.Duration, v *service, a *Request, reason fleet.Reason) Decision {
	backlog := p.shortestBacklog(now, v)
	retryAfter := backlog/2 + minRetryAfter
	retryAfter += time.Duration(p.Random.Float64() * float64(retryAfter))
	return Decision{Request: a, Reason: reason, RetryAfter: retryAfter, Backlog: backlog, Waited: now - a.Arrived}
}

// rejectRateLimited returns a rejection for a request that no server takes in time, as all limit their rates; the first one does at the given time.
func (p *Pool) rejectRateLimited(now time.Duration, a *Request, at time.Duration) Decision {
	retryAfter := at - now + time.Duration(p.Random.Float64()*float64(maxBackoffJitter))
	return Decision{Request: a, Reason: fleet.ReasonServersLimited, RetryAfter: retryAfter, Waited: now - a.Arrived}
}

// rejectAtOnce rejects a request that no server can serve by its deadline, however long it waits.
func (p *Pool) rejectAtOnce(now time.Duration, v *service, a *Request) (Decision, bool) {
	if s := p.poisonedBy(now, v, a); s != nil {
		return p.rejectPoisoned(now, a, s), true
	}
	if p.versionGone(v, a) {
		retryAfter := serverReturn + time.Duration(p.Random.Float64()*float64(serverReturn))
		return Decision{Request: a, Reason: fleet.ReasonVersionGone, RetryAfter: retryAfter, Waited: now - a.Arrived}, true
	}
	return Decision{}, false
}

// serverReturn is the Retry-After before jitter for a stream whose version has no server left: one that only ended may be back by then.
const serverReturn = time.Second

// rejectPoisoned returns a rejection whose Retry-After is the time until the subject may be tried again.
func (p *Pool) rejectPoisoned(now time.Duration, a *Request, s *suspect) Decision {
	retryAfter := max(minRetryAfter, s.trialDue()-now)
	retryAfter += time.Duration(p.Random.Float64() * float64(minRetryAfter))
	reason := fleet.ReasonPoisonedPrompt
	if s.kind == SubjectRequest {
		reason = fleet.ReasonPoisonedRequest
	}
	return Decision{Request: a, Reason: reason, RetryAfter: retryAfter, Waited: now - a.Arrived}
}

// minRetryAfter is the minimum Retry-After before jitter: about the time in which other routers' load becomes known here.
const minRetryAfter = 300 * time.Millisecond

// shortestBacklog returns the shortest backlog among the eligible servers of a service.
func (p *Pool) shortestBacklog(now time.Duration, v *service) time.Duration {
	var shortest time.Duration
	found := false
	for _, b := range v.servers {
		if !p.eligible(now, b) {
			continue
		}
		if t := p.prefillTime(now, v, b, b.usage(now).Prefill); !found || t < shortest {
			shortest, found = t, true
		}
	}
	return shortest
}
