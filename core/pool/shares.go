package pool

import (
	"math"
	"slices"
	"time"

	"mangolug.org/core/digest"
)

const (
	// shareWindow is the window over which the demand and the service of teams are measured: a team that gets too much must
	// be limited within the six seconds over which users compare teams.
	shareWindow = time.Second
	// shareBurst is the maximum burst of a team, in seconds of its share; each router gets a fraction of it.
	shareBurst = 0.5
)

// teamShare is one team's demand and service in the fleet.
type teamShare struct {
	localDemand rate    // demand at this router, in tokens per second
	peerDemand  float64 // demand at the other routers, in tokens per second
	localServed rate    // service at this router, in tokens per second
	localHeld   rate    // demand rejected at this router as over the team's share, in tokens per second
	peerHeld    float64 // the same at the other routers

	peerServed    float64    // service at the other routers, in tokens per second
	reported      [2]float64 // demand at this router in the latest report to peers, and in the one before
	localFraction float64    // this router's fraction of the team's demand, as the peers know it
	shareCredit   float64    // tokens that the team may still demand here within its share
	allowance     float64    // tokens that the team may get here while it is limited in favour of another; negative after a large request
	allowanceAt   time.Duration
}

// demand returns the tokens per second that the team demands of the fleet, and servedRate those that it gets.
func (t *teamShare) demand() float64     { return t.localDemand.value + t.peerDemand }
func (t *teamShare) servedRate() float64 { return t.localServed.value + t.peerServed }

// heldRate returns the tokens per second that are rejected as over the team's share.
func (t *teamShare) heldRate() float64 { return t.localHeld.value + t.peerHeld }

// counted returns how much of the demand that is rejected as over a team's share is no reason to hold others back. Among many routers it is all: teams that
// hold each other back would get less and less while servers are idle. Few routers know soon enough what the others send.
func (s *shares) counted(held float64) float64 {
	if s.routers <= maxFullSearch {
		return 0
	}
	return held
}

// shares divides the fleet's throughput between teams by max-min fairness.
type shares struct {
	teams           map[string]*teamShare
	remoteTeams     []digest.Rates // teams with requests at other routers only
	routers         int            // number of live routers, including this one
	coverage        float64        // fraction of the throughput that the known routers may use; 0 for all
	largestRequest  float64        // decaying maximum of the tokens of a request
	level           float64        // tokens per second above which a team is over its share; 0 for none
	idle            float64        // moving fraction of the servers' capacity that is idle, from 0 to 1
	spare           float64        // capacity that is given away while all servers are idle, as a multiple of the throughput
	spareLevel      float64        // tokens per second that each team may get while idle capacity is given away; 0 for no limit
	backlogged      int            // number of teams that demand more than they get
	leastServed     float64        // tokens per second of the least served of these
	secondServed    float64        // tokens per second of the second least served of these
	leastServedTeam *teamShare     // the least served one if it has requests at this router; else nil
	levelAt         time.Duration
	fraction        float64 // this router's fraction of all demand; negative if there is none
	fractionAt      time.Duration
}

// overServedFactor is the factor by which a team may be better served than the least served backlogged team, before it has
// to leave capacity to it. Users consider teams unequally served from a factor of 2.
const overServedFactor = 1.6

// backloggedFraction is the fraction of its demand below which a team's service makes it count as backlogged. Users consider
// teams unequally served below one half; the demand seen by a router is higher than the real one, since rejected callers
// retry.
const backloggedFraction = 0.6

// isBacklogged reports whether a team with a demand and a service in tokens per second needs more. A team may be within its
// share of the fleet and still be backlogged, if the routers that its callers use cannot serve it; then it has to miss more
// than a few large requests. The held part of its demand is rejected as over its share.
func (s *shares) isBacklogged(demand, held, served float64) bool {
	if s.level == 0 || demand <= s.level {
		served += slackRequests * s.largestRequest / shareWindow.Seconds()
	}
	return served < backloggedFraction*(demand-s.counted(held))
}

// slack returns the tokens per second by which teams may differ because of single large requests.
func (s *shares) slack() float64 { return slackRequests * s.largestRequest / slackWindow.Seconds() }

// overServed reports whether a team is much better served than another one that is backlogged: free capacity goes to that
// one first. The team's allowance is also divided among the routers in proportion to its demand in their latest reports.
// Reports of what the other routers have just sent arrive too late, so that without the division all routers would admit the
// team at once; and fractions of the current demand would add up to more than one while the demand rises suddenly.
func (s *shares) overServed(now time.Duration, name string) bool {
	team := s.team(name)
	least, ok := s.leastServedOther(team)
	if !ok {
		return false
	}
	team.localDemand.decay(now)
	team.localServed.decay(now)
	allowed := s.maxRate(least)
	switch {
	case team.servedRate() <= least, team.demand() <= allowed:
		return false
	case team.servedRate() > allowed:
		return true
	}
	fraction := team.localFraction + 1/float64(max(1, s.routers))
	if demand := team.demand(); demand > 0 {
		fraction = min(fraction, team.localDemand.value/demand)
	}
	refill := allowed * fraction * (now - team.allowanceAt).Seconds()
	team.allowance, team.allowanceAt = min(team.allowance+refill, allowed*fraction*allowanceWindow.Seconds()), now
	return team.allowance <= 0
}

// leastServedOther returns the tokens per second of the least served backlogged team other than the given one, or false if
// there is none.
func (s *shares) leastServedOther(team *teamShare) (float64, bool) {
	if team == s.leastServedTeam {
		return s.secondServed, s.backlogged > 1
	}
	return s.leastServed, s.backlogged > 0
}

// maxRate returns the tokens per second that a team may get while the least served backlogged team gets least.
func (s *shares) maxRate(least float64) float64 { return overServedFactor * (least + s.slack()) }

// throttled reports whether a team over its share gets so much of its maximum rate beside a backlogged team that its whole
// demand counts against that rate: its credit within its share is computed from reports that miss a sudden rise.
func (s *shares) throttled(t *teamShare) bool {
	least, ok := s.leastServedOther(t)
	return ok && t.servedRate() > throttleFraction*s.maxRate(least)
}

// throttleFraction is the fraction of the maximum rate above which a team is throttled.
const throttleFraction = 0.6

// allowanceWindow is the time for which a throttled team may accumulate allowance at a router: about the age of the peers'
// reports.
const allowanceWindow = 200 * time.Millisecond

// A few large requests more or less within some seconds do not make a team better served: where requests are few, they are
// most of the difference between teams. Users ignore as many.
const (
	slackRequests = 3
	slackWindow   = 6 * time.Second
	// largestDecay is the fraction of itself that the largest request size loses with each smaller request.
	largestDecay = 0.0005
)

// observeServed counts tokens that a team gets.
func (s *shares) observeServed(now time.Duration, name string, tokens float64) {
	t := s.team(name)
	t.localServed.observe(now, tokens)
	if s.backlogged > 0 {
		t.allowance -= tokens
	}
}

// refundServed takes back what remains of the count of a request that was sent some time ago and never began to run, since
// users count only requests that begin.
func (s *shares) refundServed(now time.Duration, name string, tokens float64, age time.Duration) {
	t := s.team(name)
	t.localServed.observe(now, -tokens*decayFactor(age, shareWindow))
	t.localServed.value = max(0, t.localServed.value)
}

// observeHeld counts tokens that a team does not get, as others need the capacity or they exceed its part of the idle capacity.
func (s *shares) observeHeld(now time.Duration, name string, tokens float64) {
	s.team(name).localHeld.observe(now, tokens)
}

// report returns the team's demand and service at this router, in tokens per second, and records it as reported to peers.
func (t *teamShare) report(now time.Duration) digest.Rates {
	t.localDemand.decay(now)
	t.localServed.decay(now)
	t.localHeld.decay(now)
	t.reported[1], t.reported[0] = t.reported[0], t.localDemand.value
	return digest.Rates{Demand: int64(t.localDemand.value), Served: int64(t.localServed.value), Held: int64(t.localHeld.value)}
}

// setPeers records the team's demand and service at the other routers. These are about as old as this router's report before
// last, so the fractions of all routers add up to one.
func (t *teamShare) setPeers(r digest.Rates) {
	t.peerDemand, t.peerServed, t.peerHeld = float64(r.Demand), float64(r.Served), float64(r.Held)
	t.localFraction = 1
	if t.peerDemand > 0 {
		t.localFraction = t.reported[1] / (t.reported[1] + t.peerDemand)
	}
}

// updatePeers applies the other routers' summary and the number of live routers, including this one.
func (s *shares) updatePeers(peers digest.Sum, routers int) {
	s.routers, s.coverage = routers, 1
	if covered := float64(peers.Routers + 1); covered < minCoverage*float64(routers) {
		s.coverage = covered / float64(routers)
	}
	local := make(map[uint32]bool, len(s.teams))
	for name, t := range s.teams {
		id := nameID(name)
		local[id] = true
		t.setPeers(peers.Teams[id])
	}
	s.remoteTeams = s.remoteTeams[:0]
	for id, r := range peers.Teams {
		if !local[id] {
			s.remoteTeams = append(s.remoteTeams, r)
		}
	}
}

// minCoverage is the fraction of all routers below which the known ones do not count as the whole fleet. Above it the unknown
// routers count as lost, and the known ones may use the whole throughput.
const minCoverage = 0.5

// idleRate is the rate in tokens per second below which a team is forgotten until its next request, so that many small teams
// cost nothing.
const idleRate = 1

// levelPeriod is the interval at which the level is recomputed.
const levelPeriod = 100 * time.Millisecond

func (s *shares) team(name string) *teamShare {
	if s.teams == nil {
		s.teams = make(map[string]*teamShare)
	}
	t := s.teams[name]
	if t == nil {
		t = &teamShare{localFraction: 1}
		s.teams[name] = t
	}
	return t
}

// observeDemand counts a request in its team's demand.
func (s *shares) observeDemand(now time.Duration, name string, tokens float64) *teamShare {
	t := s.team(name)
	t.localDemand.observe(now, tokens)
	s.largestRequest = max(tokens, s.largestRequest*(1-largestDecay))
	return t
}

// admit counts a request in its team's demand. It reports whether the request is over the team's share of the throughput,
// and returns the fraction of the team's demand that is within the share.
func (s *shares) admit(now time.Duration, name string, tokens, throughput float64) (overShare bool, fraction float64) {
	t := s.observeDemand(now, name, tokens)
	if throughput <= 0 {
		return false, 1
	}
	if s.levelDue(now) {
		s.updateLevel(now, throughput)
	}
	fraction = 1
	if total := t.demand(); s.level > 0 && total > s.level {
		fraction = s.level / total
	}
	t.shareCredit = min(t.shareCredit+tokens*fraction, max(tokens, shareBurst*t.localDemand.value*fraction))
	if fraction == 1 {
		return false, fraction
	}
	if t.shareCredit < tokens || s.throttled(t) {
		if t == s.leastServedTeam && s.backlogged > 1 {
			fraction = 1 // the least served team may wait as long as any, whatever its demand
		}
		return true, fraction
	}
	t.shareCredit -= tokens
	return false, fraction
}

// levelDue reports whether the level is to be computed anew.
func (s *shares) levelDue(now time.Duration) bool {
	return now-s.levelAt >= levelPeriod || s.levelAt == 0
}

// updateLevel computes the max-min fair level by water filling: teams below it get their whole demand, all others get the
// level.
func (s *shares) updateLevel(now time.Duration, throughput float64) {
	s.levelAt, s.level = now, 0
	demands := make([]float64, 0, len(s.teams))
	total := 0.0
	for name, t := range s.teams {
		t.localDemand.decay(now)
		t.localServed.decay(now)
		t.localHeld.decay(now)
		demand := t.demand()
		if demand < idleRate && t.localServed.value < idleRate {
			delete(s.teams, name)
			continue
		}
		demands = append(demands, demand)
		total += demand
	}
	for _, r := range s.remoteTeams {
		demands = append(demands, float64(r.Demand))
		total += float64(r.Demand)
	}
	s.level = maxMinLevel(demands, total, throughput)
	s.spareLevel = maxMinLevel(demands, total, throughput*(1+s.spare*s.idle))
	s.findLeastServed()
}

const (
	// minSpare and maxSpare bound the idle capacity that is given away, as a multiple of the configured throughput.
	minSpare, maxSpare = 2.0, 16.0
	// spareRise is the factor by which it rises, each levelPeriod, while more than idleHigh of the capacity is idle, and spareFall that by which it falls
	// while less than idleLow is: it may double within a second, and halves in the 0.3 s in which routers hear of each other's sends.
	spareRise, spareFall = 1.07, 0.8
	idleHigh, idleLow    = 0.7, 0.5
)

// mayGetSpare reports whether a request over its team's share may get idle capacity; lot is a random number in [0, 1) that belongs to the request. Each team
// may get the same, whatever it demands, and one that gets less than its share may make up for it. Requests are selected at random, as the routers know what the others send too late to stop in time when each of
// them fills the servers that look idle.
func (s *shares) mayGetSpare(now time.Duration, name string, lot float64) bool {
	if s.spareLevel == 0 {
		return true
	}
	t := s.team(name)
	t.localDemand.decay(now)
	t.localServed.decay(now)
	demand := t.demand()
	return demand <= s.spareLevel || lot*(demand-s.level) < s.spareLevel-min(s.level, t.servedRate())
}

// observeIdle records the fraction of the servers' capacity that is idle. It counts for the time since the level was last computed, so that routers with few
// requests give away as much as others.
func (s *shares) observeIdle(now time.Duration, fraction float64) {
	periods := float64(min(now-s.levelAt, maxIdleTime)) / float64(levelPeriod)
	s.idle += (1 - math.Pow(1-idleWeight, periods)) * (fraction - s.idle)
	switch {
	case s.spare == 0 || s.level == 0: // nobody is limited
		s.spare = minSpare
	case s.idle > idleHigh:
		s.spare = min(maxSpare, s.spare*math.Pow(spareRise, periods))
	case s.idle < idleLow:
		s.spare = max(minSpare, s.spare*math.Pow(spareFall, periods))
	}
}

// maxIdleTime bounds the time for which one observation counts.
const maxIdleTime = time.Second

// idleWeight is the weight of one observation, each levelPeriod: the average covers the time in which routers hear of each other's sends.
const idleWeight = 0.3

// maxMinLevel returns the max-min fair share of a throughput, or 0 if the throughput is enough for all demands.
func maxMinLevel(demands []float64, total, throughput float64) float64 {
	if total <= throughput {
		return 0
	}
	slices.Sort(demands)
	left := throughput
	for i, demand := range demands {
		equal := left / float64(len(demands)-i)
		if demand > equal {
			return equal
		}
		left -= demand
	}
	return 0
}

// findLeastServed finds the least and the second least served backlogged teams.
func (s *shares) findLeastServed() {
	s.backlogged, s.leastServed, s.secondServed, s.leastServedTeam = 0, 0, 0, nil
	compare := func(t *teamShare, demand, held, served float64) {
		if !s.isBacklogged(demand, held, served) {
			return
		}
		s.backlogged++
		switch {
		case s.backlogged == 1:
			s.leastServed, s.leastServedTeam = served, t
		case served < s.leastServed:
			s.leastServed, s.secondServed, s.leastServedTeam = served, s.leastServed, t
		case s.backlogged == 2 || served < s.secondServed:
			s.secondServed = served
		}
	}
	for _, t := range s.teams {
		compare(t, t.demand(), t.heldRate(), t.servedRate())
	}
	for _, r := range s.remoteTeams {
		compare(nil, float64(r.Demand), float64(r.Held), float64(r.Served))
	}
}
