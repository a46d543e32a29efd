package pool

import (
	"hash/fnv"
	"slices"
	"time"

	"mangolug.org/core/digest"
)

// Summary returns the summary of this router's usage and demand for the other routers.
func (p *Pool) Summary(now time.Duration) digest.Sum {
	p.init()
	s := digest.Sum{Routers: 1, Servers: make(map[uint32]digest.Use, len(p.servers)), Teams: make(map[uint32]digest.Rates, len(p.shares.teams))}
	for id, b := range p.servers {
		if b.localUsage != (Usage{}) {
			s.Servers[nameID(id)] = digest.Use(b.localUsage)
		}
	}
	s.Timings = p.timings(now)
	for name, t := range p.shares.teams {
		if r := t.report(now); r != (digest.Rates{}) {
			s.Teams[nameID(name)] = r
		}
	}
	p.addDemand(now, &s)
	return s
}

// SetPeers applies the summary of the other routers, unless it is unknown, and the list of live ones. While it is unknown, the
// last known summary stays in force up to peerMaxAge.
func (p *Pool) SetPeers(now time.Duration, s digest.Sum, known bool, routers []string) {
	p.init()
	if !slices.Equal(p.Peers, routers) {
		p.peersVersion++
	}
	p.expire(now)
	p.Peers, p.Joined = routers, len(routers) > 0 && now > joinDelay || now > aloneDelay
	p.setPeerTimings(now, s.Timings)
	switch {
	case known:
		p.peersAt = max(1, now)
	case p.peersKnown(now):
		return
	default:
		s = digest.Sum{}
	}
	for id, b := range p.servers {
		b.peerUsage, b.peerUsageAt = Usage(s.Servers[nameID(id)]), now
	}
	p.setPeerDemand(now, &s, known)
	p.shares.updatePeers(s, len(routers)+1)
}

// joinDelay is how long after its start a router that knows some peers may still miss others. The value is from
// TestRestartJoinsWithinASecond.
const joinDelay = time.Second

// aloneDelay is how long after its start a router that knows no peers assumes that it is alone.
const aloneDelay = 3 * time.Second

// nameID returns the ID of a name in a digest. A collision would only merge two loads.
func nameID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // hash.Hash.Write never returns an error
	return h.Sum32()
}

// DemandPart returns the demand at this router as a multiple of an even part of the fleet's, or 0 if there is none.
func (p *Pool) DemandPart(now time.Duration) float64 {
	fraction, _ := p.shares.demandFraction(now)
	return fraction * float64(len(p.Peers)+1)
}

// FairShares is a router's estimate of demand and service by team; rates are in tokens per second over the whole fleet.
type FairShares struct {
	Throughput, Demand, Served float64
	Level                      float64 // max-min fair level, above which a team is over its share; 0 if there is enough for all
	OverShare                  int     // number of teams whose demand exceeds the level
	Held                       float64 // demand rejected as over the teams' shares
	LeastTeam                  string  // name of the least served backlogged team; empty if there is none
	LeastDemand, LeastServed   float64
	MostTeam                   string // name of the most served team with requests at this router
	MostDemand, MostServed     float64
}

// FairShares returns the current estimate of the teams' shares. Of teams that use only other routers it includes just the
// totals.
func (p *Pool) FairShares(now time.Duration) FairShares {
	s := &p.shares
	b := FairShares{Throughput: p.throughput(), Level: s.level}
	for _, r := range s.remoteTeams {
		b.Demand += float64(r.Demand)
		b.Served += float64(r.Served)
		b.Held += float64(r.Held)
		if s.level > 0 && float64(r.Demand) > s.level {
			b.OverShare++
		}
	}
	for name, t := range s.teams {
		t.localDemand.decay(now)
		t.localServed.decay(now)
		t.localHeld.decay(now)
		demand, served := t.demand(), t.servedRate()
		b.Demand += demand
		b.Served += served
		b.Held += t.heldRate()
		if served > b.MostServed {
			b.MostTeam, b.MostDemand, b.MostServed = name, demand, served
		}
		if s.level > 0 && demand > s.level {
			b.OverShare++
		}
		if s.isBacklogged(demand, t.heldRate(), served) && (b.LeastTeam == "" || served < b.LeastServed) {
			b.LeastTeam, b.LeastDemand, b.LeastServed = name, demand, served
		}
	}
	return b
}
