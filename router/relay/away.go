package relay

import (
	"sync"
	"time"

	"mangolug.org/core/pool"
)

// awayLines is how many requests that are turned away unread get a line of their own between two summaries: a router that is
// short of the processor turns away hundreds a second, and has no time to write of each.
const awayLines = 20

// away counts the requests that were turned away unread since the last summary; its zero value works.
type away struct {
	mutex sync.Mutex
	total int
	teams map[string]int
}

// note counts a request and reports whether it gets a line of its own.
func (a *away) note(team string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.teams == nil {
		a.teams = make(map[string]int)
	}
	a.total++
	a.teams[team]++
	return a.total <= awayLines
}

// take gives the counts since it was last called, and the team that was turned away most often.
func (a *away) take() (total, teams int, most string, mostTotal int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for team, n := range a.teams {
		if n > mostTotal || n == mostTotal && team < most {
			most, mostTotal = team, n
		}
	}
	total, teams = a.total, len(a.teams)
	a.total, a.teams = 0, nil
	return total, teams, most, mostTotal
}

// TellAway logs how many requests were turned away unread since it was last called, if any.
func (s *Relay) TellAway() {
	total, teams, most, mostTotal := s.away.take()
	if total == 0 || s.Log == nil {
		return
	}
	s.Log.Warn("turned away", "requests", total, "teams", teams, "most", most, "ofThat", mostTotal, "open", s.Open())
}

// TellShares logs what this router believes of the teams' shares, while some team asks for more than its share.
func (s *Relay) TellShares() {
	var b pool.Shares
	s.Gate.With(func(now time.Duration, p *pool.Pool) { b = p.Shares(now) })
	if b.Level == 0 || s.Log == nil {
		return
	}
	s.Log.Info("shares", "throughput", b.Throughput, "asked", b.Asked, "served", b.Served, "level", b.Level, "beyond", b.Beyond,
		"least", b.Least, "leastAsked", b.LeastAsked, "leastServed", b.LeastServed, "most", b.Most, "mostAsked", b.MostAsked, "mostServed", b.MostServed)
}
