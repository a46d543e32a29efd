package plain

import (
	"math"
	"time"
)

// rateWindow is the averaging window of rates: a jump of the demand has to be known before the servers' queues are full, and
// the sum over the routers of a fleet averages the noise of each.
const rateWindow = 500 * time.Millisecond

// meter measures a rate of events.
type meter struct {
	perSecond float64 // at the given time
	at        time.Duration
}

func (m *meter) observe(now time.Duration) {
	m.perSecond = m.rate(now) + 1/rateWindow.Seconds()
	m.at = now
}

// rate returns the events per second.
func (m *meter) rate(now time.Duration) float64 {
	return m.perSecond * keep(now-m.at, rateWindow)
}

// keep returns the weight that an old value keeps after some time.
func keep(elapsed, window time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / window.Seconds())
}

// ratio is a decaying ratio of two sums.
type ratio struct {
	over, under float64
	at          time.Duration
}

func (r *ratio) observe(now, window time.Duration, over, under float64) {
	w := keep(now-r.at, window)
	r.over, r.under, r.at = r.over*w+over, r.under*w+under, now
}
