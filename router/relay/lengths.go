package relay

import (
	"sync"
	"time"
)

// lengthWeight is the part of the newest request in a route's mean length.
const lengthWeight = 0.05

// lengths learns how long requests of each route take; its zero value works.
type lengths struct {
	mutex sync.Mutex
	means map[string]time.Duration // by the route's name
}

func (l *lengths) learn(route string, took time.Duration) {
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
	l.means[route] = mean + time.Duration(lengthWeight*float64(took-mean))
}

// mean gives the mean length of a route's requests, and 0 while none has ended.
func (l *lengths) mean(route string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.means[route]
}
