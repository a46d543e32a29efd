package pool

import (
	"math"
	"time"
)

// maxDemandCounts is the maximum number of affinity keys that are counted.
const maxDemandCounts = 4096

// demandCounts counts the recent requests at this router by affinity key.
type demandCounts struct {
	counts map[uint64]decayingCount
}

// decayingCount is a count that decays with time constant cacheTTL.
type decayingCount struct {
	count float64
	at    time.Duration
}

func (w decayingCount) value(now time.Duration) float64 {
	return w.count * math.Exp(-float64(now-w.at)/float64(cacheTTL))
}

// observe counts one request.
func (h *demandCounts) observe(now time.Duration, key uint64) {
	if h.counts == nil {
		h.counts = make(map[uint64]decayingCount)
	}
	if len(h.counts) > maxDemandCounts {
		h.prune(now)
	}
	h.counts[key] = decayingCount{h.counts[key].value(now) + 1, now}
}

// prune removes keys without recent requests, or all keys if too few of them are idle.
func (h *demandCounts) prune(now time.Duration) {
	for key, w := range h.counts {
		if w.value(now) < math.Exp(-1) {
			delete(h.counts, key)
		}
	}
	if len(h.counts) > maxDemandCounts {
		clear(h.counts)
	}
}

// count returns the decayed number of requests with an affinity key.
func (h *demandCounts) count(now time.Duration, key uint64) float64 {
	return h.counts[key].value(now)
}
