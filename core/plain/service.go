package plain

import "time"

// Demand is what one or more routers see of a service's requests, per second.
type Demand struct {
	First     float64 // first tries
	Returning float64 // requests of callers that were refused before
	Ended     float64 // responses
}

// Service is what a router knows of a plain service. The zero value works.
type Service struct {
	Phase float64 // from 0 to 1, different at each router, so that routers don't send at the same time

	first, returning, ended meter

	peers   Demand        // of the other routers
	known   bool          // that demand is recent
	heardAt time.Duration // when it was first known
	share   float64       // this router's fraction of all first tries; 0 if unknown
	demand  ratio         // requests of all routers and the seconds in which they came
	times   serviceTimes
	callers map[string]*callers
	shortAt time.Duration // when capacity was last short
	short   bool          // it was short at least once
}

// demandWindow is the averaging window of the demand by which a shortage begins at little more than the capacity. By chance the
// demand of half a second differs by a tenth.
const demandWindow = 2 * time.Second

// Arrive records a request, and reports whether its caller seems to return after a refusal. The callerTime is how long the
// caller said that it waits; 0 if unknown.
func (s *Service) Arrive(now time.Duration, route string, callerTime time.Duration) bool {
	returning := s.route(route).observe(now, callerTime, s.AtEase(now))
	if returning {
		s.returning.observe(now)
	} else {
		s.first.observe(now)
	}
	return returning
}

// AtEase reports whether capacity has not been short for so long that no caller returns from a refusal any more.
func (s *Service) AtEase(now time.Duration) bool { return !s.short || now-s.shortAt > easeDelay }

func (s *Service) route(name string) *callers {
	if s.callers == nil {
		s.callers = make(map[string]*callers)
	}
	c := s.callers[name]
	if c == nil {
		c = &callers{credit: [2]float64{s.Phase, s.Phase}}
		s.callers[name] = c
	}
	return c
}

// Ended records a response: how long after the request was sent it came, and how many requests were at the server when it was
// sent.
func (s *Service) Ended(now time.Duration, v *Speed, took time.Duration, load float64, slots int) {
	s.ended.observe(now)
	turns := waitTurns(load, slots)
	s.times.observe(now, took, turns)
	if t, ok := s.Time(); ok {
		v.times.observe(now, timeWindow, took.Seconds(), turns*t.Seconds())
	}
}

// Demand returns the demand at this router.
func (s *Service) Demand(now time.Duration) Demand {
	return Demand{First: s.first.rate(now), Returning: s.returning.rate(now), Ended: s.ended.rate(now)}
}

// SetPeers records the demand at the other routers, and the requests that servers run for all routers at that time. The demand
// is unknown if the others' messages are too old.
func (s *Service) SetPeers(now time.Duration, d Demand, known bool, running float64) {
	s.known = known
	if !known {
		return
	}
	s.peers = d
	own, all := s.Demand(now), s.totalDemand(now)
	if all.First > 0 {
		s.share = own.First / all.First
	}
	elapsed := min(now-s.demand.at, time.Second).Seconds()
	s.demand.observe(now, demandWindow, (all.First+all.Returning)*elapsed, elapsed)
	if s.heardAt == 0 {
		s.heardAt = max(1, now)
	}
	if now-s.heardAt >= warmUp {
		s.times.observeSums(now, running, own.Ended+d.Ended)
	}
}

// Shared reports whether other routers were seen to get requests for the service.
func (s *Service) Shared() bool { return s.share > 0 && s.share < 1 }

// Time returns how long the servers work on a request, or false while that is unknown.
func (s *Service) Time() (time.Duration, bool) { return s.times.mean(s.known) }

// totalDemand returns the demand at all routers. While that of the others is unknown, this router's fraction of it is taken to
// be as it was.
func (s *Service) totalDemand(now time.Duration) Demand {
	d := s.Demand(now)
	switch {
	case s.known:
		d = Demand{First: d.First + s.peers.First, Returning: d.Returning + s.peers.Returning, Ended: d.Ended + s.peers.Ended}
	case s.share > 0:
		d = Demand{First: d.First / s.share, Returning: d.Returning / s.share, Ended: d.Ended / s.share}
	}
	return d
}

// eased reports whether the demand is less than what the servers can process, whatever queues chance makes.
func (s *Service) eased(d Demand, ends float64) bool {
	if d.First+d.Returning > maxJump*ends {
		return false
	}
	return s.demand.under == 0 || s.demand.over/s.demand.under < easeFraction*ends
}
