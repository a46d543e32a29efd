package pool

import (
	"time"

	"mangolug.org/core/even"
)

// ServiceBalance is how evenly the requests of a service are distributed over its servers, as far as this router knows.
type ServiceBalance struct {
	Service string
	even.Imbalance
	Age time.Duration // age of the other routers' requests; 0 if they are not known
}

// Balances returns the balance of each service with several servers that accept work.
func (p *Pool) Balances(now time.Duration) []ServiceBalance {
	var balances []ServiceBalance
	var loads []even.Load
	for _, v := range p.services {
		loads = loads[:0]
		for _, b := range v.servers {
			if p.eligible(now, b) && !p.cold(now, b) {
				loads = append(loads, even.Load{Server: b.ID, Requests: b.usage(now).Requests, Slots: b.Slots})
			}
		}
		if len(loads) < 2 {
			continue
		}
		s := ServiceBalance{Service: v.name, Imbalance: even.Measure(loads)}
		if p.peersKnown(now) {
			s.Age = now - p.peersAt + even.NewsDelay
		}
		balances = append(balances, s)
	}
	return balances
}
