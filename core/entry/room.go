package entry

import (
	"math/rand/v2"
	"time"

	"mangolug.org/core/fleet"
)

// Settings bounds the waiting rooms; a zero field takes its default.
type Settings struct {
	QueueLength    int           // requests that one team may have waiting for one product
	QueueBytes     int64         // bytes that one team's waiting requests may hold for one product
	AckDelay       time.Duration // longest time that a received grant stays unacknowledged
	ProgressPeriod time.Duration // time between two reports of costs so far to one scheduler
	RetryAfter     time.Duration // mean of the advice to come back when no better estimate exists
}

// Defaults of Settings.
const (
	DefaultQueueLength    = 512
	DefaultQueueBytes     = 16 << 20
	DefaultAckDelay       = 100 * time.Millisecond
	DefaultProgressPeriod = 500 * time.Millisecond
	DefaultRetryAfter     = time.Second
)

// retryAfterLimit bounds the mean of the advice to come back: a pace seen once says little about later.
const retryAfterLimit = 30 * time.Second

// Unused counts the grants that were received and not used, by cause.
type Unused struct {
	Lapsed    int64 // received later than their lifetime
	Foreign   int64 // from a router that this one does not follow for the cell
	Duplicate int64 // received before
	Unwanted  int64 // nobody of the team was waiting
}

// Room keeps the requests that wait at one router and what its schedulers know of them.
type Room struct {
	Self     string
	Settings Settings
	Seed     uint64                    // of the spread of RetryAfter
	Served   func(product string) bool // whether any backend server may serve the product; nil for always
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

// cellOf gives the cell whose servers run a product.
func cellOf(product string) fleet.Cell { return fleet.Cell{Product: product} }

// Arrive takes a request in to wait, or gives the verdict that refuses it at once.
func (r *Room) Arrive(now time.Duration, q Request) []Verdict {
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
	r.cell(cellOf(q.Product)).touch(now, u)
	return nil
}

// refusal says why a request may not wait; retries keep the place that their first try had.
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
	case now+u.pace.estimate(now, u.waiting) > q.Deadline:
		return fleet.ReasonWouldMissDeadline
	}
	return fleet.ReasonNone
}

func (r *Room) served(product string) bool { return r.Served == nil || r.Served(product) }

// refuse makes a refusal whose advice is spread so that callers do not come back as one.
func (r *Room) refuse(now time.Duration, u *queue, w *waiter, reason fleet.Reason) Verdict {
	mean := min(max(r.Settings.RetryAfter, u.pace.estimate(now, u.waiting)), max(r.Settings.RetryAfter, retryAfterLimit))
	return Verdict{
		Request:    w.request.ID,
		Reason:     reason,
		RetryAfter: mean/2 + time.Duration(r.random.Int64N(int64(mean))),
		Cell:       cellOf(w.request.Product),
		Waited:     now - w.since,
	}
}

// Leave frees the place of a request whose caller went away; a request that does not wait is ignored.
func (r *Room) Leave(now time.Duration, request string) {
	if w := r.requests[request]; w != nil {
		r.remove(w)
		r.cell(cellOf(w.request.Product)).touch(now, w.queue)
	}
}

// remove takes a request out of its queue; the caller notes the change for the scheduler.
func (r *Room) remove(w *waiter) {
	delete(r.requests, w.request.ID)
	r.deadlines.remove(w)
	w.queue.drop(w)
}

// forget frees a team's queue that holds nothing and has nothing to tell.
func (r *Room) forget(u *queue) {
	if u.waiting == 0 && u.running == 0 && !u.changed {
		delete(r.queues, u.key)
	}
}

// Expire refuses the requests whose deadline has passed or whose product has no server any more.
func (r *Room) Expire(now time.Duration) []Verdict {
	r.init()
	var verdicts []Verdict
	for w := r.deadlines.first(); w != nil && w.request.Deadline <= now; w = r.deadlines.first() {
		verdicts = append(verdicts, r.giveUp(now, w, fleet.ReasonDeadlinePassed))
	}
	if r.allServed() {
		return verdicts
	}
	for _, u := range r.sorted() {
		if u.waiting == 0 || r.served(u.key.product) {
			continue
		}
		for w := u.head(); w != nil; w = u.head() {
			verdicts = append(verdicts, r.giveUp(now, w, fleet.ReasonNoServer))
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

func (r *Room) giveUp(now time.Duration, w *waiter, reason fleet.Reason) Verdict {
	v := r.refuse(now, w.queue, w, reason)
	r.remove(w)
	r.cell(cellOf(w.request.Product)).touch(now, w.queue)
	return v
}

// Wake gives the time at which Expire or Demands next has something to do, and false for none.
func (r *Room) Wake() (time.Duration, bool) {
	var at time.Duration
	found := false
	sooner := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if w := r.deadlines.first(); w != nil {
		sooner(w.request.Deadline)
	}
	for _, c := range r.cells {
		if t, ok := c.due(&r.Settings); ok {
			sooner(t)
		}
	}
	return at, found
}
