package relay

import (
	"sync"
	"time"

	"mangolug.org/core/pool"
)

// shedLogLimit is how many refused requests are logged one by one between two summaries. A router that is short of processor time
// sheds hundreds of requests per second and cannot log each of them.
const shedLogLimit = 20

// shedCounter counts the requests that were refused since the last summary. Its zero value is ready to use.
type shedCounter struct {
	mutex  sync.Mutex
	logged int            // requests with a log line of their own
	total  int            // those counted below
	teams  map[string]int // by team
}

// add counts a request and reports whether it should be logged on its own.
func (a *shedCounter) add(team string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count(team)
	if a.logged < shedLogLimit {
		a.logged++
		return true
	}
	return false
}

// addUnlogged counts a request unless it should be logged on its own, and reports whether it should.
func (a *shedCounter) addUnlogged(team string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.logged < shedLogLimit {
		a.logged++
		return true
	}
	a.count(team)
	return false
}

// count counts a request of a team. The caller must hold the mutex.
func (a *shedCounter) count(team string) {
	if a.teams == nil {
		a.teams = make(map[string]int)
	}
	a.total++
	a.teams[team]++
}

// reset returns the counts since its last call and the team with the most shed requests, and starts over.
func (a *shedCounter) reset() (total, teams int, topTeam string, topTotal int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for team, n := range a.teams {
		if n > topTotal || n == topTotal && team < topTeam {
			topTeam, topTotal = team, n
		}
	}
	total, teams = a.total, len(a.teams)
	a.logged, a.total, a.teams = 0, 0, nil
	return total, teams, topTeam, topTotal
}

// LogShed logs how many requests were shed unread since its last call, and how many were refused as over their team's share without
// a line of their own, if any.
func (s *Relay) LogShed() {
	s.logOverShare()
	total, teams, topTeam, topTotal := s.shedCounter.reset()
	if total == 0 || s.Log == nil {
		return
	}
	s.Log.Warn("turned away", "requests", total, "teams", teams, "most", topTeam, "ofThat", topTotal, "open", s.OpenRequests())
}

func (s *Relay) logOverShare() {
	total, teams, topTeam, topTotal := s.overShareCounter.reset()
	if total == 0 || s.Log == nil {
		return
	}
	s.Log.Warn("over share", "requests", total, "teams", teams, "most", topTeam, "ofThat", topTotal, "open", s.OpenRequests())
}

// LogShares logs this router's estimates of the teams' shares while the demand of some team exceeds its share.
func (s *Relay) LogShares() {
	var shares pool.FairShares
	s.Gate.With(func(now time.Duration, p *pool.Pool) { shares = p.FairShares(now) })
	if shares.Level == 0 || s.Log == nil {
		return
	}
	s.Log.Info("shares", "throughput", shares.Throughput, "asked", shares.Demand, "served", shares.Served, "level", shares.Level, "beyond", shares.OverShare, "heldBack", shares.Held,
		"least", shares.LeastTeam, "leastAsked", shares.LeastDemand, "leastServed", shares.LeastServed, "most", shares.MostTeam, "mostAsked", shares.MostDemand, "mostServed", shares.MostServed)
}
