package relay

import (
	"sync"
	"time"
)

// meanWeight is the weight of the newest request in the moving average of a route's durations.
const meanWeight = 0.05

// routeDurations keeps a moving average of the request duration of each route. Its zero value is ready to use.
type routeDurations struct {
	mutex sync.Mutex
	means map[string]time.Duration // by route name
}

func (l *routeDurations) observe(route string, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.means == nil {
		l.means = make(map[string]time.Duration)
	}
	mean, ok := l.means[route]
	if !ok {
		l.means[route] = took
		return
	}
	l.means[route] = mean + time.Duration(meanWeight*float64(took-mean))
}

// mean returns the mean duration of a route's requests, or 0 if none has ended.
func (l *routeDurations) mean(route string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.means[route]
}
