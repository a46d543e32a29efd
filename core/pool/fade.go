package pool

import "time"

// remaining gives the part of an old value that still counts when some time has passed, beside what is newer.
func remaining(passed, window time.Duration) float64 {
	x := float64(passed) / float64(window)
	return 1 - x/(1+x)
}

// rate is a rate in which what came longer ago counts less.
type rate struct {
	value float64 // a second
	at    time.Duration
}

func (r *rate) decay(now time.Duration) {
	if now <= r.at {
		return
	}
	r.value *= remaining(now-r.at, shareWindow)
	r.at = now
}

func (r *rate) add(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount / shareWindow.Seconds()
}

// mean is an amount as it was of late.
type mean struct {
	value float64
	at    time.Duration // 0 if nothing is known
}

// follow takes the newest amount in and gives the mean.
func (m *mean) follow(now time.Duration, amount float64) float64 {
	if m.at == 0 {
		m.value = amount
	}
	m.value += (amount - m.value) * (1 - remaining(now-m.at, busyWindow))
	m.at = max(1, now)
	return m.value
}
