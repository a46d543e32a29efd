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
	// throughputWindow is the time over which the throughput is measured, and minServed the number of requests from which on it counts.
	throughputWindow = time.Second
	minServed        = 10
	// throughputFraction is the fraction of the best throughput that the bound always allows for. A burst of connections and refusals
	// delays all goroutines for as long as it lasts, whatever is served beside it, so that the bound would fall to its minimum. The value
	// is from TestNarrowEntrance and TestHotClientSpreads.
	throughputFraction = 0.7
	// throughputHalving is the time in which a throughput that is no longer reached counts half.
	throughputHalving = 15 * time.Second
)

// DefaultMinLimit is the minimum bound of a ConcurrencyLimiter whose MinLimit is 0: some requests are served whatever the scheduling delay.
const DefaultMinLimit = 16

// ConcurrencyLimiter limits the number of concurrently open requests. The zero value has no bound until the CPU is overloaded.
type ConcurrencyLimiter struct {
	MinLimit     int // minimum bound; 0 for DefaultMinLimit
	InitialLimit int // initial bound; 0 for none

	bound   float64 // 0 for none
	started bool

	served     int           // requests that ended in the current window
	window     time.Duration // elapsed part of the current window
	openTime   float64       // sum of the open requests over the current window, in seconds
	refusing   float64       // processor time that refusals used in the current window, as a fraction of all, times the elapsed seconds
	throughput float64       // best throughput in requests per second, decaying
	disturbed  bool          // requests were refused or delayed in the current window
	duration   float64       // mean duration of a request in windows without such, in seconds; 0 for unknown
}

// Served counts requests that were served to their end since the last call.
func (v *ConcurrencyLimiter) Served(n int) { v.served += n }

// Refused records the fraction of the processor time of an elapsed time that refusals used.
func (v *ConcurrencyLimiter) Refused(fraction float64, elapsed time.Duration) {
	v.refusing += min(max(fraction, 0), 1) * elapsed.Seconds()
	v.disturbed = v.disturbed || fraction > 0
}

// measure updates the throughput and the duration of requests by the open requests of the elapsed time.
func (v *ConcurrencyLimiter) measure(elapsed time.Duration, open int) {
	v.window += elapsed
	v.openTime += float64(open) * elapsed.Seconds()
	if v.window < throughputWindow {
		return
	}
	v.throughput *= math.Pow(0.5, v.window.Seconds()/throughputHalving.Seconds())
	if v.served >= minServed {
		// Without refusals their processor time would have served requests too.
		serving := max(minServingFraction, 1-v.refusing/v.window.Seconds())
		v.throughput = max(v.throughput, float64(v.served)/v.window.Seconds()/serving)
		if duration := v.openTime / float64(v.served); v.duration == 0 && !v.disturbed { // by Little's law
			v.duration = duration
		} else if !v.disturbed {
			v.duration += durationWeight * (duration - v.duration)
		}
	}
	v.served, v.window, v.openTime, v.refusing, v.disturbed = 0, 0, 0, 0, false
}

// minServingFraction bounds the effect of refusals on the throughput, as their cost is only estimated.
const minServingFraction = 0.4

// durationWeight is the weight of a window in the mean duration of requests.
const durationWeight = 0.1

// Floor returns the bound below which the limiter never goes.
func (v *ConcurrencyLimiter) Floor() int { return int(v.minimum()) }

func (v *ConcurrencyLimiter) minimum() float64 {
	least := float64(v.MinLimit)
	if least == 0 {
		least = DefaultMinLimit
	}
	return max(least, throughputFraction*v.throughput*v.duration)
}

// Observe records a sample of the scheduling delay, the time elapsed since the previous sample, and the number of open requests.
func (v *ConcurrencyLimiter) Observe(delay, elapsed time.Duration, open int) {
	v.init()
	elapsed = max(0, elapsed)
	v.disturbed = v.disturbed || delay > maxDelay
	v.measure(elapsed, open)
	if v.bound > 0 {
		v.bound = max(v.bound, v.minimum())
	}
	switch {
	case delay > maxDelay:
		bound := v.bound
		if bound == 0 {
			bound = float64(open)
		}
		v.bound = max(v.minimum(), bound*math.Pow(0.5, min(1, elapsed.Seconds()/halvingTime.Seconds())))
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
