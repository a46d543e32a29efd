package plain

import "time"

const (
	// waitFraction is the fraction of the time that an objective leaves besides the work itself that requests wait at servers
	// on average while capacity is short. Fewer waiting requests leave slots idle, more make responses late when a server
	// slows down.
	waitFraction = 0.3
	// maxQueue is the maximum number of requests that a server is to have, as a multiple of its slots: servers refuse at 4 to 5.
	maxQueue = 2.5
	// settleTime is the time in which the queues of all servers are to return to their length. Reports are up to 250 ms old: with
	// a faster correction all routers would send too much and too little in turn.
	settleTime = 400 * time.Millisecond
	// balanceTime is the time in which the queue of one server is to return to its length. It is shorter, as a slow server fills
	// its queue within its slow time of 600 ms, and what it doesn't get goes to the others. The value is from
	// TestPlainServersShortOfCapacity.
	balanceTime = 100 * time.Millisecond
	// easeFraction is the fraction of what the servers can process below which the mean demand leaves capacity to spare.
	easeFraction = 0.92
	// maxJump is the multiple of what the servers can process above which the demand of half a second shows a shortage.
	maxJump = 1.1
	// maxEaseQueue is the multiple of the requests that servers are to have above which capacity is short at any demand: work takes
	// longer than it did before.
	maxEaseQueue = 2.5
	// minRetryAfter and maxRetryAfter bound Retry-After before jitter.
	minRetryAfter, maxRetryAfter = 300 * time.Millisecond, 4 * time.Second
	// retryHorizon is the time whose demand is taken to come before a caller that returns.
	retryHorizon = time.Second
)

// Server is the state of a server.
type Server struct {
	Slots int
	Load  float64 // running and waiting requests
	Known bool    // the load is known
	Limit float64 // requests per second that the server takes from all routers; 0 for any
	Speed *Speed  // may be nil
}

// Plan is how the requests to a service are to be sent now.
type Plan struct {
	Short      bool          // capacity doesn't suffice for all requests
	First      float64       // fraction of first tries to send
	Returning  float64       // fraction of the requests of returning callers to send
	Weights    []float64     // relative frequency of sending to each server; 0 for those that get nothing now
	Time       time.Duration // service time; 0 if unknown
	Demand     Demand        // demand at all routers
	Capacity   float64       // requests per second that the servers are to get from all routers
	RetryAfter time.Duration // for requests that are not sent, before jitter
}

// Plan returns how requests are to be sent to the servers that accept work. The objective is the time that the service's
// requests have.
func (s *Service) Plan(now time.Duration, servers []Server, objective time.Duration) Plan {
	p := Plan{First: 1, Returning: 1}
	t, ok := s.Time()
	if !ok || len(servers) == 0 {
		return p
	}
	p.Time, p.Demand = t, s.totalDemand(now)
	ends, load, queues := 0.0, 0.0, 0.0 // of all servers
	p.Weights = make([]float64, len(servers))
	for i, v := range servers {
		if v.Slots <= 0 {
			return Plan{First: 1, Returning: 1}
		}
		var queue float64
		p.Weights[i], queue = v.steady(t, objective)
		ends += v.limit(float64(v.Slots) / t.Seconds())
		correction := 0.0
		if v.Known {
			load, queues, correction = load+v.Load, queues+queue, queue-v.Load
		}
		p.Capacity += v.limit(max(0, p.Weights[i]+correction/settleTime.Seconds()))
		p.Weights[i] = v.limit(max(0, p.Weights[i]+correction/balanceTime.Seconds()))
	}
	if s.eased(p.Demand, ends) && load <= maxEaseQueue*queues {
		return p
	}
	if p.Demand.First > p.Capacity {
		p.First = p.Capacity / p.Demand.First
	}
	if rest := max(0, p.Capacity-p.Demand.First); p.Demand.Returning > rest {
		p.Returning = rest / p.Demand.Returning
	}
	if p.Short = p.First < 1 || p.Returning < 1; p.Short {
		s.shortAt, s.short = now, true
		ahead := (p.Demand.First + p.Demand.Returning) / max(p.Capacity, 1)
		p.RetryAfter = min(max(time.Duration(ahead*float64(retryHorizon)), minRetryAfter), maxRetryAfter)
	}
	return p
}

// steady returns the requests per second that a busy server ends, and how many requests it is to have.
func (v *Server) steady(t, objective time.Duration) (ends, queue float64) {
	slots, work := float64(v.Slots), t.Seconds()*v.Speed.factor(t)
	return slots / work, slots * min(maxQueue, 1+waitFraction*max(0, objective.Seconds()-work)/work)
}

// limit returns a rate, or the server's limit if that is less.
func (v *Server) limit(rate float64) float64 {
	if v.Limit > 0 {
		return min(v.Limit, rate)
	}
	return rate
}

// Send reports whether a request is to be sent. Each route has its own account, so that no route gets less than the others.
func (s *Service) Send(p Plan, route string, returning bool) bool {
	if !p.Short {
		return true
	}
	kind, fraction := firstTry, p.First
	if returning {
		kind, fraction = returned, p.Returning
	}
	c := s.route(route)
	c.credit[kind] += fraction
	if c.credit[kind] < 1 {
		return false
	}
	c.credit[kind]--
	return true
}
