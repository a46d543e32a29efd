package pool

import "time"

// decayFactor returns the weight that an old value keeps, next to newer ones, after some time has passed.
func decayFactor(elapsed, window time.Duration) float64 {
	x := float64(elapsed) / float64(window)
	return 1 - x/(1+x)
}

// rate is a decaying rate, in which older amounts count less.
type rate struct {
	value float64 // per second
	at    time.Duration
}

func (r *rate) decay(now time.Duration) {
	if now <= r.at {
		return
	}
	r.value *= decayFactor(now-r.at, shareWindow)
	r.at = now
}

func (r *rate) observe(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount / shareWindow.Seconds()
}

// movingAverage is a decaying average of an amount.
type movingAverage struct {
	value float64
	at    time.Duration // 0 if nothing was observed
}

// observe records the newest amount and returns the average.
func (m *movingAverage) observe(now time.Duration, amount float64) float64 {
	if m.at == 0 {
		m.value = amount
	}
	m.value += (amount - m.value) * (1 - decayFactor(now-m.at, loadWindow))
	m.at = max(1, now)
	return m.value
}
