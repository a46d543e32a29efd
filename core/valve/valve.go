package valve

import (
	"math"
	"time"
)

const (
	// lateMost is the wait for the processor from which on the bound falls: a request takes some ten steps, and the
	// tightest objective is 150 ms.
	lateMost = 15 * time.Millisecond
	// lateLeast is the wait up to which it rises.
	lateLeast = 5 * time.Millisecond
	// halving is the time in which the bound falls by half, and doubling that in which it rises to the double: about the
	// length of a stream, whose events need the processor long after it was taken in. From TestNarrowEntrance.
	halving  = 600 * time.Millisecond
	doubling = time.Second
	// reserve is by how much of itself teams with less than their even part may go beyond the bound.
	reserve = 0.25
	// used is the part of the bound that has to be in use for it to rise.
	used = 0.8
)

// DefaultLeast is the least bound of a Valve that names none: some requests are served whatever the wait.
const DefaultLeast = 16

// Valve bounds the requests that are open at once; its zero value has no bound until the processor is short.
type Valve struct {
	Least int // the least bound; 0 for DefaultLeast
	Start int // the bound at first; 0 for none

	bound float64 // 0 while there is none
	began bool
}

// Note takes in how late a goroutine got the processor, how long ago the wait was measured before, and how many requests
// are open.
func (v *Valve) Note(late, since time.Duration, open int) {
	v.begin()
	since = max(0, since)
	switch {
	case late > lateMost:
		least := float64(v.Least)
		if least == 0 {
			least = DefaultLeast
		}
		bound := v.bound
		if bound == 0 {
			bound = float64(open)
		}
		v.bound = max(least, bound*math.Pow(0.5, min(1, since.Seconds()/halving.Seconds())))
	case late < lateLeast && v.bound > 0 && float64(open) >= used*v.bound:
		v.bound *= math.Pow(2, since.Seconds()/doubling.Seconds())
	}
}

func (v *Valve) begin() {
	if !v.began {
		v.began, v.bound = true, float64(v.Start)
	}
}

// Bound gives how many requests may be open, and 0 if there is no bound.
func (v *Valve) Bound() int {
	v.begin()
	return int(v.bound)
}

// Full reports whether a request of a team is one too many, with so many open besides it, of the team and in all, and so many
// teams with any. A team with less than its even part goes beyond the bound a little, so that the callers of a team
// that fills it don't shut out the others.
func (v *Valve) Full(open, mine, teams int) bool {
	bound := v.Bound()
	if bound == 0 {
		return false
	}
	if mine*max(1, teams) < bound {
		bound += int(reserve * float64(bound))
	}
	return open >= bound
}
