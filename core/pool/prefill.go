package pool

import (
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/speed"
)

const (
	// maxAheadDivisor limits the samples to requests for which other requests had fewer tokens to be prefilled first than
	// the request's own tokens divided by it.
	maxAheadDivisor = 4
	// maxSharedDivisor limits the samples to requests of whose tokens fewer than their number divided by it are in shared segments,
	// since those may be cached without this router's knowledge. With them, rates of 25 to 74 tokens per ms were estimated where 15 to 27 were measured.
	maxSharedDivisor = 8
	// speedsPerPeriod is the number of computations of the servers' speeds, and of the evidence for the other routers, in the time
	// between two messages with evidence. With 3,200 servers one computation takes some milliseconds.
	speedsPerPeriod = 2
	// evidenceMaxAge is the age above which the other routers' evidence on a server's speed is ignored. It exceeds the longest time
	// between two messages that carry it.
	evidenceMaxAge = 15 * time.Second
	// tooSlowCost is the cost added to a server at which a request is late only because the server is slower than usual, and which
	// is chosen only if there is no other.
	tooSlowCost = 10 * time.Second
)

// serverSpeed is what is known of the speed of a server relative to its service.
type serverSpeed struct {
	record   speed.Record // of this router's own requests
	peers    speed.Evidence
	peersAt  time.Duration
	estimate float64 // 0 before the first computation
	moment   speed.Moment
}

// value returns the estimate of the speed.
func (s *serverSpeed) value() float64 {
	if s.estimate == 0 {
		return 1
	}
	return s.estimate
}

// usual returns a time of the service at the usual speed of this server.
func (s *serverSpeed) usual(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.value())
}

// prefillTime returns the estimated time in which a server prefills a number of tokens at its present speed.
func (p *Pool) prefillTime(now time.Duration, v *service, b *backend, tokens int64) time.Duration {
	return time.Duration(float64(b.speed.usual(v.prefill.Duration(tokens))) * b.speed.moment.Factor(now))
}

// observePrefill learns from the time to first event of a run.
func (p *Pool) observePrefill(now time.Duration, r *Run) {
	b, a := r.backend, r.request
	disturbed := r.prefillAhead >= r.PrefillTokens/maxAheadDivisor || b.loadAt >= r.sent && b.load.Waiting > 0
	if a.PromptTokens == 0 || a.Retry || r.Cold || disturbed || r.SharedPrefillTokens > r.PrefillTokens/maxSharedDivisor {
		return
	}
	v := p.service(b.Service)
	tokens, took := r.PrefillTokens+r.prefillAhead, now-r.sent
	expected := v.prefill.Duration(tokens)
	measured := took - v.prefill.Fixed()
	b.speed.moment.Check(now, r.sent, b.speed.usual(expected), measured)
	b.speed.record.Observe(now, expected, measured)
	v.prefill.Observe(tokens, b.speed.value(), took)
	p.updateSpeeds(now, v)
}

// speedPeriod returns the time between two computations of the servers' speeds.
func (p *Pool) speedPeriod() time.Duration {
	return digest.TimingsPeriod(len(p.servers)) / speedsPerPeriod
}

// updateSpeeds computes the speeds of a service's servers once per speedPeriod, from the evidence of all routers.
func (p *Pool) updateSpeeds(now time.Duration, v *service) {
	if now-v.speedsAt < p.speedPeriod() {
		return
	}
	v.speedsAt = now
	list := make([]speed.Evidence, len(v.servers))
	for i, b := range v.servers {
		list[i] = b.speed.record.Evidence(now)
		if b.speed.peersAt > 0 && now-b.speed.peersAt <= evidenceMaxAge {
			list[i].Add(b.speed.peers)
		}
	}
	for i, estimate := range speed.Relative(list) {
		v.servers[i].speed.estimate = estimate
	}
}

// timings returns this router's evidence on the speeds of all servers for the other routers, up to speedPeriod old. The map is not
// changed later.
func (p *Pool) timings(now time.Duration) map[uint32]digest.Timing {
	if p.ownTimings != nil && now-p.ownTimingsAt < p.speedPeriod() {
		return p.ownTimings
	}
	timings := make(map[uint32]digest.Timing)
	for id, b := range p.servers {
		e := b.speed.record.Evidence(now)
		if t := (digest.Timing{Expected: int64(e.Expected), Measured: int64(e.Measured)}); t.Expected > 0 && t.Measured > 0 {
			timings[nameID(id)] = t
		}
	}
	p.ownTimings, p.ownTimingsAt = timings, now
	return timings
}

// setPeerTimings applies the other routers' evidence. A sum without any leaves the last one in force up to evidenceMaxAge, as not each
// message carries it.
func (p *Pool) setPeerTimings(now time.Duration, timings map[uint32]digest.Timing) {
	if len(timings) > 0 {
		for id, b := range p.servers {
			if t, ok := timings[nameID(id)]; ok {
				b.speed.peers = speed.Evidence{Expected: float64(t.Expected), Measured: float64(t.Measured)}
				b.speed.peersAt = max(1, now)
			}
		}
	}
	for _, v := range p.services {
		p.updateSpeeds(now, v)
	}
}
