package front

import (
	"sync"
	"time"
)

const (
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.2
	// maxEstimates bounds the number of averages kept.
	maxEstimates = 4096
)

// teamProduct identifies the requests of one team to one product.
type teamProduct struct {
	team    string
	product string
}

// costEstimate holds moving averages over completed requests.
type costEstimate struct {
	cost    float64 // cost units
	service float64 // nanoseconds
}

// costEstimates estimates costs and service times from completed requests.
type costEstimates struct {
	mutex    sync.Mutex
	averages map[teamProduct]costEstimate
}

// estimate returns the average cost and service time, or the given cost and zero if there are no observations.
func (l *costEstimates) estimate(p teamProduct, cost int64) (int64, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h, ok := l.averages[p]
	if !ok {
		return cost, 0
	}
	return max(1, int64(h.cost)), time.Duration(h.service)
}

// observe adds the cost and service time of a completed request. When the table is full, all averages are dropped.
func (l *costEstimates) observe(p teamProduct, cost int64, service time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h, ok := l.averages[p]
	if !ok {
		if l.averages == nil || len(l.averages) >= maxEstimates {
			l.averages = make(map[teamProduct]costEstimate)
		}
		l.averages[p] = costEstimate{float64(cost), float64(service)}
		return
	}
	h.cost += averageWeight * (float64(cost) - h.cost)
	h.service += averageWeight * (float64(service) - h.service)
	l.averages[p] = h
}
