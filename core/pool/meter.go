package pool

import (
	"time"

	"mangolug.org/core/route"
)

const (
	// maxColdSenders is the maximum number of routers that share the rate of a cold server. Each sends its share of the rate
	// and may burst one request, so that together they exceed the rate by at most this number in any second.
	maxColdSenders = 4
	// coldRateMargin is the fraction of a cold server's rate that is used, since the routers' views may differ for a moment.
	coldRateMargin = 0.8
)

// coldLimiter is a token bucket with a burst of one request.
type coldLimiter struct {
	last time.Duration
	used bool
}

// ready reports whether a request may be sent at a rate in requests per second.
func (m *coldLimiter) ready(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return false
	}
	return !m.used || now-m.last >= time.Duration(float64(time.Second)/rate)
}

// take records that a request is sent.
func (m *coldLimiter) take(now time.Duration) { m.last, m.used = now, true }

// coldRate returns this router's share of a cold server's rate, in requests per second. A few routers share the rate;
// rendezvous hashing selects the same ones in each router's view.
func (p *Pool) coldRate(b *backend, rate float64) float64 {
	if rate <= 0 || !p.Joined {
		return 0
	}
	ownHash := route.Mix(b.hash ^ hash64(p.Self))
	higher := 0
	for _, name := range p.Peers {
		if h := route.Mix(b.hash ^ hash64(name)); h > ownHash {
			higher++
		}
	}
	if higher >= maxColdSenders {
		return 0
	}
	return rate * coldRateMargin / float64(min(maxColdSenders, len(p.Peers)+1))
}
