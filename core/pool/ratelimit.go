package pool

import (
	"fmt"
	"time"
)

// ObserveRateLimit records the rate limit, in requests per second of all routers together, that the server of a run named in its response; 0
// means that it named none.
func (p *Pool) ObserveRateLimit(now time.Duration, r *Run, limit float64) {
	if limit == 0 && r.backend.advertised.limit() == 0 {
		return
	}
	s := p.advertisedBy(now, r.backend)
	if s.rateLimit == limit {
		return
	}
	s.rateLimit = limit
	if limit == 0 {
		p.emit(r.backend, "unlimited", "it names no limit any more")
		return
	}
	p.emit(r.backend, "limited", fmt.Sprintf("to %.1f requests per second of all routers", limit))
}

// limit returns the rate limit in requests per second, or 0 if there is none.
func (s *advertised) limit() float64 {
	if s == nil {
		return 0
	}
	return s.rateLimit
}
