package pool

import "time"

const (
	// lapseGrace is the grace period after the platform's return in which live servers with lapsed entries can register again.
	lapseGrace = 2200 * time.Millisecond
	// suspendedShare is the largest share of a service's servers that get no work while their entries are lapsed. More than that have not left all at
	// once, and are needed.
	suspendedShare = 1.0 / 3
)

// Lapse records that the entry of a server is gone from the platform and may have expired in an outage, from which the platform came back at a given
// time, although the server is alive. The server is removed unless its entry comes back within a grace period.
func (p *Pool) Lapse(now time.Duration, id string, returnedAt time.Duration) {
	if b := p.servers[id]; b != nil {
		p.lapse(now, b, returnedAt, "its entry went while the platform was out of reach")
	}
}

func (p *Pool) lapse(now time.Duration, b *backend, returnedAt time.Duration, detail string) {
	if b.Draining || now >= returnedAt+lapseGrace {
		p.drop(now, b)
		p.emit(b, "gone", "removed by the platform")
		return
	}
	if b.lapsesAt > 0 {
		return
	}
	b.lapsesAt = returnedAt + lapseGrace
	p.emit(b, "lapsed", detail)
	v := p.service(b.Service)
	v.lapsed++
	v.setSuspended()
}

// setSuspended decides which servers with lapsed entries get work.
func (v *service) setSuspended() {
	if v.lapsed == 0 {
		return
	}
	v.lapsed = 0
	for _, b := range v.servers {
		if b.lapsesAt > 0 {
			v.lapsed++
		}
	}
	for _, b := range v.servers {
		b.suspended = b.lapsesAt > 0 && float64(v.lapsed) <= suspendedShare*float64(len(v.servers))
	}
}

// lapseOver reports whether a server is to be removed. During another outage those that get work stay, as their entries can't come back.
func (p *Pool) lapseOver(now time.Duration, b *backend) bool {
	return b.lapsesAt > 0 && now >= b.lapsesAt && (b.suspended || !p.sourceLost)
}

// extendLapses begins the grace periods anew, after another outage, of servers that get work.
func (p *Pool) extendLapses(now time.Duration) {
	for _, b := range p.servers {
		if b.lapsesAt > 0 && !b.suspended {
			b.lapsesAt = now + lapseGrace
		}
	}
}
