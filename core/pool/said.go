package pool

import "time"

const (
	// restSpread bounds by how much each router lengthens a server's rest by chance, so that not all come back at its end.
	restSpread = 500 * time.Millisecond
	// restSpreadShare is the part of the rest that this is at most.
	restSpreadShare = 0.25
	// saidMemory is how long what a server said of itself outlasts its entry at the platform, which may lapse and come back.
	saidMemory = 10 * time.Minute
	// saidLimit is the number of remembered servers above which those silent for saidMemory are forgotten.
	saidLimit = 1024
)

// start tells one start of a server from those before and after at the same address.
type start struct {
	id, address string
	born        int64
}

func (s *Server) start() start { return start{s.ID, s.Address, s.Born} }

// said is what a server told this router of itself; it binds whatever the platform tells.
type said struct {
	leaving bool
	rest    time.Duration // until when it wants nothing
	trial   bool          // after a rest one request at a time tries it, until one is served
	trying  *Run          // the one that does
	at      time.Duration // when it told something last
}

// Leaving takes in that the server of a run says that it is about to end: it gets nothing more from this router.
func (p *Pool) Leaving(now time.Duration, r *Run) {
	s := p.hear(now, r.backend)
	if !s.leaving {
		s.leaving = true
		p.tell(r.backend, "leaving", "it says so itself")
	}
}

// Rest takes in that the server of a run wants nothing for a while.
func (p *Pool) Rest(now time.Duration, r *Run, length time.Duration) {
	s := p.hear(now, r.backend)
	spread := min(restSpread, time.Duration(restSpreadShare*float64(length)))
	until := now + length + time.Duration(p.Random.Float64()*float64(spread))
	s.trial, s.trying = true, nil
	if until > s.rest {
		s.rest = until
		p.tell(r.backend, "rests", "for "+length.String())
	}
}

// hear gives what is kept of a server's own words, for the start of it that a run was sent to.
func (p *Pool) hear(now time.Duration, b *backend) *said {
	p.init()
	s := p.said[b.start()]
	if s == nil {
		if len(p.said) >= saidLimit {
			p.forget(now)
		}
		s = &said{}
		p.said[b.start()] = s
	}
	b.said, s.at = s, now
	if again := p.servers[b.ID]; again != nil && again.start() == b.start() { // its entry went and came back since
		again.said = s
	}
	return s
}

// forget drops what was said long ago.
func (p *Pool) forget(now time.Duration) {
	for of, s := range p.said {
		if now-s.at > saidMemory && now > s.rest {
			delete(p.said, of)
		}
	}
}

// silent reports a server that may get nothing now, by its own word.
func (s *said) silent(now time.Duration) bool {
	return s.leaves() || s.rests(now) || s != nil && s.trial && s.trying != nil && !s.trying.ended
}

func (s *said) leaves() bool { return s != nil && s.leaving }

func (s *said) rests(now time.Duration) bool { return s != nil && now < s.rest }

// sent notes a run, which may be the one that tries the server after its rest.
func (s *said) sent(r *Run) {
	if s != nil && s.trial && s.trying == nil {
		s.trying = r
	}
}

// ended takes in how a run ended; served means that the server did what it was asked.
func (s *said) ended(now time.Duration, r *Run, served bool) {
	if s == nil || !s.trial || s.trying != r && !served {
		return
	}
	s.trying = nil
	if served && now >= s.rest {
		s.trial = false
	}
}

// restEnds gives when the first server of a service wants work again, if all that may be sent a request rest; else false.
func (p *Pool) restEnds(now time.Duration, v *service, a *Ask) (time.Duration, bool) {
	var first time.Duration
	for _, b := range v.servers {
		if !p.open(b) || a.tried(b.ID) {
			continue
		}
		if !b.said.rests(now) {
			return 0, false
		}
		if first == 0 || b.said.rest < first {
			first = b.said.rest
		}
	}
	return first, first > 0
}
