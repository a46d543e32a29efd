package digest

// Use is the work that requests have at one backend server.
type Use struct {
	Requests int64
	Prefill  int64 // prompt tokens still to be read
	Memory   int64 // tokens of KV cache
}

// Sum adds up what routers have in use and what teams ask for; keys are hashes of names.
type Sum struct {
	Routers int64 // that are summed up
	Servers map[uint32]Use
	Teams   map[uint32]Rates
}

// Rates are what a team asks for and gets, in tokens a second.
type Rates struct {
	Asked, Served int64
}

// Add adds another sum.
func (s *Sum) Add(o Sum) { s.combine(o, 1) }

// Subtract takes another sum off; what would fall below 0 becomes 0, as the two may be of different moments.
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
	for id, r := range o.Teams {
		v := s.Teams[id]
		s.Teams[id] = Rates{Asked: max(0, v.Asked+sign*r.Asked), Served: max(0, v.Served+sign*r.Served)}
	}
}
