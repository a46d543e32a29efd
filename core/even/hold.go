package even

import "time"

const (
	// holdWeight is the weight of one request in the mean: a router sees few requests per second.
	holdWeight = 0.02
	// firstHolds is the number of requests that count equally, so that a router that just began soon knows the mean.
	firstHolds = 50
	// maxHold bounds one observation, as a single request that hangs says little about the others.
	maxHold = time.Minute
)

// HoldTime is a moving average of how long requests hold a slot of a server, from their first events on. The time before
// contains waits at the server, which would make the average rise with the very load that it is to estimate.
type HoldTime struct {
	mean  time.Duration
	count int
}

// Observe records how long a request held its slot; times that are not positive are ignored.
func (h *HoldTime) Observe(held time.Duration) {
	if held <= 0 {
		return
	}
	weight := holdWeight
	if h.count < firstHolds {
		h.count++
		weight = 1 / float64(h.count)
	}
	h.mean += time.Duration(weight * float64(min(held, maxHold)-h.mean))
}

// Mean returns the average, or 0 if nothing was observed.
func (h *HoldTime) Mean() time.Duration { return h.mean }
