package pool

import "time"

const (
	// healthWeight is the weight of the newest result in a server's moving failure rate.
	healthWeight = 0.15
	// ejectExcess is how far a server's failure rate may exceed that of its service before the server is ejected.
	ejectExcess = 0.3
	// ejectMinResults is the minimum number of results before a server is ejected for its failure rate.
	ejectMinResults = 3
	// minEjection is the duration of the first ejection; each consecutive one doubles it.
	minEjection = 700 * time.Millisecond
	// maxEjection is the maximum duration of an ejection: a crashed server is back within seconds.
	maxEjection = 4 * time.Second
)

// health ejects a server whose failure rate is high compared with that of its service.
type health struct {
	failureRate  float64 // moving failure rate
	results      int
	ejectedUntil time.Duration // end of the current or latest ejection
	ejections    int           // number of consecutive ejections
	probing      bool          // after an ejection, until the first success; a failure ejects the server again
}

// observe records the result of a request and reports whether the server is now ejected. The serviceRate is the failure rate
// of its service; unreachable means that the connection failed, which ejects the server at once.
func (h *health) observe(now time.Duration, failed, unreachable bool, serviceRate float64) bool {
	h.results++
	value := 0.0
	if failed {
		value = 1
	}
	h.failureRate += healthWeight * (value - h.failureRate)
	if !failed {
		if h.probing {
			h.probing, h.ejections, h.failureRate = false, 0, serviceRate
		}
		return false
	}
	eject := unreachable || h.probing || h.results >= ejectMinResults && h.failureRate > serviceRate+ejectExcess
	if !eject || now < h.ejectedUntil {
		return false
	}
	h.ejectedUntil = now + min(maxEjection, minEjection<<min(h.ejections, 8))
	h.ejections++
	h.probing = true
	return true
}

// ejected reports whether the server gets no work for now.
func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }
