package pool

import "time"

const (
	// healthWeight is the part that the newest result has in a server's share of failures.
	healthWeight = 0.15
	// healthExcess is how far a server's share of failures may be above that of its service before it is set aside.
	healthExcess = 0.3
	// healthResults is how many results are needed for a judgement.
	healthResults = 3
	// asideFirst is how long a server is set aside at first; each further time in a row doubles it.
	asideFirst = 700 * time.Millisecond
	// asideLimit bounds how long a server is set aside: a crashed server is back within seconds.
	asideLimit = 4 * time.Second
)

// health judges a server by how its requests end, compared with the other servers of its service.
type health struct {
	failures float64 // moving share of failures
	results  int
	until    time.Duration // set aside until then
	times    int           // in a row that it was set aside
	trial    bool          // one request tries it after it was set aside
}

// note takes the result of a request in and reports whether the server is now set aside.
func (h *health) note(now time.Duration, failed, hard bool, usual float64) bool {
	h.results++
	value := 0.0
	if failed {
		value = 1
	}
	h.failures += healthWeight * (value - h.failures)
	if !failed {
		if h.trial {
			h.trial, h.times, h.failures = false, 0, usual
		}
		return false
	}
	bad := hard || h.trial || h.results >= healthResults && h.failures > usual+healthExcess
	if !bad || now < h.until {
		return false
	}
	h.until = now + min(asideLimit, asideFirst<<min(h.times, 8))
	h.times++
	h.trial = true
	return true
}

// aside reports a server that is to get no work for now.
func (h *health) aside(now time.Duration) bool { return now < h.until }
