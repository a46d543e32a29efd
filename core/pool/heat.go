package pool

import (
	"math"
	"time"
)

// heatSubjects bounds how many subjects are counted.
const heatSubjects = 4096

// heat counts the requests on each subject that came here lately.
type heat struct {
	subjects map[uint64]warmth
}

// warmth is a count that fades within cacheMemory.
type warmth struct {
	count float64
	at    time.Duration
}

func (w warmth) now(now time.Duration) float64 {
	return w.count * math.Exp(-float64(now-w.at)/float64(cacheMemory))
}

// note counts one request.
func (h *heat) note(now time.Duration, subject uint64) {
	if h.subjects == nil {
		h.subjects = make(map[uint64]warmth)
	}
	if len(h.subjects) > heatSubjects {
		h.prune(now)
	}
	h.subjects[subject] = warmth{h.subjects[subject].now(now) + 1, now}
}

// prune forgets subjects on which nothing came lately, or all if that is not enough.
func (h *heat) prune(now time.Duration) {
	for subject, w := range h.subjects {
		if w.now(now) < math.Exp(-1) {
			delete(h.subjects, subject)
		}
	}
	if len(h.subjects) > heatSubjects {
		clear(h.subjects)
	}
}

// count gives how many requests on a subject came lately.
func (h *heat) count(now time.Duration, subject uint64) float64 { return h.subjects[subject].now(now) }
