package proc

import (
	"sync"
	"time"

	"mangolug.org/core/valve"
	"mangolug.org/router/relay"
)

// limiter limits concurrent requests by the wait for the processor; it is safe for concurrent use, and its zero value has no
// limit.
type limiter struct {
	mutex      sync.Mutex // guards all below
	valve      valve.ConcurrencyLimiter
	lastReject time.Time // time of the last rejection
	served     int64     // requests that were served until the last call of observeWork
	refused    int64     // requests that were refused unread until then
	used       time.Duration
}

// refusalCost is about the processor time of a refusal before the body is read, by BenchmarkRefusal.
const refusalCost = 20 * time.Microsecond

// observeWork records how many requests were served and refused unread so far, the processor time that the process has used, and the time
// since the previous call.
func (l *limiter) observeWork(served, refused int64, used, since time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.valve.Served(int(served - l.served))
	if refusing := time.Duration(refused-l.refused) * refusalCost; refusing > 0 && used > l.used {
		l.valve.Refused(refusing.Seconds()/(used-l.used).Seconds(), since)
	}
	l.served, l.refused, l.used = served, refused, used
}

// rejects reports whether a new request exceeds the limit at the given load.
func (l *limiter) rejects(load relay.Load) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	full := l.valve.Full(load.Open, load.OfTeam, load.Teams)
	if full {
		l.lastReject = time.Now()
	}
	return full
}

// observe adjusts the limit to how late a goroutine got the processor, the time since the previous measurement, and the number of
// open requests.
func (l *limiter) observe(late, since time.Duration, open int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.valve.Observe(late, since, open)
}

// rejectedWithin reports whether a request was rejected less than length ago.
func (l *limiter) rejectedWithin(length time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Since(l.lastReject) < length
}

// floor returns the limit below which the limiter never goes.
func (l *limiter) floor() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.valve.Floor()
}

// bound returns the limit of open requests; 0 means no limit.
func (l *limiter) bound() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.valve.Limit()
}
