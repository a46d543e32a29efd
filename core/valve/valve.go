package valve

import (
	"math"
	"time"
)

const (
	// maxDelay is the scheduling delay above which the bound falls. A request takes about ten scheduling steps, and the
	// tightest latency objective is 150 ms.
	maxDelay = 15 * time.Millisecond
	// minDelay is the scheduling delay below which the bound rises.
	minDelay = 5 * time.Millisecond
	// halvingTime is the time in which the bound halves, and doublingTime the time in which it doubles. Both are about the
	// length of a stream, whose events need the CPU long after its request was admitted. The values are from TestNarrowEntrance.
	halvingTime  = 600 * time.Millisecond
	doublingTime = time.Second
	// reserveFraction is the fraction of the bound by which teams below an equal share may exceed it.
	reserveFraction = 0.25
	// minUtilisation is the fraction of the bound that must be in use for it to rise.
	minUtilisation = 0.8
)

// DefaultMinLimit is the minimum bound of a ConcurrencyLimiter whose MinLimit is 0: some requests are served whatever the scheduling delay.
const DefaultMinLimit = 16

// ConcurrencyLimiter limits the number of concurrently open requests. The zero value has no bound until the CPU is overloaded.
type ConcurrencyLimiter struct {
	MinLimit     int // minimum bound; 0 for DefaultMinLimit
	InitialLimit int // initial bound; 0 for none

	bound   float64 // 0 for none
	started bool
}

// Observe records a sample of the scheduling delay, the time elapsed since the previous sample, and the number of open requests.
func (v *ConcurrencyLimiter) Observe(delay, elapsed time.Duration, open int) {
	v.init()
	elapsed = max(0, elapsed)
	switch {
	case delay > maxDelay:
		minLimit := float64(v.MinLimit)
		if minLimit == 0 {
			minLimit = DefaultMinLimit
		}
		bound := v.bound
		if bound == 0 {
			bound = float64(open)
		}
		v.bound = max(minLimit, bound*math.Pow(0.5, min(1, elapsed.Seconds()/halvingTime.Seconds())))
	case delay < minDelay && v.bound > 0 && float64(open) >= minUtilisation*v.bound:
		v.bound *= math.Pow(2, elapsed.Seconds()/doublingTime.Seconds())
	}
}

func (v *ConcurrencyLimiter) init() {
	if !v.started {
		v.started, v.bound = true, float64(v.InitialLimit)
	}
}

// Limit returns the maximum number of open requests, or 0 if there is no bound.
func (v *ConcurrencyLimiter) Limit() int {
	v.init()
	return int(v.bound)
}

// Full reports whether one more request of a team would exceed the bound, given the number of open requests in total, those of
// the team, and the number of teams with open requests. A team below an equal share may exceed the bound slightly, so that
// one team that fills the bound does not lock out the others.
func (v *ConcurrencyLimiter) Full(open, ofTeam, teams int) bool {
	bound := v.Limit()
	if bound == 0 {
		return false
	}
	if ofTeam*max(1, teams) < bound {
		bound += int(reserveFraction * float64(bound))
	}
	return open >= bound
}
