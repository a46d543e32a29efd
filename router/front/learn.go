package front

import (
	"sync"
	"time"
)

const (
	// learnWeight is the weight of the newest observation.
	learnWeight = 0.2
	// learnEntries bounds the pairs of team and product that are remembered.
	learnEntries = 4096
)

// pair is a team's use of a product.
type pair struct {
	team    string
	product string
}

// habit is what a team's requests to a product have cost of late.
type habit struct {
	cost    float64 // cost units
	service float64 // nanoseconds
}

// habits learns costs and service times.
type habits struct {
	mutex sync.Mutex
	pairs map[pair]habit
}

// expect gives the learnt cost and service time, or the given cost and zero.
func (l *habits) expect(p pair, cost int64) (int64, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h, ok := l.pairs[p]
	if !ok {
		return cost, 0
	}
	return max(1, int64(h.cost)), time.Duration(h.service)
}

// learn takes in the cost and the service time of a completed request.
func (l *habits) learn(p pair, cost int64, service time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h, ok := l.pairs[p]
	if !ok {
		if l.pairs == nil || len(l.pairs) >= learnEntries {
			l.pairs = make(map[pair]habit)
		}
		l.pairs[p] = habit{float64(cost), float64(service)}
		return
	}
	h.cost += learnWeight * (float64(cost) - h.cost)
	h.service += learnWeight * (float64(service) - h.service)
	l.pairs[p] = h
}
