package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// Min is the lowest speed of a server relative to its service, whatever is measured or reported.
	Min = 0.25
	// Max is the highest one.
	Max = 4.0
	// window is the time in which the weight of a sample falls to 1/e. Speed is a property of a machine and changes rarely.
	window = 10 * time.Second
	// maxWeight bounds the weight of one sample: a prompt of many seconds is still one observation.
	maxWeight = 200 * time.Millisecond
	// MinExpected is the expected time below which a sample says little, as what varies beside it is longer.
	MinExpected = 8 * time.Millisecond
	// prior is the evidence, in expected milliseconds, with which each server is assumed to have the speed of its service: five to ten
	// requests.
	prior = 150.0
	// sampleNoise is the standard deviation of the logarithm of one sample, and usualWeight its usual weight in milliseconds.
	sampleNoise, usualWeight = 0.7, 30.0
	// minDeviation and sureDeviation are deviations of a speed from 1 in standard errors. A smaller one than the first counts as noise,
	// as servers of equal speed must not be told apart by it; a larger one than the second counts in full.
	minDeviation, sureDeviation = 1.5, 3.0
	// minMedian is the number of servers from which on the median one has the speed 1; the mean of fewer has it.
	minMedian = 5
)

// bound returns the nearest speed within the bounds, and 1 for one that is not a number.
func bound(speed float64) float64 {
	if math.IsNaN(speed) {
		return 1
	}
	return min(max(speed, Min), Max)
}

// Evidence holds the sums of the expected times at the speed of the service, and of the measured times, in milliseconds. Sums of several
// routers add up.
type Evidence struct {
	Expected, Measured float64
}

// Add adds another sum.
func (e *Evidence) Add(o Evidence) {
	e.Expected += o.Expected
	e.Measured += o.Measured
}

// Record holds the decaying evidence of one router on one server. The zero value is ready to use.
type Record struct {
	sums Evidence
	at   time.Duration
}

// Observe adds the time that a server took for work that takes the expected time at the speed of its service. A sample beyond the bounds
// counts as one at the bound.
func (r *Record) Observe(now, expected, measured time.Duration) {
	if expected < MinExpected {
		return
	}
	r.sums = r.Evidence(now)
	r.at = max(r.at, now)
	ratio := min(max(float64(measured)/float64(expected), 1/Max), 1/Min)
	weight := millis(min(expected, maxWeight))
	r.sums.Add(Evidence{weight, weight * ratio})
}

// Evidence returns the evidence at a point in time.
func (r *Record) Evidence(now time.Duration) Evidence {
	if now <= r.at {
		return r.sums
	}
	keep := math.Exp(-float64(now-r.at) / float64(window))
	return Evidence{r.sums.Expected * keep, r.sums.Measured * keep}
}

// Relative returns the speeds of the servers of one service from the evidence on them, in the same order. Where evidence is thin the
// speed is near 1, and without any it is 1. What slows down all measurements alike doesn't change them.
func Relative(list []Evidence) []float64 {
	speeds := make([]float64, len(list))
	var all Evidence
	for _, e := range list {
		all.Add(e)
	}
	mean := 1.0
	if all.Expected > 0 && all.Measured > 0 {
		mean = all.Expected / all.Measured
	}
	known := make([]float64, 0, len(list))
	for i, e := range list {
		speeds[i] = (e.Expected + prior) / (e.Measured*mean + prior)
		if e.Expected > 0 {
			known = append(known, speeds[i])
		}
	}
	usual := 1.0
	if len(known) >= minMedian {
		slices.Sort(known)
		usual = known[len(known)/2]
	}
	for i, e := range list {
		if e.Expected <= 0 {
			speeds[i] = 1
			continue
		}
		speeds[i] = bound(reduce(speeds[i]/usual, e.Expected))
	}
	return speeds
}

// reduce moves a speed towards 1 by what may be noise (firm shrinkage: Gao and Bruce, 1997).
func reduce(speed, weight float64) float64 {
	deviation := math.Log(speed)
	standardError := sampleNoise * math.Sqrt(usualWeight/weight)
	sure := (math.Abs(deviation)/standardError - minDeviation) / (sureDeviation - minDeviation)
	switch {
	case sure <= 0:
		return 1
	case sure < 1:
		return math.Exp(math.Copysign(sure*sureDeviation*standardError, deviation))
	}
	return speed
}
