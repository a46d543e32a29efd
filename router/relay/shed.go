package relay

import (
	"sync"
	"time"

	"mangolug.org/core/pool"
)

// shedLogLimit is how many shed requests are logged one by one between two summaries. A router that is short of processor time
// sheds hundreds of requests per second and cannot log each of them.
const shedLogLimit = 20

// shedCounter counts the requests that were shed unread since the last summary. Its zero value is ready to use.
type shedCounter struct {
	mutex sync.Mutex
	total int
	teams map[string]int
}

// add counts a request and reports whether it should be logged on its own.
func (a *shedCounter) add(team string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.teams == nil {
		a.teams = make(map[string]int)
	}
	a.total++
	a.teams[team]++
	return a.total <= shedLogLimit
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
	a.total, a.teams = 0, nil
	return total, teams, topTeam, topTotal
}

// LogShed logs how many requests were shed unread since its last call, if any.
func (s *Relay) LogShed() {
	total, teams, topTeam, topTotal := s.shedCounter.reset()
	if total == 0 || s.Log == nil {
		return
	}
	s.Log.Warn("turned away", "requests", total, "teams", teams, "most", topTeam, "ofThat", topTotal, "open", s.OpenRequests())
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
