package world

import "time"

const (
	// fairWindow, fairPart and fairSlack are the users' rule: over six seconds in each of which a team has a request that is
	// refused or waits past its objective, it gets half of what it asks for, or of what the best served team gets,
	// whichever is less, but for three of the largest requests.
	fairWindow = 6
	fairPart   = 0.5
	fairSlack  = 3
)

// Unfair is a time in which a team got far less than another.
type Unfair struct {
	From    time.Duration
	Team    string
	Asked   int64 // tokens
	Got     int64
	Best    string
	BestGot int64
	AtLeast float64 // what the team should have got
}

// account is what a team asks and gets, by second.
type account struct {
	asked, got []int64
	waited     []bool
}

// unfair gives the first time in which a team got far less than another; false if there is none.
func unfair(requests []*Request, length time.Duration) (Unfair, bool) {
	seconds := int(length / time.Second)
	teams := map[string]*account{}
	var largest int64
	for _, r := range requests {
		a := teams[r.Team]
		if a == nil {
			a = &account{make([]int64, seconds), make([]int64, seconds), make([]bool, seconds)}
			teams[r.Team] = a
		}
		cost := r.PromptTokens + 2*r.Output
		largest = max(largest, cost)
		if s := int(r.Arrived / time.Second); s < seconds {
			a.asked[s] += cost
			a.waited[s] = a.waited[s] || r.refused || r.began == 0 || r.began > r.Objective
		}
		if s := int(r.began / time.Second); r.began > 0 && s < seconds {
			a.got[s] += cost
		}
	}
	for from := 0; from+fairWindow <= seconds; from++ {
		if u, ok := unfairFrom(teams, from, largest); ok {
			return u, true
		}
	}
	return Unfair{}, false
}

func unfairFrom(teams map[string]*account, from int, largest int64) (Unfair, bool) {
	best := ""
	var bestGot int64
	for name, a := range teams {
		if got := total(a.got[from : from+fairWindow]); got > bestGot || got == bestGot && name < best {
			best, bestGot = name, got
		}
	}
	for name, a := range teams {
		waited := true
		var due int64
		for s := from; s < from+fairWindow; s++ {
			waited = waited && a.waited[s]
			due += min(a.asked[s], teams[best].got[s])
		}
		got := total(a.got[from : from+fairWindow])
		least := fairPart*float64(due) - fairSlack*float64(largest)
		if waited && float64(got) < least {
			return Unfair{
				From: time.Duration(from) * time.Second, Team: name, Asked: total(a.asked[from : from+fairWindow]), Got: got,
				Best: best, BestGot: bestGot, AtLeast: least,
			}, true
		}
	}
	return Unfair{}, false
}

func total(of []int64) int64 {
	var n int64
	for _, v := range of {
		n += v
	}
	return n
}
