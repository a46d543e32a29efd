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

	othersServed float64 // tokens a second that it gets at the other routers
	credit       float64 // tokens that it may still ask for here within its share
	hand         float64 // tokens that it may get here while it is held back for another; less than 0 after a large request
	heldAt       time.Duration
}

// asked gives the tokens a second that the team asks of the fleet, and gets those that it gets.
func (t *teamShare) asked() float64 { return t.own.value + t.others }
func (t *teamShare) gets() float64  { return t.served.value + t.othersServed }

// shares divides the fleet's throughput between teams, max-min fair.
type shares struct {
	teams     map[string]*teamShare
	elsewhere []digest.Rates // of teams that ask only other routers
	largest   float64        // tokens of the largest requests of late
	level     float64        // tokens a second above which a team is beyond its share; 0 for none
	hungry    bool           // some team beyond its share wants more than it gets
	least     float64        // tokens a second that the least served of these gets
	at        time.Duration
}

// aheadFactor is by how much a team may be better served than the least served of the teams that ask for more than they get,
// before it has to leave servers to them. The users call teams unequally served from 2 on.
const aheadFactor = 1.8

// hungryShare is the part of what it asks for below which a team beyond its share is taken to want more. The users call teams
// unequally served below a half; what a router hears is more than was asked for, as callers that were refused ask once more.
const hungryShare = 0.6

// wantsMore reports whether a team that asks for so much and gets so much, in tokens a second, is beyond its share and wants more.
func (s *shares) wantsMore(asked, got float64) bool {
	return asked > s.level && got < hungryShare*asked
}

// ahead reports a team beyond its share that is far better served than another such team that wants more: what is free goes
// to that one first. What the team may get is also divided among the routers as it asks them: what the others just sent is heard
// too late, so that all would let the team through at once.
func (s *shares) ahead(now time.Duration, name string) bool {
	if !s.hungry {
		return false
	}
	mine := s.team(name)
	mine.own.decay(now)
	mine.served.decay(now)
	allowed := aheadFactor*s.least + slackRequests*s.largest/slackWindow.Seconds()
	if mine.gets() > allowed {
		return true
	}
	part := 1.0
	if asked := mine.asked(); asked > 0 {
		part = mine.own.value / asked
	}
	refill := allowed * part * (now - mine.heldAt).Seconds()
	mine.hand, mine.heldAt = min(mine.hand+refill, allowed*part*handTime.Seconds()), now
	return mine.hand <= 0
}

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
	if s.hungry {
		t.hand -= tokens
	}
}

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
		t = &teamShare{}
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
	if t.credit < tokens {
		return true, part
	}
	t.credit -= tokens
	return false, part
}

// settle works out the max-min fair level by water filling: teams below it get all that they ask for, the others get it.
func (s *shares) settle(now time.Duration, throughput float64) {
	s.at, s.level, s.hungry = now, 0, false
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
	if total <= throughput {
		return
	}
	slices.Sort(asked)
	left := throughput
	for i, value := range asked {
		even := left / float64(len(asked)-i)
		if value > even {
			s.level = even
			s.compare()
			return
		}
		left -= value
	}
}

// compare finds the least served of the teams beyond their share that want more.
func (s *shares) compare() {
	note := func(asked, got float64) {
		if s.wantsMore(asked, got) && (!s.hungry || got < s.least) {
			s.hungry, s.least = true, got
		}
	}
	for _, t := range s.teams {
		note(t.asked(), t.gets())
	}
	for _, r := range s.elsewhere {
		note(float64(r.Asked), float64(r.Served))
	}
}
