package share

import (
	"math"
	"slices"

	"mangolug.org/core/digest"
)

const (
	// expectedSteps and slownessSteps are the numbers of steps in a factor of two: 9 % and 2 %. The expected time is only the weight of the
	// evidence, while the slowness is what decides.
	expectedSteps, slownessSteps = 8, 32
	// slownessZero is the byte of equal times.
	slownessZero = 128
)

// encodeTimings sets the columns of the evidence on servers' speeds.
func encodeTimings(t *Totals, timings map[uint32]digest.Timing) {
	for id, e := range timings {
		if e.Expected <= 0 || e.Measured <= 0 {
			continue
		}
		expected := toStep(expectedSteps*math.Log2(float64(e.Expected)), 1)
		slowness := toStep(slownessZero+slownessSteps*math.Log2(float64(e.Measured)/float64(e.Expected)), 0)
		t.Timed, t.Expected, t.Slowness = append(t.Timed, id), append(t.Expected, expected), append(t.Slowness, slowness)
	}
}

func toStep(x float64, least byte) byte {
	return byte(min(max(math.Round(x), float64(least)), math.MaxUint8))
}

// decodeTimings returns the evidence, or nil if there is none or the columns differ in length.
func decodeTimings(t *Totals) map[uint32]digest.Timing {
	n := len(t.Timed)
	if n == 0 || len(t.Expected) != n || len(t.Slowness) != n || slices.Contains(t.Expected, 0) {
		return nil
	}
	timings := make(map[uint32]digest.Timing, n)
	for i, id := range t.Timed {
		expected := math.Exp2(float64(t.Expected[i]) / expectedSteps)
		measured := expected * math.Exp2((float64(t.Slowness[i])-slownessZero)/slownessSteps)
		timings[id] = digest.Timing{Expected: int64(math.Round(expected)), Measured: max(1, int64(math.Round(measured)))}
	}
	return timings
}
