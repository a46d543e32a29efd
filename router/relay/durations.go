package relay

import (
	"sync"
	"time"
)

const (
	// meanWeight is the weight of the newest request in the moving average of a route's durations.
	meanWeight = 0.05
	// longestWeight is the weight of the newest request in the longest duration if it took less, so that a single long one is forgotten after some
	// hundreds.
	longestWeight = 0.005
)

// routeDurations keeps how long the requests of each route take. Its zero value is ready to use.
type routeDurations struct {
	mutex  sync.Mutex
	routes map[string]durations // by route name
}

// durations are those of a route's requests.
type durations struct {
	mean, longest time.Duration
}

func (l *routeDurations) observe(route string, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.routes == nil {
		l.routes = make(map[string]durations)
	}
	d, ok := l.routes[route]
	if !ok {
		l.routes[route] = durations{took, took}
		return
	}
	d.mean += time.Duration(meanWeight * float64(took-d.mean))
	d.longest = max(took, d.longest+time.Duration(longestWeight*float64(took-d.longest)))
	l.routes[route] = d
}

// of returns the durations of a route's requests, and false if none has ended.
func (l *routeDurations) of(route string) (durations, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	d, ok := l.routes[route]
	return d, ok
}
