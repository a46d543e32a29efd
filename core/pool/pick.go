package pool

import (
	"math"
	"slices"
	"time"

	"mangolug.org/core/even"
	"mangolug.org/core/route"
)

const (
	// backlogFraction is the fraction of a service's tightest latency objective up to which a server may have a backlog.
	// Beyond it requests wait at routers, where they can still be reordered and rejected.
	backlogFraction = 0.6
	// longObjectiveFraction is the fraction of that backlog available to requests with longer objectives.
	longObjectiveFraction = 0.5
	// recomputeWeight is the weight of the time to prefill a shared part once more, in addition to that time itself, since
	// it delays all other requests. For a hot affinity key the weight is lower, as a copy at a second server serves all
	// later requests.
	recomputeWeight = 10
	// hotRequests is the number of requests with one affinity key, at one router within cacheTTL, that make the key hot.
	// Under normal load a key has one or two.
	hotRequests = 3
	// minAffinityServers is the minimum number of servers that share the requests with one affinity key, and the number of
	// other servers sampled when none of them has room. The value is from TestGrownFleet.
	minAffinityServers = 3
	// maxFullSearch is the maximum number of servers of a service up to which all are scored: few routers send to few
	// servers.
	maxFullSearch = 16
	// maxFullRouters is the maximum number of routers per server up to which all servers are scored. With more, all would
	// choose the same server by the same stale sums; the random part of the cost alone does not prevent that where servers
	// differ in speed. The value is from TestAllRoutersChooseTheSameServer.
	maxFullRouters = 3
	// cacheFraction is the fraction of a server's KV cache that running requests may fill; the rest keeps shared segments.
	cacheFraction = 0.9
	// remotePenalty is the cost added to servers in other data centres.
	remotePenalty = 4 * time.Millisecond
	// peerMaxAge is the age above which the summaries of other routers are ignored.
	peerMaxAge = 1500 * time.Millisecond
)

// candidate is a server to which a request may be sent.
type candidate struct {
	backend       *backend
	prefillTokens int64
	backlog       time.Duration // expected wait for a slot and for the prompts ahead of the request
	cost          time.Duration
	sendBy        time.Duration // until when the request can wait and still be in time at this server
	home          bool
	hasRoom       bool // the request can be sent at once: the backlog is short, and a slot and memory are free
}

// pick returns the best server for a request, or false if it may be sent to none.
func (p *Pool) pick(now time.Duration, v *service, a *Request) (candidate, bool) {
	if a.PromptTokens == 0 {
		return p.cheapest(now, v, a, v.servers, nil)
	}
	a.small = float64(a.PromptTokens) < v.meanPrompt && p.anyUnlimited(now, v)
	affinity := p.affinityServers(now, v, a)
	var home *backend
	if len(affinity) > 0 {
		home = affinity[0]
	}
	if len(v.servers) <= maxFullSearch && len(p.Peers) < maxFullRouters*len(v.servers) {
		return p.cheapest(now, v, a, v.servers, home)
	}
	c, ok := p.cheapest(now, v, a, affinity, home)
	if ok && c.hasRoom && now+c.backlog <= c.sendBy {
		return c, true
	}
	if !ok { // few servers are usable, as when all are cold and each accepts work from a few routers only
		return p.cheapest(now, v, a, v.servers, home)
	}
	sampled, found := p.cheapest(now, v, a, p.sample(v, len(affinity)), home)
	if found && sampled.hasRoom && sampled.cost < c.cost {
		return sampled, true
	}
	return c, true
}

// cheapest returns the server with the lowest cost for a request, or false if none is usable.
func (p *Pool) cheapest(now time.Duration, v *service, a *Request, servers []*backend, home *backend) (candidate, bool) {
	penalty := v.recomputePenalty(now, a)
	cheapest := candidate{cost: math.MaxInt64}
	found := false
	for _, b := range servers {
		if !p.usable(now, b, a) {
			continue
		}
		c := p.score(now, v, b, a, b == home, penalty)
		if !found || c.cost < cheapest.cost {
			cheapest, found = c, true
		}
	}
	return cheapest, found
}

// sample returns n servers chosen at random. All routers see the same stale loads, so the best server of all would receive
// the requests of all routers at once.
func (p *Pool) sample(v *service, n int) []*backend {
	servers := make([]*backend, 0, n)
	for range n {
		servers = append(servers, v.servers[p.Random.IntN(len(v.servers))])
	}
	return servers
}

// usable reports whether a request may be sent to a server now, whatever the server's load.
func (p *Pool) usable(now time.Duration, b *backend, a *Request) bool {
	if !p.eligible(now, b) || a.excludes(b) {
		return false
	}
	rate, limited := p.sendRate(now, b)
	if !limited {
		return true
	}
	if a.small && b.advertised.limit(now) > 0 { // a larger request may still come for this turn
		return b.limiter.ready(now-interval(rate), rate)
	}
	return b.limiter.ready(now, rate)
}

// accepting reports whether neither the operators nor the server itself have closed it for new work.
func (p *Pool) accepting(b *backend) bool {
	return !b.gone && !b.Draining && b.heldUntil == 0 && !b.suspended && !p.evacuated[b.DataCentre] && !b.advertised.isLeaving()
}

// eligible reports whether a server may get new work now: it accepts work, is not ejected, and has not asked routers to back
// off.
func (p *Pool) eligible(now time.Duration, b *backend) bool {
	return p.accepting(b) && !b.health.ejected(now) && !b.advertised.unavailable(now)
}

// cold reports whether a server has to be warmed up slowly. Servers of a data centre that was restored may have become cold
// in the meantime.
func (p *Pool) cold(now time.Duration, b *backend) bool {
	if now < b.coldUntil {
		return true
	}
	if p.table == nil {
		return false
	}
	s := p.table.Service(b.Service)
	at, ok := p.restoredAt[b.DataCentre]
	return s != nil && ok && s.ColdRate > 0 && now < at+s.ColdStart
}

func (p *Pool) coldLimit(b *backend) float64 {
	if p.table == nil {
		return 0
	}
	if s := p.table.Service(b.Service); s != nil {
		return s.ColdRate
	}
	return 0
}

// affinityServers returns the servers for the requests with one affinity key, by rendezvous hashing and the home first. A
// hot key has more of them, and a request without a key has none.
func (p *Pool) affinityServers(now time.Duration, v *service, a *Request) []*backend {
	key := a.affinityKey()
	if key == 0 {
		return nil
	}
	n := minAffinityServers + int(v.demand.count(now, key)/hotRequests)
	type ranked struct {
		backend *backend
		hash    uint64
	}
	first := make([]ranked, 0, n+1)
	for _, b := range v.servers {
		if !p.eligible(now, b) || p.cold(now, b) || a.excludes(b) {
			continue
		}
		h := route.Mix(b.hash ^ key)
		if len(first) == n && h <= first[n-1].hash {
			continue
		}
		at := len(first)
		for at > 0 && first[at-1].hash < h {
			at--
		}
		first = slices.Insert(first, at, ranked{b, h})
		first = first[:min(len(first), n)]
	}
	servers := make([]*backend, len(first))
	for i, r := range first {
		servers[i] = r.backend
	}
	return servers
}

// recomputePenalty returns the factor by which the time to prefill shared segments once more is multiplied.
func (v *service) recomputePenalty(now time.Duration, a *Request) float64 {
	return 1 + recomputeWeight/max(1, v.demand.count(now, a.affinityKey())/hotRequests)
}

// score returns the cost of sending a request to a server; penalty is the result of recomputePenalty.
func (p *Pool) score(now time.Duration, v *service, b *backend, a *Request, home bool, penalty float64) candidate {
	u := b.usage(now)
	if a.PromptTokens == 0 {
		c := p.scorePlain(now, b, u)
		c.sendBy = a.sendBy
		return c
	}
	c := candidate{backend: b, prefillTokens: a.PromptTokens, home: home, sendBy: a.sendBy}
	if home {
		for _, part := range a.sharedSegments() {
			c.prefillTokens -= part.Tokens
		}
	} else {
		c.prefillTokens -= b.cache.cachedTokens(now, a.sharedSegments())
	}
	c.prefillTokens = max(1, c.prefillTokens)
	load := p.view(now, v, b, u)
	c.backlog = p.prefillTime(now, v, b, u.Prefill) + load.SlotWait()
	recomputed := c.prefillTokens - a.uniqueTokens()
	c.cost = c.backlog + time.Duration(penalty*float64(p.prefillTime(now, v, b, recomputed)))
	p.scoreSpeed(now, v, a, &c)
	c.cost += load.Spread(p.Random.Float64())
	if b.DataCentre != p.DataCentre {
		c.cost += remotePenalty
	}
	c.hasRoom = c.backlog <= p.maxBacklog(a) && load.MayHaveRoom() && p.fits(b, u, a)
	return c
}

// scoreSpeed adds to a candidate by how much longer than usual, or shorter, its server takes for the tokens that every server has to
// prefill. It changes nothing at a server of the usual speed.
func (p *Pool) scoreSpeed(now time.Duration, v *service, a *Request, c *candidate) {
	unique := a.uniqueTokens()
	longer := p.prefillTime(now, v, c.backend, unique) - v.prefill.Duration(unique)
	c.cost += longer
	if a.overShare {
		return // it may wait for a part of the time only, whatever the server
	}
	c.sendBy -= longer
	latest := a.Objective - v.prefill.Fixed() - v.prefill.Duration(unique)
	if at := now + c.backlog; at <= latest && at > latest-longer {
		c.cost += tooSlowCost
		c.sendBy = min(c.sendBy, latest-longer)
	}
}

// uniqueTokens returns the number of prompt tokens that no other request shares.
func (a *Request) uniqueTokens() int64 {
	unique := a.PromptTokens
	for _, part := range a.sharedSegments() {
		unique -= part.Tokens
	}
	return max(0, unique)
}

// view returns what is known of the requests at a server; u is its usage.
func (p *Pool) view(now time.Duration, v *service, b *backend, u Usage) even.View {
	own := b.localUsage.Requests
	return even.View{
		Own: own, Others: u.Requests - own, Age: now - b.peerUsageAt + even.NewsDelay, Blind: len(p.Peers) > 0 && !p.peersKnown(now),
		Slots: b.Slots, Hold: b.speed.usual(v.hold.Mean()),
	}
}

// fits reports whether a server has memory for one more request.
func (p *Pool) fits(b *backend, u Usage, a *Request) bool {
	if p.table == nil {
		return true
	}
	s := p.table.Service(b.Service)
	if s == nil || s.CacheTokens == 0 || u.Memory == 0 {
		return true
	}
	return float64(u.Memory+a.uniqueTokens()+a.OutputTokens) <= cacheFraction*float64(s.CacheTokens)
}

// maxBacklog returns the maximum backlog of a server to which the request may be sent. Requests with longer objectives leave
// room for those that cannot wait.
func (p *Pool) maxBacklog(a *Request) time.Duration {
	tightest := p.tightestObjective(a.Service)
	limit := backlogFraction * float64(tightest)
	if budget := a.Objective - a.Arrived; budget > tightest {
		limit *= longObjectiveFraction
	}
	return time.Duration(limit)
}

// tightestObjective returns the shortest latency objective of all routes to a service.
func (p *Pool) tightestObjective(name string) time.Duration {
	if p.table == nil {
		return 0
	}
	return p.table.Objective(name)
}
