package entry

import (
	"math/rand/v2"
	"time"

	"mangolug.org/core/fleet"
)

// Settings bounds the queues of a Room. A zero field takes its default.
type Settings struct {
	QueueLength    int           // most requests that one team may have waiting for one product
	QueueBytes     int64         // most bytes that one team's waiting requests may hold for one product
	AckDelay       time.Duration // longest time that a received grant stays unacknowledged
	ProgressPeriod time.Duration // least time between two reports of costs so far to one scheduler
	RetryAfter     time.Duration // mean retry delay advised to rejected callers when there is no better estimate
}

// Defaults of Settings.
const (
	DefaultQueueLength    = 512
	DefaultQueueBytes     = 16 << 20
	DefaultAckDelay       = 100 * time.Millisecond
	DefaultProgressPeriod = 500 * time.Millisecond
	DefaultRetryAfter     = time.Second
)

// retryAfterLimit bounds the mean of the advised retry delay: a past grant rate says little about the distant future.
const retryAfterLimit = 30 * time.Second

// Unused counts the grants that were received but not used, by cause.
type Unused struct {
	Lapsed    int64 // received after their lifetime
	Foreign   int64 // from a router that this one does not follow for the cell
	Duplicate int64 // received before
	Unwanted  int64 // the team had no waiting request
}

// Room holds the requests that wait at one router, and tracks what was reported to each cell's scheduler.
type Room struct {
	Self     string
	Settings Settings
	Seed     uint64                    // of the random jitter of RetryAfter
	Served   func(product string) bool // reports whether any backend server may serve the product; nil for always
	Unused   Unused

	queues    map[queueKey]*queue
	requests  map[string]*waiter
	deadlines deadlines
	cells     map[fleet.Cell]*cell
	random    *rand.Rand
}

func (r *Room) init() {
	if r.queues != nil {
		return
	}
	r.queues = make(map[queueKey]*queue)
	r.requests = make(map[string]*waiter)
	r.cells = make(map[fleet.Cell]*cell)
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	s := &r.Settings
	s.QueueLength = orDefault(s.QueueLength, DefaultQueueLength)
	if s.QueueBytes == 0 {
		s.QueueBytes = DefaultQueueBytes
	}
	s.AckDelay = orDuration(s.AckDelay, DefaultAckDelay)
	s.ProgressPeriod = orDuration(s.ProgressPeriod, DefaultProgressPeriod)
	s.RetryAfter = orDuration(s.RetryAfter, DefaultRetryAfter)
}

func orDefault(value, other int) int {
	if value == 0 {
		return other
	}
	return value
}

func orDuration(value, other time.Duration) time.Duration {
	if value == 0 {
		return other
	}
	return value
}

// cellOf returns the cell whose servers run a product.
func cellOf(product string) fleet.Cell { return fleet.Cell{Product: product} }

// Enqueue queues a request, or returns the verdict that rejects it at once. A request that already waits is ignored.
func (r *Room) Enqueue(now time.Duration, q Request) []Verdict {
	r.init()
	if r.requests[q.ID] != nil {
		return nil
	}
	key := queueKey{q.Product, q.Team}
	u := r.queues[key]
	if u == nil {
		u = &queue{key: key}
	}
	if reason := r.refusal(now, u, &q); reason != fleet.ReasonNone {
		return []Verdict{r.refuse(now, u, &waiter{request: q, since: now}, reason)}
	}
	r.queues[key] = u
	w := &waiter{request: q, since: now, queue: u}
	r.requests[q.ID] = w
	u.add(now, w)
	r.deadlines.add(w)
	r.cell(cellOf(q.Product)).queueChanged(now, u)
	return nil
}

// refusal returns why a request may not wait, or ReasonNone. Retries are exempt from the queue limits, as their first
// attempt was admitted.
func (r *Room) refusal(now time.Duration, u *queue, q *Request) fleet.Reason {
	switch {
	case q.Deadline <= now:
		return fleet.ReasonDeadlinePassed
	case !r.served(q.Product):
		return fleet.ReasonNoServer
	case q.Retry:
		return fleet.ReasonNone
	case u.waiting >= r.Settings.QueueLength:
		return fleet.ReasonQueueFull
	case u.bytes+q.Bytes > r.Settings.QueueBytes:
		return fleet.ReasonQueueBytes
	case now+u.rate.estimate(now, u.waiting) > q.Deadline:
		return fleet.ReasonWouldMissDeadline
	}
	return fleet.ReasonNone
}

func (r *Room) served(product string) bool { return r.Served == nil || r.Served(product) }

// refuse returns a rejection. Its RetryAfter has random jitter, so that callers do not retry all at once.
func (r *Room) refuse(now time.Duration, u *queue, w *waiter, reason fleet.Reason) Verdict {
	mean := min(max(r.Settings.RetryAfter, u.rate.estimate(now, u.waiting)), max(r.Settings.RetryAfter, retryAfterLimit))
	return Verdict{
		Request:    w.request.ID,
		Reason:     reason,
		RetryAfter: mean/2 + time.Duration(r.random.Int64N(int64(mean))),
		Cell:       cellOf(w.request.Product),
		Waited:     now - w.since,
	}
}

// Cancel removes a request whose caller went away. A request that does not wait is ignored.
func (r *Room) Cancel(now time.Duration, request string) {
	if w := r.requests[request]; w != nil {
		r.remove(w)
		r.cell(cellOf(w.request.Product)).queueChanged(now, w.queue)
	}
}

// remove takes a request out of its queue. The caller must mark the queue as changed.
func (r *Room) remove(w *waiter) {
	delete(r.requests, w.request.ID)
	r.deadlines.remove(w)
	w.queue.drop(w)
}

// releaseIfEmpty frees a queue that has no requests waiting or running and no change to report.
func (r *Room) releaseIfEmpty(u *queue) {
	if u.waiting == 0 && u.running == 0 && !u.changed {
		delete(r.queues, u.key)
	}
}

// Expire rejects the requests whose deadline has passed or whose product no longer has a server.
func (r *Room) Expire(now time.Duration) []Verdict {
	r.init()
	var verdicts []Verdict
	for w := r.deadlines.first(); w != nil && w.request.Deadline <= now; w = r.deadlines.first() {
		verdicts = append(verdicts, r.refuseWaiting(now, w, fleet.ReasonDeadlinePassed))
	}
	if r.allServed() {
		return verdicts
	}
	for _, u := range r.sortedQueues() {
		if u.waiting == 0 || r.served(u.key.product) {
			continue
		}
		for w := u.head(); w != nil; w = u.head() {
			verdicts = append(verdicts, r.refuseWaiting(now, w, fleet.ReasonNoServer))
		}
	}
	return verdicts
}

func (r *Room) allServed() bool {
	for id := range r.cells {
		if !r.served(id.Product) {
			return false
		}
	}
	return true
}

func (r *Room) refuseWaiting(now time.Duration, w *waiter, reason fleet.Reason) Verdict {
	v := r.refuse(now, w.queue, w, reason)
	r.remove(w)
	r.cell(cellOf(w.request.Product)).queueChanged(now, w.queue)
	return v
}

// NextWake returns the time at which Expire or Demands next has work to do, and false if there is none.
func (r *Room) NextWake() (time.Duration, bool) {
	var at time.Duration
	found := false
	wakeBy := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if w := r.deadlines.first(); w != nil {
		wakeBy(w.request.Deadline)
	}
	for _, c := range r.cells {
		if t, ok := c.due(&r.Settings); ok {
			wakeBy(t)
		}
	}
	return at, found
}
