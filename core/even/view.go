package even

import (
	"math"
	"time"
)

const (
	// NewsDelay is the mean age of the other routers' sums when they arrive: they travel over up to three routers, each of
	// which sends once per period.
	NewsDelay = 150 * time.Millisecond
	// maxOverbooking is the number of requests beyond its slots that a server may get, as a fraction of its slots. More would
	// wait where they can be neither reordered nor refused.
	maxOverbooking = 0.5
	// certain is the number of standard deviations beyond which a slot is taken to be free.
	certain = 3
)

// View is what a router knows of the requests at a server.
type View struct {
	Own    int64         // requests of this router
	Others int64         // requests of the other routers, as last known
	Age    time.Duration // age of Others
	Blind  bool          // there are other routers, and nothing is known of their requests
	Slots  int           // requests that the server runs at the same time; 0 if unknown
	Hold   time.Duration // mean time for which a request holds a slot; 0 if unknown
}

// unseen returns the expected number of requests that the other routers sent since Others was true. In a steady state as
// many ended in the meantime. It is at most the number of slots, which bounds all estimates.
func (v *View) unseen() float64 {
	slots := float64(max(0, v.Slots))
	if v.Blind {
		return slots
	}
	if v.Hold <= 0 {
		return 0
	}
	return min(slots, float64(max(0, v.Others))*float64(max(0, v.Age))/float64(v.Hold))
}

// turn returns the mean time between the ends of two requests at a server whose slots are all taken.
func (v *View) turn() float64 {
	if v.Slots <= 0 {
		return 0
	}
	return float64(v.Hold) / float64(v.Slots)
}

// SlotWait returns the expected time until a slot is free for one more request, or 0 if it can't be estimated. The number
// of requests at the server is taken as normally distributed, as requests that are unseen have begun and ended.
func (v *View) SlotWait() time.Duration {
	if v.Slots <= 0 || v.Hold <= 0 {
		return 0
	}
	excess := min(float64(max(0, v.Own))+float64(max(0, v.Others))+1-float64(v.Slots), float64(v.Slots))
	deviation := 0.0
	if !v.Blind {
		deviation = math.Sqrt(2 * v.unseen())
	}
	return time.Duration(expectedExcess(excess, deviation) * v.turn())
}

// expectedExcess returns the mean of the positive part of a normally distributed number.
func expectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 || mean > certain*deviation {
		return max(0, mean)
	}
	if mean < -certain*deviation {
		return 0
	}
	z := mean / deviation
	return mean*0.5*(1+math.Erf(z/math.Sqrt2)) + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// MayHaveRoom reports whether one more request may be sent to a server: it has a free slot, or few requests wait for one
// and the wait can be estimated.
func (v *View) MayHaveRoom() bool {
	if v.Slots <= 0 {
		return true
	}
	limit := float64(v.Slots)
	if v.Hold > 0 {
		limit *= 1 + maxOverbooking
	}
	return float64(max(0, v.Own))+float64(max(0, v.Others)) < limit
}

// Spread returns a time to be added to the cost of a server, for a random number in [0, 1). It is in proportion to the
// uncertainty of the server's load, so that routers with the same old news choose different servers among those that
// they can't tell apart, and a server that is clearly better is chosen by all.
func (v *View) Spread(random float64) time.Duration {
	return time.Duration(random * math.Sqrt(v.unseen()) * v.turn())
}
