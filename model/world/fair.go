package world

import "time"

const (
	// fairWindow, fairFraction and fairSlackRequests are the users' fairness rule. Over a window of six seconds, in each of
	// which a team has a request that is rejected or misses its objective, the team is served at least half of its demand
	// or of what the best served team gets, whichever is less, minus three of the largest requests.
	fairWindow        = 6
	fairFraction      = 0.5
	fairSlackRequests = 3
)

// UnfairWindow is a window in which a team was served less than the fairness rule allows.
type UnfairWindow struct {
	From       time.Duration
	Team       string
	Demand     int64 // tokens
	Served     int64
	BestTeam   string
	BestServed int64
	MinServed  float64 // least that the rule requires
}

// teamUsage is the demand and the served load of a team in tokens, by second.
type teamUsage struct {
	demand, served []int64
	delayed        []bool
}

// findUnfairWindow returns the first window that violates the fairness rule and reports whether there is one.
func findUnfairWindow(requests []*Request, length time.Duration) (UnfairWindow, bool) {
	seconds := int(length / time.Second)
	teams := map[string]*teamUsage{}
	var largest int64
	for _, r := range requests {
		a := teams[r.Team]
		if a == nil {
			a = &teamUsage{make([]int64, seconds), make([]int64, seconds), make([]bool, seconds)}
			teams[r.Team] = a
		}
		cost := r.PromptTokens + 2*r.Output
		largest = max(largest, cost)
		if s := int(r.Arrived / time.Second); s < seconds {
			a.demand[s] += cost
			a.delayed[s] = a.delayed[s] || r.rejected || r.firstEvent == 0 || r.firstEvent > r.Objective
		}
		if s := int(r.firstEvent / time.Second); r.firstEvent > 0 && s < seconds {
			a.served[s] += cost
		}
	}
	for from := 0; from+fairWindow <= seconds; from++ {
		if u, ok := checkWindow(teams, from, largest); ok {
			return u, true
		}
	}
	return UnfairWindow{}, false
}

func checkWindow(teams map[string]*teamUsage, from int, largest int64) (UnfairWindow, bool) {
	best := ""
	var bestGot int64
	for name, a := range teams {
		if got := sum(a.served[from : from+fairWindow]); got > bestGot || got == bestGot && name < best {
			best, bestGot = name, got
		}
	}
	for name, a := range teams {
		waited := true
		var due int64
		for s := from; s < from+fairWindow; s++ {
			waited = waited && a.delayed[s]
			due += min(a.demand[s], teams[best].served[s])
		}
		got := sum(a.served[from : from+fairWindow])
		least := fairFraction*float64(due) - fairSlackRequests*float64(largest)
		if waited && float64(got) < least {
			return UnfairWindow{
				From: time.Duration(from) * time.Second, Team: name, Demand: sum(a.demand[from : from+fairWindow]), Served: got,
				BestTeam: best, BestServed: bestGot, MinServed: least,
			}, true
		}
	}
	return UnfairWindow{}, false
}

func sum(values []int64) int64 {
	var n int64
	for _, v := range values {
		n += v
	}
	return n
}
