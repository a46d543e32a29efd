package pool

import (
	"time"

	"mangolug.org/core/route"
)

const (
	// coldSenders is how many routers share the rate of a cold server: with each sending its part and one request at once,
	// all together stay below the rate plus this number in any second.
	coldSenders = 4
	// coldMargin is the part of a cold server's rate that is used, as routers' views may differ for a moment.
	coldMargin = 0.8
)

// meter is a token bucket of one request.
type meter struct {
	last time.Duration
	used bool
}

// ready reports whether a request may be sent at this rate a second.
func (m *meter) ready(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return false
	}
	return !m.used || now-m.last >= time.Duration(float64(time.Second)/rate)
}

// take notes that a request is sent.
func (m *meter) take(now time.Duration) { m.last, m.used = now, true }

// coldRate gives this router's part of a cold server's rate, a second: a few routers, the same in each router's view, share it.
func (p *Pool) coldRate(b *backend, rate float64) float64 {
	if rate <= 0 || !p.Joined {
		return 0
	}
	mine := route.Mix(b.hash ^ hash64(p.Self))
	before := 0
	for _, name := range p.Routers {
		if h := route.Mix(b.hash ^ hash64(name)); h > mine {
			before++
		}
	}
	if before >= coldSenders {
		return 0
	}
	return rate * coldMargin / float64(min(coldSenders, len(p.Routers)+1))
}
