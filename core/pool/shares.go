package pool

import (
	"slices"
	"time"

	"mangolug.org/core/digest"
)

const (
	// shareWindow is the time over which what teams ask for and get is measured: whoever gets too much has to be held back
	// within the six seconds over which the users compare teams.
	shareWindow = time.Second
	// shareBurst is how many seconds of its share a team may ask for at once, of each router its part of that.
	shareBurst = 0.5
)

// teamShare is what one team asks of the fleet.
type teamShare struct {
	own    rate    // tokens a second that it asks of this router
	others float64 // tokens a second that it asks of the other routers
	served rate    // tokens a second that it gets at this router

	othersServed float64    // tokens a second that it gets at the other routers
	told         [2]float64 // what it asked of this router when the others were last told, and the time before
	part         float64    // of all that it asks for that it asks of this router, as the others know it
	credit       float64    // tokens that it may still ask for here within its share
	hand         float64    // tokens that it may get here while it is held back for another; less than 0 after a large request
	heldAt       time.Duration
}

// asked gives the tokens a second that the team asks of the fleet, and gets those that it gets.
func (t *teamShare) asked() float64 { return t.own.value + t.others }
func (t *teamShare) gets() float64  { return t.served.value + t.othersServed }

// shares divides the fleet's throughput between teams, max-min fair.
type shares struct {
	teams     map[string]*teamShare
	elsewhere []digest.Rates // of teams that ask only other routers
	routers   int            // that live, this one included
	view      float64        // the part of the throughput that the routers that are known of may have; 0 for all
	largest   float64        // tokens of the largest requests of late
	level     float64        // tokens a second above which a team is beyond its share; 0 for none
	hungry    int            // teams that want more than they get
	least     float64        // tokens a second that the least served of these gets
	second    float64        // tokens a second that the next of these gets
	worst     *teamShare     // the least served, if it asks this router; else nil
	at        time.Duration
}

// aheadFactor is by how much a team may be better served than the least served of the teams that ask for more than they get,
// before it has to leave servers to them. The users call teams unequally served from 2 on.
const aheadFactor = 1.6

// hungryShare is the part of what it asks for below which a team is taken to want more. The users call teams unequally served
// below a half; what a router hears is more than was asked for, as callers that were refused ask once more.
const hungryShare = 0.6

// wantsMore reports whether a team that asks for so much and gets so much, in tokens a second, wants more. It may be within
// its share of the fleet if the routers at which its callers enter can't serve them; then it has to miss more than some large requests.
func (s *shares) wantsMore(asked, got float64) bool {
	if s.level == 0 || asked <= s.level {
		got += slackRequests * s.largest / shareWindow.Seconds()
	}
	return got < hungryShare*asked
}

// slack gives the tokens a second by which teams may differ because of single large requests.
func (s *shares) slack() float64 { return slackRequests * s.largest / slackWindow.Seconds() }

// ahead reports a team that is far better served than another that wants more: what is free goes to that one first. What
// the team may get is also divided among the routers as it asked them when they last told each other: what the others just sent is
// heard too late, so that all would let the team through at once, and parts of what is asked now would add up to more than all
// when the team asks for more from one moment to the next.
func (s *shares) ahead(now time.Duration, name string) bool {
	mine := s.team(name)
	least, ok := s.rival(mine)
	if !ok {
		return false
	}
	mine.own.decay(now)
	mine.served.decay(now)
	allowed := s.allowed(least)
	switch {
	case mine.gets() <= least, mine.asked() <= allowed:
		return false
	case mine.gets() > allowed:
		return true
	}
	part := mine.part + 1/float64(max(1, s.routers))
	if asked := mine.asked(); asked > 0 {
		part = min(part, mine.own.value/asked)
	}
	refill := allowed * part * (now - mine.heldAt).Seconds()
	mine.hand, mine.heldAt = min(mine.hand+refill, allowed*part*handTime.Seconds()), now
	return mine.hand <= 0
}

// rival gives the tokens a second of the least served other team that wants more than it gets; false if there is none.
func (s *shares) rival(mine *teamShare) (float64, bool) {
	if mine == s.worst {
		return s.second, s.hungry > 1
	}
	return s.least, s.hungry > 0
}

// allowed gives the tokens a second that a team may get beside one that gets so many and wants more.
func (s *shares) allowed(least float64) float64 { return aheadFactor * (least + s.slack()) }

// held reports that a team that asks for more than its share gets so much of what it may get beside a rival that all it asks for is to be
// held against that: what it may still ask for within its share is worked out from news that miss a sudden rise.
func (s *shares) held(t *teamShare) bool {
	least, ok := s.rival(t)
	return ok && t.gets() > heldFrom*s.allowed(least)
}

// heldFrom is the part of what is allowed from which on a team is held.
const heldFrom = 0.6

// handTime is for how long a team that is held may save up what a router lets it have: about the age of the news of others.
const handTime = 200 * time.Millisecond

// A few large requests more or less within some seconds make no team better served: where requests are few, that is most of
// the difference between teams. The users leave as many out of account.
const (
	slackRequests = 3
	slackWindow   = 6 * time.Second
	// largestFade is the part of itself that the largest request loses with each smaller one.
	largestFade = 0.0005
)

// sent counts what a team gets.
func (s *shares) sent(now time.Duration, name string, tokens float64) {
	t := s.team(name)
	t.served.add(now, tokens)
	if s.hungry > 0 {
		t.hand -= tokens
	}
}

// unserved takes back what is left of the count of a request that was sent some time ago and never began to run: the users
// count what begins.
func (s *shares) unserved(now time.Duration, name string, tokens float64, ago time.Duration) {
	t := s.team(name)
	t.served.add(now, -tokens*remaining(ago, shareWindow))
	t.served.value = max(0, t.served.value)
}

// tell gives what a team asks of this router and gets at it, in tokens a second, to be told to the other routers.
func (t *teamShare) tell(now time.Duration) digest.Rates {
	t.own.decay(now)
	t.served.decay(now)
	t.told[1], t.told[0] = t.told[0], t.own.value
	return digest.Rates{Asked: int64(t.own.value), Served: int64(t.served.value)}
}

// hear takes in what the team asks of the other routers and gets at them. That is about as old as what this router told the
// time before last, so that the parts of all routers add up to one.
func (t *teamShare) hear(r digest.Rates) {
	t.others, t.othersServed = float64(r.Asked), float64(r.Served)
	t.part = 1
	if t.others > 0 {
		t.part = t.told[1] / (t.told[1] + t.others)
	}
}

// hear takes in what the other routers tell of teams, and how many routers live, this one included.
func (s *shares) hear(o digest.Sum, routers int) {
	s.routers, s.view = routers, 1
	if covered := float64(o.Routers + 1); covered < quorum*float64(routers) {
		s.view = covered / float64(routers)
	}
	mine := make(map[uint32]bool, len(s.teams))
	for name, t := range s.teams {
		id := key(name)
		mine[id] = true
		t.hear(o.Teams[id])
	}
	s.elsewhere = s.elsewhere[:0]
	for id, r := range o.Teams {
		if !mine[id] {
			s.elsewhere = append(s.elsewhere, r)
		}
	}
}

// quorum is the part of all routers below which those that are known of are not taken for the fleet: after that many were lost at
// once, the rest may have what all had.
const quorum = 0.5

// idleRate is the tokens a second below which a team is forgotten until it asks again, so that many small teams cost nothing.
const idleRate = 1

// levelPeriod is how often the level is worked out anew.
const levelPeriod = 100 * time.Millisecond

func (s *shares) team(name string) *teamShare {
	if s.teams == nil {
		s.teams = make(map[string]*teamShare)
	}
	t := s.teams[name]
	if t == nil {
		t = &teamShare{part: 1}
		s.teams[name] = t
	}
	return t
}

// note counts what a team asks for.
func (s *shares) note(now time.Duration, name string, tokens float64) *teamShare {
	t := s.team(name)
	t.own.add(now, tokens)
	s.largest = max(tokens, s.largest*(1-largestFade))
	return t
}

// ask counts what a team asks for, and reports whether it is beyond the team's share of the throughput, with the part of all
// that the team asks for that is within.
func (s *shares) ask(now time.Duration, name string, tokens, throughput float64) (beyond bool, part float64) {
	t := s.note(now, name, tokens)
	if throughput <= 0 {
		return false, 1
	}
	if now-s.at >= levelPeriod || s.at == 0 {
		s.settle(now, throughput)
	}
	part = 1
	if total := t.asked(); s.level > 0 && total > s.level {
		part = s.level / total
	}
	t.credit = min(t.credit+tokens*part, max(tokens, shareBurst*t.own.value*part))
	if part == 1 {
		return false, part
	}
	if t.credit < tokens || s.held(t) {
		if t == s.worst && s.hungry > 1 {
			part = 1 // it may wait as long as any, whatever it asks for
		}
		return true, part
	}
	t.credit -= tokens
	return false, part
}

// settle works out the max-min fair level by water filling: teams below it get all that they ask for, the others get it.
func (s *shares) settle(now time.Duration, throughput float64) {
	s.at, s.level = now, 0
	asked := make([]float64, 0, len(s.teams))
	total := 0.0
	for name, t := range s.teams {
		t.own.decay(now)
		t.served.decay(now)
		value := t.asked()
		if value < idleRate && t.served.value < idleRate {
			delete(s.teams, name)
			continue
		}
		asked = append(asked, value)
		total += value
	}
	for _, r := range s.elsewhere {
		asked = append(asked, float64(r.Asked))
		total += float64(r.Asked)
	}
	s.level = level(asked, total, throughput)
	s.compare()
}

// level gives the max-min fair part of a throughput, and 0 if it is enough for all.
func level(asked []float64, total, throughput float64) float64 {
	if total <= throughput {
		return 0
	}
	slices.Sort(asked)
	left := throughput
	for i, value := range asked {
		even := left / float64(len(asked)-i)
		if value > even {
			return even
		}
		left -= value
	}
	return 0
}

// compare finds the least served of the teams that want more, and what the next of them gets.
func (s *shares) compare() {
	s.hungry, s.least, s.second, s.worst = 0, 0, 0, nil
	note := func(t *teamShare, asked, got float64) {
		if !s.wantsMore(asked, got) {
			return
		}
		s.hungry++
		switch {
		case s.hungry == 1:
			s.least, s.worst = got, t
		case got < s.least:
			s.least, s.second, s.worst = got, s.least, t
		case s.hungry == 2 || got < s.second:
			s.second = got
		}
	}
	for _, t := range s.teams {
		note(t, t.asked(), t.gets())
	}
	for _, r := range s.elsewhere {
		note(nil, float64(r.Asked), float64(r.Served))
	}
}
