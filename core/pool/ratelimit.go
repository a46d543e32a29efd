package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"mangolug.org/core/digest"
)

const (
	// rateLimitMargin is the fraction of a server's rate limit that is used, since the routers' views may differ for a moment.
	rateLimitMargin = 0.9
	// minLimitSenders is the minimum number of routers that share a server's rate limit, and limitSendersPerRate how many more do for each
	// request per second: each may burst one request.
	minLimitSenders, limitSendersPerRate = 4, 2
	// evenShare is the fraction of a rate limit that is shared evenly; the rest is shared by the routers' demand.
	evenShare = 0.1
	// rateLimitTTL is how long a rate limit holds without news of it, as no request may reach a server whose limit is low.
	rateLimitTTL = 30 * time.Second
	// rateLimitRefresh is the time after which an unchanged rate limit is news again.
	rateLimitRefresh = time.Second
	// rateLimitTolerance is the fraction by which two statements of one limit may differ, as messages round it.
	rateLimitTolerance = 0.01
	// promptWeight is the weight of the newest request in the moving average of prompt tokens.
	promptWeight = 0.02
	// maxLimitsSent bounds the rate limits in one message to other routers.
	maxLimitsSent = 64
)

// rateLimit is what a server names as the rate of requests that it takes from all routers together.
type rateLimit struct {
	rate   float64       // requests per second; 0 for no limit
	at     time.Duration // time of the statement
	known  bool
	newsAt time.Duration // when the statement became news for the other routers
	sentAt time.Duration // when it was last sent to them
}

// ObserveRateLimit records the rate limit, in requests per second of all routers together, that the server of a run named in its response; 0
// means that it named none.
func (p *Pool) ObserveRateLimit(now time.Duration, r *Run, rate float64) {
	b := r.backend
	if rate == 0 && (b.advertised == nil || !b.advertised.rateLimit.known) {
		return
	}
	at := now
	if rate == 0 {
		at = r.sent // later requests may have been told of a limit
	}
	p.setRateLimit(now, b, rate, at)
}

// setRateLimit records a server's statement, unless a newer one is known.
func (p *Pool) setRateLimit(now time.Duration, b *backend, rate float64, at time.Duration) {
	s := p.advertisedBy(now, b)
	l := &s.rateLimit
	if l.known && at <= l.at {
		return
	}
	before := l.rate
	if math.Abs(rate-before) <= rateLimitTolerance*before {
		rate = before
	}
	if !l.known || rate != before || at-l.newsAt >= rateLimitRefresh {
		l.newsAt = now
	}
	l.rate, l.at, l.known = rate, at, true
	if v := p.service(b.Service); rate > 0 {
		v.limitedUntil = max(v.limitedUntil, at+rateLimitTTL)
	}
	switch {
	case rate == before:
	case rate == 0:
		p.emit(b, "unlimited", "it names no limit any more")
	default:
		p.emit(b, "limited", fmt.Sprintf("to %.1f requests per second of all routers", rate))
	}
	if before == 0 && rate > 0 { // from now on routers send at different times
		b.limiter.last, b.limiter.used = now-time.Duration(p.Random.Float64()*float64(interval(p.limitShare(now, b, rate)))), true
	}
}

// limit returns the rate limit in requests per second, or 0 if there is none.
func (s *advertised) limit(now time.Duration) float64 {
	if s == nil || now-s.rateLimit.at > rateLimitTTL {
		return 0
	}
	return s.rateLimit.rate
}

// limitShare returns this router's share of a server's rate limit, in requests per second. Where there are more routers than may burst at once,
// some share it evenly, the same ones in each router's view; otherwise all share it, mostly by their demand.
func (p *Pool) limitShare(now time.Duration, b *backend, rate float64) float64 {
	if !p.Joined {
		return 0
	}
	routers := len(p.Peers) + 1
	senders := minLimitSenders + int(limitSendersPerRate*rate)
	if routers > senders {
		if p.rankFor(b) >= senders {
			return 0
		}
		return rate * rateLimitMargin / float64(senders)
	}
	share := 1 / float64(routers)
	if fraction, ok := p.shares.demandFraction(now); ok && p.table != nil {
		if s := p.table.Service(b.Service); s != nil && s.Model {
			share = evenShare*share + (1-evenShare)*fraction
		}
	}
	return rate * rateLimitMargin * share
}

// demandFraction returns this router's fraction of the demand of all teams, or false if there is none.
func (s *shares) demandFraction(now time.Duration) (float64, bool) {
	if s.fractionAt > 0 && now-s.fractionAt < levelPeriod {
		return s.fraction, s.fraction >= 0
	}
	s.fractionAt, s.fraction = now, -1
	local, total := 0.0, 0.0
	for _, t := range s.teams {
		t.localDemand.decay(now)
		local += t.localDemand.value
		total += t.demand()
	}
	for _, r := range s.remoteTeams {
		total += float64(r.Demand)
	}
	if total <= 0 {
		return 0, false
	}
	s.fraction = local / total
	return s.fraction, true
}

// sendRate returns the rate in requests per second at which this router may send to a server, and false if it is not limited.
func (p *Pool) sendRate(now time.Duration, b *backend) (float64, bool) {
	rate, limited := 0.0, false
	if p.cold(now, b) {
		rate, limited = p.coldRate(b, p.coldLimit(b)), true
	}
	if limit := b.advertised.limit(now); limit > 0 {
		if share := p.limitShare(now, b, limit); !limited || share < rate {
			rate, limited = share, true
		}
	}
	return rate, limited
}

// CountProbe counts a call to the server of a run that is no request of a caller, but one for the server.
func (p *Pool) CountProbe(now time.Duration, r *Run) {
	if rate, limited := p.sendRate(now, r.backend); limited {
		r.backend.limiter.take(now, rate)
	}
}

// earliestRateLimited returns when a server that limits the rate of requests may get the last of the requests queued before a new one and that one
// itself, or false if a server that may get it limits no rate.
func (p *Pool) earliestRateLimited(now time.Duration, v *service, a *Request) (time.Duration, bool) {
	if now > v.limitedUntil {
		return 0, false
	}
	first, total, found := time.Duration(0), 0.0, false
	for _, b := range v.servers {
		if !p.eligible(now, b) || a.excludes(b) {
			continue
		}
		if b.advertised.limit(now) == 0 {
			return 0, false
		}
		found = true
		rate, _ := p.sendRate(now, b)
		if rate <= 0 {
			continue
		}
		total += rate
		if at := b.limiter.next(now, rate); first == 0 || at < first {
			first = at
		}
	}
	if total == 0 { // other routers send what the limits allow
		return max(now+rateLimitRefresh, a.sendBy+1), found
	}
	return first + time.Duration(float64(v.queue.ahead(a))/total*float64(time.Second)), true
}

// turns returns how many requests this router may send, before the time until which a request may wait, to servers that limit their rates.
func (p *Pool) turns(now time.Duration, v *service, a *Request) int {
	n := 0
	if now > v.limitedUntil {
		return n
	}
	for _, b := range v.servers {
		if b.advertised.limit(now) == 0 || !p.eligible(now, b) || a.excludes(b) {
			continue
		}
		if rate, _ := p.sendRate(now, b); rate > 0 {
			if left := a.sendBy - b.limiter.next(now, rate); left >= 0 {
				n += 1 + int(left/interval(rate))
			}
		}
	}
	return n
}

// anyUnlimited reports whether a server of a service takes new work at any rate. Beside it those that limit the number of requests serve callers
// best with the larger ones.
func (p *Pool) anyUnlimited(now time.Duration, v *service) bool {
	return slices.ContainsFunc(v.servers, func(b *backend) bool { return p.eligible(now, b) && b.advertised.limit(now) == 0 })
}

// RateLimits returns the servers' statements that the other routers should know. It is called once per period.
func (p *Pool) RateLimits(now time.Duration) []digest.RateLimit {
	var due []*backend
	for _, b := range p.servers {
		if b.advertised != nil && b.advertised.rateLimit.known && now-b.advertised.rateLimit.newsAt <= resendTime {
			due = append(due, b)
		}
	}
	slices.SortFunc(due, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.advertised.rateLimit.sentAt, b.advertised.rateLimit.sentAt), cmp.Compare(a.ID, b.ID))
	})
	list := make([]digest.RateLimit, 0, min(len(due), maxLimitsSent))
	for _, b := range due[:min(len(due), maxLimitsSent)] {
		l := &b.advertised.rateLimit
		l.sentAt = now
		list = append(list, digest.RateLimit{Server: b.incarnationID, Rate: l.rate, Age: now - l.at})
	}
	return list
}

// MergeRateLimits applies what another router knows of the servers' rate limits; the newest statement of each server counts.
func (p *Pool) MergeRateLimits(now time.Duration, list []digest.RateLimit) {
	p.init()
	if len(list) == 0 {
		return
	}
	byHash := make(map[uint32]digest.RateLimit, len(list))
	for _, l := range list {
		byHash[l.Server] = l
	}
	for _, b := range p.servers {
		if l, ok := byHash[b.incarnationID]; ok && l.Age <= rateLimitTTL {
			p.setRateLimit(now, b, l.Rate, now-l.Age)
		}
	}
}
