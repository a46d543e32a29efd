package pool

import (
	"math"
	"slices"
	"time"

	"mangolug.org/core/route"
)

const (
	// backlogShare is the part of the tightest objective of a service for which a server may have work queued: beyond it
	// requests wait at routers, where they can still be ordered and refused.
	backlogShare = 0.6
	// patientShare is the part of that which requests with long objectives may use.
	patientShare = 0.5
	// rereadWeight is what reading a shared part once more counts besides its own time, since it delays all others; of a subject
	// on which many requests come, a copy at a second server serves all that follow, and it counts as much less.
	rereadWeight = 10
	// hotCount is how many requests on a subject, at one router within cacheMemory, make it hot: a subject of the usual days
	// has one or two.
	hotCount = 3
	// nearLeast is how many servers share the requests on a subject, and how many others are looked at when none of them has
	// room; from TestGrownFleet.
	nearLeast = 3
	// wholeSearch is up to how many servers of a service all are weighed: few routers send to few servers.
	wholeSearch = 16
	// memoryShare is the part of a server's KV cache that running requests may fill; the rest keeps shared parts.
	memoryShare = 0.9
	// abroad is what a server in another data centre counts behind one nearby.
	abroad = 4 * time.Millisecond
	// othersAge is how old other routers' summaries may be to count.
	othersAge = 1500 * time.Millisecond
)

// choice is a server that may be sent a request.
type choice struct {
	backend *backend
	unread  int64
	backlog time.Duration // work ahead of the request
	cost    time.Duration
	home    bool
	room    bool // short enough a queue to be sent to at once
}

// pick gives the best server for a request, and false if none may be sent to.
func (p *Pool) pick(now time.Duration, v *service, a *Ask) (choice, bool) {
	if a.Prompt == 0 {
		return p.best(now, v, a, v.servers, nil)
	}
	near := p.near(now, v, a)
	var home *backend
	if len(near) > 0 {
		home = near[0]
	}
	if len(v.servers) <= wholeSearch {
		return p.best(now, v, a, v.servers, home)
	}
	c, ok := p.best(now, v, a, near, home)
	if ok && c.room && now+c.backlog <= a.latest {
		return c, true
	}
	if !ok { // few may be sent to, as when all are cold and each takes work from a few routers only
		return p.best(now, v, a, v.servers, home)
	}
	far, found := p.best(now, v, a, p.sample(v, len(near)), home)
	if found && far.room && far.cost < c.cost {
		return far, true
	}
	return c, true
}

// best gives the cheapest of some servers for a request, and false if none of them may be sent to.
func (p *Pool) best(now time.Duration, v *service, a *Ask, servers []*backend, home *backend) (choice, bool) {
	weight := v.reread(now, a)
	best := choice{cost: math.MaxInt64}
	found := false
	for _, b := range servers {
		if !p.usable(now, b, a) {
			continue
		}
		c := p.weigh(now, v, b, a, b == home, weight)
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// sample gives so many servers by chance. All routers hear the same old news of loads, so that the best server of all would
// get what all of them send at once.
func (p *Pool) sample(v *service, n int) []*backend {
	some := make([]*backend, 0, n)
	for range n {
		some = append(some, v.servers[p.Random.IntN(len(v.servers))])
	}
	return some
}

// usable reports whether a server may be sent a request now, whatever its load.
func (p *Pool) usable(now time.Duration, b *backend, a *Ask) bool {
	if !p.takes(now, b) || a.tried(b.ID) {
		return false
	}
	if p.cold(now, b) {
		return b.meter.ready(now, p.coldRate(b, p.coldLimit(b)))
	}
	return true
}

// open reports whether operators and the server itself let it have new work.
func (p *Pool) open(b *backend) bool {
	return !b.gone && !b.Draining && !p.evacuated[b.DataCentre] && !b.said.leaves()
}

// takes reports whether a server may get new work now: it is open, and neither set aside nor silent by its own word.
func (p *Pool) takes(now time.Duration, b *backend) bool {
	return p.open(b) && !b.health.aside(now) && !b.said.silent(now)
}

// cold reports whether a server has to be warmed slowly; one whose data centre came back may have become cold meanwhile.
func (p *Pool) cold(now time.Duration, b *backend) bool {
	if now < b.coldUntil {
		return true
	}
	if p.table == nil {
		return false
	}
	s := p.table.Service(b.Service)
	at, ok := p.returned[b.DataCentre]
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

// near gives the servers that requests on the same subject go to, its home first, by rendezvous hashing: more of them for a
// subject on which many requests come, and none for requests without a subject.
func (p *Pool) near(now time.Duration, v *service, a *Ask) []*backend {
	subject := a.subject()
	if subject == 0 {
		return nil
	}
	n := nearLeast + int(v.heat.count(now, subject)/hotCount)
	type ranked struct {
		backend *backend
		hash    uint64
	}
	first := make([]ranked, 0, n+1)
	for _, b := range v.servers {
		if !p.takes(now, b) || p.cold(now, b) {
			continue
		}
		h := route.Mix(b.hash ^ subject)
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
	near := make([]*backend, len(first))
	for i, r := range first {
		near[i] = r.backend
	}
	return near
}

// reread gives how many times its own time reading a shared part of a request once more counts.
func (v *service) reread(now time.Duration, a *Ask) float64 {
	return 1 + rereadWeight/max(1, v.heat.count(now, a.subject())/hotCount)
}

// weigh tells what sending a request to a server would cost; weight is that of reading shared parts once more.
func (p *Pool) weigh(now time.Duration, v *service, b *backend, a *Ask, home bool, weight float64) choice {
	u := b.usage(now)
	if a.Prompt == 0 {
		return p.weighPlain(now, b, u)
	}
	c := choice{backend: b, unread: a.Prompt, home: home}
	if home {
		for _, part := range a.shared() {
			c.unread -= part.Tokens
		}
	} else {
		c.unread -= b.cache.kept(now, a.shared())
	}
	c.unread = max(1, c.unread)
	c.backlog = v.rate.time(u.Prefill)
	reread := c.unread - a.own()
	c.cost = c.backlog + time.Duration(weight*float64(v.rate.time(reread)))
	if b.DataCentre != p.DataCentre {
		c.cost += abroad
	}
	c.room = c.backlog <= p.bound(a) && p.fits(b, u, a)
	return c
}

// own gives the tokens of the prompt that no other request shares.
func (a *Ask) own() int64 {
	own := a.Prompt
	for _, part := range a.shared() {
		own -= part.Tokens
	}
	return max(0, own)
}

// fits reports whether a server has a slot and memory for one more request.
func (p *Pool) fits(b *backend, u Usage, a *Ask) bool {
	if b.Slots > 0 && u.Requests >= int64(b.Slots) {
		return false
	}
	if p.table == nil {
		return true
	}
	s := p.table.Service(b.Service)
	if s == nil || s.CacheTokens == 0 || u.Memory == 0 {
		return true
	}
	return float64(u.Memory+a.own()+a.Output) <= memoryShare*float64(s.CacheTokens)
}

// bound gives how much work a server may have queued for one more request to be sent: requests that can wait longer leave
// room for those that can't.
func (p *Pool) bound(a *Ask) time.Duration {
	tightest := p.tightest(a.Service)
	whole := backlogShare * float64(tightest)
	if length := a.Objective - a.Arrived; length > tightest {
		whole *= patientShare
	}
	return time.Duration(whole)
}

// tightest gives the shortest objective of all routes to a service.
func (p *Pool) tightest(name string) time.Duration {
	if p.table == nil {
		return 0
	}
	return p.table.Objective(name)
}
