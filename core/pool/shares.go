package pool

import (
	"slices"
	"time"

	"mangolug.org/core/digest"
)

const (
	// shareWindow is the time over which what teams ask for is measured.
	shareWindow = 2 * time.Second
	// shareBurst is how many seconds of its share a team may ask for at once.
	shareBurst = 0.5
)

// rate is an exponentially decaying rate.
type rate struct {
	value float64 // a second
	at    time.Duration
}

func (r *rate) decay(now time.Duration) {
	if now <= r.at {
		return
	}
	passed := float64(now-r.at) / float64(shareWindow)
	r.value *= max(0, 1-passed/(1+passed))
	r.at = now
}

func (r *rate) add(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount / shareWindow.Seconds()
}

// teamShare is what one team asks of the fleet.
type teamShare struct {
	own    rate    // tokens a second that it asks of this router
	others float64 // tokens a second that it asks of the other routers
	served rate    // tokens a second that it gets at this router

	othersServed float64 // tokens a second that it gets at the other routers
	credit       float64 // tokens that it may still ask for within its share
}

// shares divides the fleet's throughput between teams, max-min fair.
type shares struct {
	teams     map[string]*teamShare
	elsewhere []digest.Rates // of teams that ask only other routers
	level     float64        // tokens a second above which a team is beyond its share; 0 for none
	at        time.Duration
}

// aheadFactor is by how much a team may be better served than the least served of the teams that ask for more than they get,
// before it has to wait for them.
const aheadFactor = 1.25

// ahead reports a team beyond its share that is better served than another such team: what is free goes to that one first.
func (s *shares) ahead(now time.Duration, name string) bool {
	if s.level == 0 {
		return false
	}
	least, found := 0.0, false
	for _, t := range s.teams {
		t.served.decay(now)
		if t.own.value+t.others <= s.level {
			continue
		}
		if got := t.served.value + t.othersServed; !found || got < least {
			least, found = got, true
		}
	}
	for _, r := range s.elsewhere {
		if got := float64(r.Served); float64(r.Asked) > s.level && (!found || got < least) {
			least, found = got, true
		}
	}
	mine := s.team(name)
	return found && mine.served.value+mine.othersServed > aheadFactor*least
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

// ask counts what a team asks for, and reports whether it is beyond the team's share of the throughput.
func (s *shares) ask(now time.Duration, name string, tokens, throughput float64) bool {
	t := s.team(name)
	t.own.add(now, tokens)
	if throughput <= 0 {
		return false
	}
	if now-s.at >= levelPeriod || s.at == 0 {
		s.settle(now, throughput)
	}
	total := t.own.value + t.others
	if s.level == 0 || total <= s.level {
		t.credit = shareBurst * total
		return false
	}
	t.credit = min(t.credit+tokens*s.level/total, shareBurst*s.level)
	if t.credit < tokens {
		return true
	}
	t.credit -= tokens
	return false
}

// settle works out the max-min fair level by water filling: teams below it get all that they ask for, the others get it.
func (s *shares) settle(now time.Duration, throughput float64) {
	s.at, s.level = now, 0
	asked := make([]float64, 0, len(s.teams))
	total := 0.0
	for name, t := range s.teams {
		t.own.decay(now)
		t.served.decay(now)
		value := t.own.value + t.others
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
			return
		}
		left -= value
	}
}
