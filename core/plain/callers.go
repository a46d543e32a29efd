package plain

import "time"

const (
	// returnMargin is how much less time than usual a caller has that returns after a refusal. It is half of the shortest
	// Retry-After of a service that is short of capacity.
	returnMargin = minRetryAfter / 2
	// usualWindow is how long the longest time that a caller of a route gave counts at least.
	usualWindow = 10 * time.Second
	// easeDelay is how long after the last shortage no caller returns from a refusal any more.
	easeDelay = 5 * time.Second
	// maxBriefFraction is the fraction of the callers of a route with less time than usual, while none was refused, above which
	// the time doesn't tell first tries and returns apart.
	maxBriefFraction = 0.1
	// briefWeight is the weight of one request in that fraction.
	briefWeight = 0.05
)

// Kinds of requests that have accounts of their own.
const (
	firstTry = iota
	returned
)

// callers is what is known of the callers of one route.
type callers struct {
	credit            [2]float64    // requests that may be sent, by kind
	longest, previous time.Duration // longest time that a caller gave in this window and the one before
	since             time.Duration // start of the window of the longest time
	brief             float64       // fraction of callers with less time than usual while no caller was refused
}

// observe records the time that a caller gives a request, and reports whether the caller seems to return after a refusal.
// Callers say how long they wait in all, so that a caller that returns has less time than usual.
func (c *callers) observe(now, callerTime time.Duration, atEase bool) bool {
	if callerTime <= 0 {
		return false
	}
	if atEase && now-c.since > usualWindow {
		c.longest, c.previous, c.since = 0, c.longest, now
	}
	if atEase || c.longest == 0 { // a caller with a longer time must not make all others look as if they returned
		c.longest = max(c.longest, callerTime)
	}
	brief := callerTime < max(c.longest, c.previous)-returnMargin
	if atEase {
		value := 0.0
		if brief {
			value = 1
		}
		c.brief += briefWeight * (value - c.brief)
	}
	return brief && !atEase && c.brief <= maxBriefFraction
}
