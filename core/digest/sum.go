package digest

// Use is the load of requests on one backend server.
type Use struct {
	Requests int64
	Prefill  int64 // prompt tokens that still await prefill
	Memory   int64 // KV cache, in tokens
}

// Timing is the evidence on the speed of one backend server: how long requests were expected to take at the speed of its service, and
// how long they took, in milliseconds.
type Timing struct {
	Expected, Measured int64
}

// Sum is the total usage of routers and offered load of teams. Keys are hashes of names.
type Sum struct {
	Routers int64 // number of routers in the sum
	Servers map[uint32]Use
	Teams   map[uint32]Rates
	Timings map[uint32]Timing // by server; nil in most messages, as they change slowly
}

// Rates holds a team's offered load and its throughput, in tokens per second.
type Rates struct {
	Demand, Served int64
	Held           int64 // demand rejected as over the team's share
}

// Add adds another sum.
func (s *Sum) Add(o Sum) { s.combine(o, 1) }

// Subtract subtracts another sum. Negative results become 0, as the two sums may be from different times.
func (s *Sum) Subtract(o Sum) { s.combine(o, -1) }

func (s *Sum) combine(o Sum, sign int64) {
	s.Routers = max(0, s.Routers+sign*o.Routers)
	if s.Servers == nil {
		s.Servers = make(map[uint32]Use, len(o.Servers))
	}
	if s.Teams == nil {
		s.Teams = make(map[uint32]Rates, len(o.Teams))
	}
	for id, u := range o.Servers {
		v := s.Servers[id]
		s.Servers[id] = Use{
			Requests: max(0, v.Requests+sign*u.Requests),
			Prefill:  max(0, v.Prefill+sign*u.Prefill),
			Memory:   max(0, v.Memory+sign*u.Memory),
		}
	}
	if s.Timings == nil && len(o.Timings) > 0 {
		s.Timings = make(map[uint32]Timing, len(o.Timings))
	}
	for id, t := range o.Timings {
		v := s.Timings[id]
		s.Timings[id] = Timing{Expected: max(0, v.Expected+sign*t.Expected), Measured: max(0, v.Measured+sign*t.Measured)}
	}
	for id, r := range o.Teams {
		v := s.Teams[id]
		s.Teams[id] = Rates{Demand: max(0, v.Demand+sign*r.Demand), Served: max(0, v.Served+sign*r.Served), Held: max(0, v.Held+sign*r.Held)}
	}
}
