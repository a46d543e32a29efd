package pool

import "time"

const (
	// maxColdSenders is the maximum number of routers that share the rate of a cold server. Each sends its share of the rate
	// and may burst one request, so that together they exceed the rate by at most this number in any second.
	maxColdSenders = 4
	// coldRateMargin is the fraction of a cold server's rate that is used, since the routers' views may differ for a moment.
	coldRateMargin = 0.8
)

// rateLimiter is a token bucket with a burst of one request.
type rateLimiter struct {
	last time.Duration
	used bool
}

// interval returns the time between two requests at a rate in requests per second.
func interval(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// ready reports whether a request may be sent at a rate in requests per second.
func (m *rateLimiter) ready(now time.Duration, rate float64) bool {
	return rate > 0 && m.next(now, rate) <= now
}

// next returns when a request may be sent at a positive rate.
func (m *rateLimiter) next(now time.Duration, rate float64) time.Duration {
	if !m.used {
		return now
	}
	return max(now, m.last+interval(rate))
}

// take records that a request is sent; one that is sent too early delays the next one.
func (m *rateLimiter) take(now time.Duration, rate float64) { m.last, m.used = m.next(now, rate), true }

// coldRate returns this router's share of a cold server's rate, in requests per second. A few routers share the rate;
// rendezvous hashing selects the same ones in each router's view.
func (p *Pool) coldRate(b *backend, rate float64) float64 {
	if rate <= 0 || !p.Joined {
		return 0
	}
	if p.rankFor(b) >= maxColdSenders {
		return 0
	}
	return rate * coldRateMargin / float64(min(maxColdSenders, len(p.Peers)+1))
}

// rankFor returns this router's place, from 0, among those that may share a server's rate.
func (p *Pool) rankFor(b *backend) int {
	if b.rankedAt != p.peersVersion+1 {
		b.rank, b.rankedAt = p.routersAhead(b.hash), p.peersVersion+1
	}
	return b.rank
}
