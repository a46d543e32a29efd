package pool

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
	"mangolug.org/core/plain"
)

const (
	// localWeight is the weight of a server in the router's own data centre relative to one elsewhere, since traffic between
	// data centres is charged.
	localWeight = 4
	// loadWindow is the averaging window of a plain server's load: several times the age of the load reports.
	loadWindow = time.Second
	// maxPlainLoad is the maximum number of running and waiting requests of a plain server, as a multiple of its slots.
	maxPlainLoad = 2
	// loadMaxAge is the age above which a load reported by a server is ignored.
	loadMaxAge = 300 * time.Millisecond
	// freshLoadAge is the age up to which a load reported by a server is newer than the sums of the other routers. The larger of the
	// two would be too large on average.
	freshLoadAge = 100 * time.Millisecond
	// demandScale is the number of units for one request per second in which routers tell each other a plain service's demand:
	// most see a few requests a second.
	demandScale = 1000
	// minDemand is the demand in these units up to which it is not told: a rate that was never ends.
	minDemand = 10
)

// scorePlain orders the servers of a plain service by weighted random choice, with a higher weight for less busy servers.
// Load reports are older than most plain requests last, so the current load is unknown. The average is known, and its slow
// change keeps routers from sending all requests to one server and then all to another.
func (p *Pool) scorePlain(now time.Duration, b *backend, u Usage) candidate {
	busy := u.Requests
	if now-b.loadAt < loadMaxAge {
		busy = max(busy, int64(b.load.Running+b.load.Waiting))
	}
	slots := float64(max(1, b.Slots))
	use := b.meanLoad.observe(now, float64(busy)) / slots
	weight := 1 / ((1 + use) * (1 + use))
	if b.DataCentre == p.DataCentre {
		weight *= localWeight
	}
	// The minimum of exponential draws falls on each server with a probability proportional to its weight.
	return candidate{backend: b, cost: time.Duration(p.Random.ExpFloat64() / weight * float64(time.Second)), hasRoom: use < maxPlainLoad}
}

// isPlain reports whether a request needs a plain service. Requests to model services may come without the size of their prompt.
func (p *Pool) isPlain(a *Request) bool {
	if a.PromptTokens > 0 {
		return false
	}
	if p.table == nil {
		return true
	}
	s := p.table.Service(a.Service)
	return s == nil || !s.Model
}

// planPlain returns how the requests to a plain service are to be sent now, and the servers to which the plan's weights belong.
func (p *Pool) planPlain(now time.Duration, v *service, objective time.Duration) (plain.Plan, []*backend) {
	servers, eligible := make([]plain.Server, 0, len(v.servers)), make([]*backend, 0, len(v.servers))
	for _, b := range v.servers {
		if p.eligible(now, b) {
			servers, eligible = append(servers, p.plainServer(now, v, b)), append(eligible, b)
		}
	}
	if tightest := p.tightestObjective(v.name); tightest > 0 {
		objective = min(objective, tightest)
	}
	return v.plain.Plan(now, servers, objective), eligible
}

// plainServer returns the newest known state of a server. While the other routers' requests are unknown, only the server itself
// tells its load.
func (p *Pool) plainServer(now time.Duration, v *service, b *backend) plain.Server {
	s := plain.Server{Slots: b.Slots, Load: float64(b.usage(now).Requests), Known: p.peersKnown(now) || !v.plain.Shared(), Limit: b.advertised.limit(now), Speed: &b.plainSpeed}
	if age := now - b.loadAt; b.loadAt > 0 && (age < freshLoadAge || !s.Known && age < loadMaxAge) {
		s.Load, s.Known = float64(b.load.Running+b.load.Waiting), true
	}
	if limit := p.coldLimit(b); limit > 0 && p.cold(now, b) && (s.Limit == 0 || limit < s.Limit) {
		s.Limit = limit
	}
	return s
}

// peersKnown reports whether the summary of the other routers is recent enough to count.
func (p *Pool) peersKnown(now time.Duration) bool {
	return p.peersAt > 0 && now-p.peersAt <= peerMaxAge
}

// decidePlain decides on a request to a plain service while the service is short of capacity. It returns false if it is not, or
// if the request has to wait until a server that limits its rate may get it.
func (p *Pool) decidePlain(now time.Duration, v *service, a *Request) (Decision, bool) {
	plan, servers := p.planPlain(now, v, a.Objective-a.Arrived)
	if !a.admitted && !a.Retry && !v.plain.Send(plan, a.Route, a.returning) {
		return p.rejectPlain(now, a, plan), true
	}
	a.admitted = true
	if !plan.Short {
		return Decision{}, false
	}
	best, usable := candidate{}, false
	for i, b := range servers {
		if !p.usable(now, b, a) {
			continue
		}
		usable = true
		weight := plan.Weights[i]
		if weight <= 0 {
			continue
		}
		if b.DataCentre == p.DataCentre {
			weight *= localWeight
		}
		cost := time.Duration(p.Random.ExpFloat64() / weight * float64(time.Second))
		if best.backend == nil || cost < best.cost {
			best = candidate{backend: b, cost: cost, hasRoom: true}
		}
	}
	switch {
	case best.backend != nil:
		return p.send(now, a, best), true
	case usable:
		return p.rejectPlain(now, a, plan), true
	}
	return Decision{}, false
}

// rejectPlain returns a rejection for lack of capacity, whose Retry-After is spread so that callers don't return together.
func (p *Pool) rejectPlain(now time.Duration, a *Request, plan plain.Plan) Decision {
	retryAfter := plan.RetryAfter + time.Duration(p.Random.Float64()*float64(plan.RetryAfter))
	return Decision{Request: a, Reason: fleet.ReasonWouldMissDeadline, RetryAfter: retryAfter, Backlog: plan.Time, Waited: now - a.Arrived}
}

// Kinds of demand, each of which routers tell each other in an entry of its own among the loads of servers. Routers of the version
// before ignore these, as they know no such server.
const (
	firstDemand     = "first/"
	returningDemand = "returning/"
	endedDemand     = "ended/"
)

// PlainService is a router's estimate for a plain service that is short of capacity; rates are in requests per second over the whole
// fleet.
type PlainService struct {
	Name             string
	First, Returning float64       // demand: first tries, and callers that return after a refusal
	Ended            float64       // responses
	Capacity         float64       // requests that the servers are to get now
	Time             time.Duration // service time
}

// ShortServices returns the plain services that are short of capacity.
func (p *Pool) ShortServices(now time.Duration) []PlainService {
	var short []PlainService
	for name, v := range p.services {
		if v.plain.AtEase(now) {
			continue
		}
		if plan, _ := p.planPlain(now, v, p.tightestObjective(name)); plan.Short {
			d := plan.Demand
			short = append(short, PlainService{Name: name, First: d.First, Returning: d.Returning, Ended: d.Ended, Capacity: plan.Capacity, Time: plan.Time})
		}
	}
	slices.SortFunc(short, func(a, b PlainService) int { return strings.Compare(a.Name, b.Name) })
	return short
}

// addDemand adds the demand of the plain services at this router to its summary.
func (p *Pool) addDemand(now time.Duration, s *digest.Sum) {
	for name, v := range p.services {
		d := v.plain.Demand(now)
		for kind, rate := range map[string]float64{firstDemand: d.First, returningDemand: d.Returning, endedDemand: d.Ended} {
			if n := int64(rate * demandScale); n > minDemand {
				s.Servers[nameID(kind+name)] = digest.Use{Requests: n}
			}
		}
	}
}

// setPeerDemand records the demand of the plain services at the other routers, and what all routers run on their servers.
func (p *Pool) setPeerDemand(now time.Duration, s *digest.Sum, known bool) {
	for name, v := range p.services {
		rate := func(kind string) float64 { return float64(s.Servers[nameID(kind+name)].Requests) / demandScale }
		running := 0.0
		for _, b := range v.servers {
			running += float64(min(b.usage(now).Requests, int64(max(1, b.Slots))))
		}
		v.plain.SetPeers(now, plain.Demand{First: rate(firstDemand), Returning: rate(returningDemand), Ended: rate(endedDemand)}, known, running)
	}
}

// fullPlain reports whether a plain server that didn't run a request has just reported that all its slots are taken. It doesn't
// fail: if it were ejected, this router would take the capacity of the others for all that there is.
func fullPlain(now time.Duration, r *Run) bool {
	b := r.backend
	return r.request.PromptTokens == 0 && now-b.loadAt < loadMaxAge && b.load.Waiting > 0 && b.load.Running >= b.Slots
}
