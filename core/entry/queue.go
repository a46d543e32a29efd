package entry

import (
	"container/heap"
	"time"
)

// queueKey identifies one team's queue. The product comes first, so that a cell's queues sort together.
type queueKey struct {
	product string
	team    string
}

func (k queueKey) less(o queueKey) bool {
	if k.product != o.product {
		return k.product < o.product
	}
	return k.team < o.team
}

// waiter is a waiting request.
type waiter struct {
	request   Request
	since     time.Duration
	queue     *queue
	heapIndex int  // index in the deadlines heap
	removed   bool // logically removed, but still in the slice of the fifo
}

// queue holds one team's waiting requests, and counts its grants in use, for one product.
type queue struct {
	key           queueKey
	retries       fifo
	firstAttempts fifo
	waiting       int
	running       int
	bytes         int64
	rate          grantRate
	changed       bool // the current state was not reported to the scheduler
	reported      bool // the last report to the scheduler had waiting requests
}

func (u *queue) add(now time.Duration, w *waiter) {
	if u.waiting == 0 {
		u.rate = grantRate{since: now}
	}
	u.waiting++
	u.bytes += w.request.Bytes
	if w.request.Retry {
		u.retries.push(w)
		return
	}
	u.firstAttempts.push(w)
}

func (u *queue) drop(w *waiter) {
	w.removed = true
	u.waiting--
	u.bytes -= w.request.Bytes
	if w.request.Retry {
		u.retries.drop()
		return
	}
	u.firstAttempts.drop()
}

// head returns the request that the next grant serves, or nil if none waits. Retries are served before first attempts.
func (u *queue) head() *waiter {
	if w := u.retries.head(); w != nil {
		return w
	}
	return u.firstAttempts.head()
}

// oldestArrival returns the arrival time of the request that has waited longest. The queue must not be empty.
func (u *queue) oldestArrival() time.Duration {
	a, b := u.retries.head(), u.firstAttempts.head()
	switch {
	case a == nil:
		return b.since
	case b == nil:
		return a.since
	}
	return min(a.since, b.since)
}

// fifo is a queue whose elements may be removed from the middle. It is compacted when half of its elements are removed.
type fifo struct {
	waiters []*waiter
	removed int
}

func (f *fifo) push(w *waiter) { f.waiters = append(f.waiters, w) }

func (f *fifo) drop() {
	f.removed++
	if 2*f.removed < len(f.waiters) {
		return
	}
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if !w.removed {
			kept = append(kept, w)
		}
	}
	clear(f.waiters[len(kept):])
	f.waiters, f.removed = kept, 0
}

func (f *fifo) head() *waiter {
	for len(f.waiters) > 0 && f.waiters[0].removed {
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		f.removed--
	}
	if len(f.waiters) == 0 {
		return nil
	}
	return f.waiters[0]
}

// Numbers of grants from which a rate is computed.
const (
	rateSamples    = 32
	minRateSamples = 8
)

// grantRate estimates the rate at which a team gets grants at this router while it is backlogged.
type grantRate struct {
	since time.Duration // start of the backlogged period
	at    [rateSamples]time.Duration
	count int
}

func (p *grantRate) granted(now time.Duration) {
	p.at[p.count%rateSamples] = now
	p.count++
}

// estimate returns the expected wait behind the given number of requests, or 0 while there are too few samples.
func (p *grantRate) estimate(now time.Duration, ahead int) time.Duration {
	if p.count < minRateSamples {
		return 0
	}
	start, samples := p.since, p.count
	if p.count > rateSamples {
		start, samples = p.at[p.count%rateSamples], rateSamples
	}
	return time.Duration(int64(now-start) / int64(samples) * int64(ahead+1))
}

// deadlines is a heap of waiting requests, earliest deadline first.
type deadlines []*waiter

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface. Equal deadlines are ordered by ID, so that replays are deterministic.
func (d deadlines) Less(i, j int) bool {
	a, b := &d[i].request, &d[j].request
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ID < b.ID
}

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*d)
	*d = append(*d, w)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	w := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return w
}

func (d *deadlines) add(w *waiter) { heap.Push(d, w) }

func (d *deadlines) remove(w *waiter) { heap.Remove(d, w.heapIndex) }

func (d *deadlines) first() *waiter {
	if len(*d) == 0 {
		return nil
	}
	return (*d)[0]
}
