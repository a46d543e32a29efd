package world

import (
	"container/heap"
	"time"

	"mangolug.org/core/valve"
)

// RouterModel is the cost model of a router's processor. Costs are in time on a whole core.
type RouterModel struct {
	CoreShare       float64       // fraction of a core that the router has
	AdmitCost       time.Duration // to read and forward a request
	EventCost       time.Duration // to forward one event
	RejectCost      time.Duration // to reject a request
	EventsPerAnswer int           // number of events in an answer
	FirstEventDelay time.Duration // from forwarding to the first event
	EventInterval   time.Duration // interval between two events
}

// SmallRouter returns the model of a small VM of the users' sheets. It completes about as many requests per second as
// those VMs did in the incident FAIR.
func SmallRouter() RouterModel {
	return RouterModel{
		CoreShare: 0.192, AdmitCost: 400 * time.Microsecond, EventCost: 45 * time.Microsecond, RejectCost: 40 * time.Microsecond,
		EventsPerAnswer: 20, FirstEventDelay: 150 * time.Millisecond, EventInterval: 25 * time.Millisecond,
	}
}

// RouterResult counts the outcomes of the requests at one router.
type RouterResult struct {
	Requests, InTime, Late, Rejected int
	InTimeBySecond                   []int // requests served in time, by second of arrival
}

// task is a unit of processor work and its completion callback.
type task struct {
	readyAt time.Duration // earliest start
	seq     int           // breaks ties between tasks with the same readyAt
	cost    time.Duration
	done    func(now time.Duration)
}

type taskHeap []task

func (t taskHeap) Len() int { return len(t) }
func (t taskHeap) Less(i, j int) bool {
	return t[i].readyAt < t[j].readyAt || t[i].readyAt == t[j].readyAt && t[i].seq < t[j].seq
}
func (t taskHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *taskHeap) Push(x any)   { *t = append(*t, x.(task)) }
func (t *taskHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// routerSim simulates a router whose tasks share one slow processor.
type routerSim struct {
	model RouterModel
	ready taskHeap
	seq   int
	open  int

	served         int           // requests since the last measurement
	used, refusing time.Duration // processor time since then, and that of refusals
}

func (w *routerSim) schedule(readyAt, cost time.Duration, done func(now time.Duration)) {
	w.seq++
	heap.Push(&w.ready, task{readyAt, w.seq, cost, done})
}

// measurePeriod is the interval between measurements of the processor wait.
const measurePeriod = 50 * time.Millisecond

// RunRouter simulates a constant load of rate requests per second on one router that limits its open requests with a
// valve. The objective is the time to the first event.
func RunRouter(d RouterModel, v *valve.ConcurrencyLimiter, rate int, duration, objective time.Duration) RouterResult {
	w := &routerSim{model: d}
	s := RouterResult{InTimeBySecond: make([]int, int(duration/time.Second))}
	for i := range int(duration.Seconds()) * rate {
		at := time.Duration(i) * time.Second / time.Duration(rate)
		w.schedule(at, 0, func(now time.Duration) { w.arrive(now, at, objective, v, &s) })
	}
	var measure func(now time.Duration)
	due, last := measurePeriod, time.Duration(0)
	measure = func(now time.Duration) {
		v.Served(w.served)
		if w.refusing > 0 {
			v.Refused(w.refusing.Seconds()/w.used.Seconds(), now-last)
		}
		w.served, w.used, w.refusing = 0, 0, 0
		v.Observe(now-due, now-last, w.open)
		due, last = now+measurePeriod, now
		if now < duration {
			w.schedule(due, 0, measure)
		}
	}
	w.schedule(due, 0, measure)
	idleAt := time.Duration(0)
	for w.ready.Len() > 0 {
		t := heap.Pop(&w.ready).(task)
		idleAt = max(idleAt, t.readyAt) + time.Duration(float64(t.cost)/d.CoreShare)
		w.used += t.cost
		t.done(idleAt)
	}
	return s
}

func (w *routerSim) arrive(now, arrivedAt, objective time.Duration, v *valve.ConcurrencyLimiter, s *RouterResult) {
	s.Requests++
	if v.Full(w.open, w.open, 1) {
		s.Rejected++
		w.refusing += w.model.RejectCost
		w.schedule(now, w.model.RejectCost, func(time.Duration) {})
		return
	}
	w.open++
	w.schedule(now, w.model.AdmitCost, func(now time.Duration) {
		w.sendEvent(now+w.model.FirstEventDelay, 1, func(first time.Duration) {
			if first-arrivedAt <= objective {
				s.InTime++
				s.InTimeBySecond[arrivedAt/time.Second]++
			} else {
				s.Late++
			}
		})
	})
}

// sendEvent schedules the n-th event of an answer; each event schedules the next.
func (w *routerSim) sendEvent(at time.Duration, n int, onFirst func(time.Duration)) {
	w.schedule(at, w.model.EventCost, func(now time.Duration) {
		if n == 1 {
			onFirst(now)
		}
		if n == w.model.EventsPerAnswer {
			w.open--
			w.served++
			return
		}
		w.sendEvent(max(now, at+w.model.EventInterval), n+1, onFirst)
	})
}
