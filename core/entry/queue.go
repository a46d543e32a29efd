package entry

import (
	"container/heap"
	"time"
)

// queueKey names one team's queue; product first, so that a cell's queues sort together.
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
	request Request
	since   time.Duration
	queue   *queue
	place   int  // index in the heap of deadlines
	gone    bool // left the queue, but not yet its slice
}

// queue is one team's requests and grants in use for one product.
type queue struct {
	key     queueKey
	retries fifo
	firsts  fifo
	waiting int
	running int
	bytes   int64
	pace    pace
	changed bool // the scheduler does not know the present state
	told    bool // the scheduler knows of waiting requests
}

func (u *queue) add(now time.Duration, w *waiter) {
	if u.waiting == 0 {
		u.pace = pace{since: now}
	}
	u.waiting++
	u.bytes += w.request.Bytes
	if w.request.Retry {
		u.retries.push(w)
		return
	}
	u.firsts.push(w)
}

func (u *queue) drop(w *waiter) {
	w.gone = true
	u.waiting--
	u.bytes -= w.request.Bytes
	if w.request.Retry {
		u.retries.drop()
		return
	}
	u.firsts.drop()
}

// head gives the request that the next grant serves, nil for none.
func (u *queue) head() *waiter {
	if w := u.retries.head(); w != nil {
		return w
	}
	return u.firsts.head()
}

// oldest gives the arrival of the longest waiting request; the queue is not empty.
func (u *queue) oldest() time.Duration {
	a, b := u.retries.head(), u.firsts.head()
	switch {
	case a == nil:
		return b.since
	case b == nil:
		return a.since
	}
	return min(a.since, b.since)
}

// fifo is a queue from whose middle requests may go; they are swept out when half of it has gone.
type fifo struct {
	waiters []*waiter
	gone    int
}

func (f *fifo) push(w *waiter) { f.waiters = append(f.waiters, w) }

func (f *fifo) drop() {
	f.gone++
	if 2*f.gone < len(f.waiters) {
		return
	}
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if !w.gone {
			kept = append(kept, w)
		}
	}
	clear(f.waiters[len(kept):])
	f.waiters, f.gone = kept, 0
}

func (f *fifo) head() *waiter {
	for len(f.waiters) > 0 && f.waiters[0].gone {
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		f.gone--
	}
	if len(f.waiters) == 0 {
		return nil
	}
	return f.waiters[0]
}

// Length of the record that a pace is taken from.
const (
	paceGrants = 32
	paceLeast  = 8
)

// pace estimates how fast a team is granted here while it has requests waiting.
type pace struct {
	since time.Duration // begin of the backlogged period
	at    [paceGrants]time.Duration
	count int
}

func (p *pace) granted(now time.Duration) {
	p.at[p.count%paceGrants] = now
	p.count++
}

// estimate gives the expected wait behind a number of requests, 0 while too few grants were seen.
func (p *pace) estimate(now time.Duration, ahead int) time.Duration {
	if p.count < paceLeast {
		return 0
	}
	begin, seen := p.since, p.count
	if p.count > paceGrants {
		begin, seen = p.at[p.count%paceGrants], paceGrants
	}
	return time.Duration(int64(now-begin) / int64(seen) * int64(ahead+1))
}

// deadlines is a heap of waiting requests, the earliest deadline first.
type deadlines []*waiter

// Len is part of heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less is part of heap.Interface; equal deadlines go by id, so that replays agree.
func (d deadlines) Less(i, j int) bool {
	a, b := &d[i].request, &d[j].request
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ID < b.ID
}

// Swap is part of heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push is part of heap.Interface.
func (d *deadlines) Push(x any) {
	w := x.(*waiter)
	w.place = len(*d)
	*d = append(*d, w)
}

// Pop is part of heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	w := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return w
}

func (d *deadlines) add(w *waiter) { heap.Push(d, w) }

func (d *deadlines) remove(w *waiter) { heap.Remove(d, w.place) }

func (d *deadlines) first() *waiter {
	if len(*d) == 0 {
		return nil
	}
	return (*d)[0]
}
