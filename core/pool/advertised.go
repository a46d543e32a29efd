package pool

import "time"

const (
	// maxBackoffJitter is the maximum random jitter that each router adds to a server's back-off period, so that not all
	// return at its end.
	maxBackoffJitter = 500 * time.Millisecond
	// backoffJitterFraction is the maximum of the jitter as a fraction of the back-off period.
	backoffJitterFraction = 0.25
	// advertisedTTL is how long what a server advertised outlives its entry at the platform, which may lapse and return.
	advertisedTTL = 10 * time.Minute
	// maxAdvertised is the number of servers above which those that advertised nothing for advertisedTTL are forgotten.
	maxAdvertised = 1024
)

// incarnation identifies one start of a server, as opposed to earlier and later ones at the same address.
type incarnation struct {
	id, address string
	startMillis int64
}

func (s *Server) incarnation() incarnation { return incarnation{s.ID, s.Address, s.StartMillis} }

// advertised is what an incarnation of a server advertised to this router; it takes precedence over the platform's entry.
type advertised struct {
	leaving      bool
	backoffUntil time.Duration // no requests until then
	probing      bool          // after a back-off, one request at a time probes the server until one succeeds
	probe        *Run          // the probing run; nil for none
	rateLimit    rateLimit
	updatedAt    time.Duration // time of the latest advertisement
}

// MarkLeaving records that the server of a run advertised that it is about to stop: it gets no more requests from this router.
func (p *Pool) MarkLeaving(now time.Duration, r *Run) {
	s := p.advertisedBy(now, r.backend)
	if !s.leaving {
		s.leaving = true
		p.emit(r.backend, "leaving", "it says so itself")
	}
}

// BackOff records that the server of a run asked this router to back off for a while.
func (p *Pool) BackOff(now time.Duration, r *Run, duration time.Duration) {
	s := p.advertisedBy(now, r.backend)
	jitter := min(maxBackoffJitter, time.Duration(backoffJitterFraction*float64(duration)))
	until := now + duration + time.Duration(p.Random.Float64()*float64(jitter))
	s.probing, s.probe = true, nil
	if until > s.backoffUntil {
		s.backoffUntil = until
		p.emit(r.backend, "rests", "for "+duration.String())
	}
}

// advertisedBy returns the record of what the incarnation of a backend advertised, and creates it if necessary.
func (p *Pool) advertisedBy(now time.Duration, b *backend) *advertised {
	p.init()
	s := p.advertised[b.incarnation()]
	if s == nil {
		if len(p.advertised) >= maxAdvertised {
			p.pruneAdvertised(now)
		}
		s = &advertised{}
		p.advertised[b.incarnation()] = s
	}
	b.advertised, s.updatedAt = s, now
	if current := p.servers[b.ID]; current != nil && current.incarnation() == b.incarnation() { // its entry was removed and added again since
		current.advertised = s
	}
	return s
}

// pruneAdvertised removes old records whose back-off period is over.
func (p *Pool) pruneAdvertised(now time.Duration) {
	for key, s := range p.advertised {
		if now-s.updatedAt > advertisedTTL && now > s.backoffUntil {
			delete(p.advertised, key)
		}
	}
}

// unavailable reports whether the server may get no requests now, by what it advertised.
func (s *advertised) unavailable(now time.Duration) bool {
	return s.isLeaving() || s.backingOff(now) || s != nil && s.probing && s.probe != nil && !s.probe.ended
}

func (s *advertised) isLeaving() bool { return s != nil && s.leaving }

func (s *advertised) backingOff(now time.Duration) bool { return s != nil && now < s.backoffUntil }

// recordSend records a run, which becomes the probe if a probe is due.
func (s *advertised) recordSend(r *Run) {
	if s != nil && s.probing && s.probe == nil {
		s.probe = r
	}
}

// recordEnd records the end of a run, or its first event; succeeded means that the server began to respond.
func (s *advertised) recordEnd(now time.Duration, r *Run, succeeded bool) {
	if s == nil || !s.probing || s.probe != r && !succeeded {
		return
	}
	s.probe = nil
	if succeeded && now >= s.backoffUntil {
		s.probing = false
	}
}

// earliestBackoffEnd returns the earliest end of the back-off periods of a service's servers, or false if a server that may
// get the request is not in one.
func (p *Pool) earliestBackoffEnd(now time.Duration, v *service, a *Request) (time.Duration, bool) {
	var earliest time.Duration
	for _, b := range v.servers {
		if !p.accepting(b) || a.excludes(b) {
			continue
		}
		if !b.advertised.backingOff(now) {
			return 0, false
		}
		if earliest == 0 || b.advertised.backoffUntil < earliest {
			earliest = b.advertised.backoffUntil
		}
	}
	return earliest, earliest > 0
}
