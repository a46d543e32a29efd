package world

import (
	"container/heap"
	"time"

	"mangolug.org/core/valve"
)

// Door is what a router's processor can do, in time of a whole core.
type Door struct {
	Share  float64       // of a core that the router has
	Admit  time.Duration // to read a request and send it on
	Event  time.Duration // to pass on one event
	Refuse time.Duration // to refuse a request
	Events int           // of an answer
	First  time.Duration // from sending to the first event
	Pause  time.Duration // between two events
}

// SmallDoor is like the small VMs of the users' sheets: it ends about as many requests a second as they did in the incident FAIR.
func SmallDoor() Door {
	return Door{
		Share: 0.192, Admit: 400 * time.Microsecond, Event: 45 * time.Microsecond, Refuse: 40 * time.Microsecond,
		Events: 20, First: 150 * time.Millisecond, Pause: 25 * time.Millisecond,
	}
}

// Served tells how a router fared under a load.
type Served struct {
	Asked, InTime, Late, Refused int
	Seconds                      []int // requests in time by the second in which they came
}

// task is work for the processor, and what follows when it is done.
type task struct {
	at   time.Duration // when it is ready
	n    int           // order among those ready at once
	cost time.Duration
	done func(now time.Duration)
}

type tasks []task

func (t tasks) Len() int           { return len(t) }
func (t tasks) Less(i, j int) bool { return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n }
func (t tasks) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)        { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// narrow is a router whose tasks take turns on one slow processor.
type narrow struct {
	door  Door
	ready tasks
	count int
	open  int
}

func (w *narrow) add(at, cost time.Duration, done func(now time.Duration)) {
	w.count++
	heap.Push(&w.ready, task{at, w.count, cost, done})
}

// measurePeriod is the time between two measurements of the wait for the processor.
const measurePeriod = 50 * time.Millisecond

// EnterNarrow plays a steady load on one small router that bounds what it takes in by a valve; objective is the time to the first
// event.
func EnterNarrow(d Door, v *valve.ConcurrencyLimiter, perSecond int, length, objective time.Duration) Served {
	w := &narrow{door: d}
	s := Served{Seconds: make([]int, int(length/time.Second))}
	for i := range int(length.Seconds()) * perSecond {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		w.add(at, 0, func(now time.Duration) { w.arrive(now, at, objective, v, &s) })
	}
	var measure func(now time.Duration)
	due, last := measurePeriod, time.Duration(0)
	measure = func(now time.Duration) {
		v.Observe(now-due, now-last, w.open)
		due, last = now+measurePeriod, now
		if now < length {
			w.add(due, 0, measure)
		}
	}
	w.add(due, 0, measure)
	free := time.Duration(0)
	for w.ready.Len() > 0 {
		t := heap.Pop(&w.ready).(task)
		free = max(free, t.at) + time.Duration(float64(t.cost)/d.Share)
		t.done(free)
	}
	return s
}

func (w *narrow) arrive(now, came, objective time.Duration, v *valve.ConcurrencyLimiter, s *Served) {
	s.Asked++
	if v.Full(w.open, w.open, 1) {
		s.Refused++
		w.add(now, w.door.Refuse, func(time.Duration) {})
		return
	}
	w.open++
	w.add(now, w.door.Admit, func(now time.Duration) {
		w.event(now+w.door.First, 1, func(first time.Duration) {
			if first-came <= objective {
				s.InTime++
				s.Seconds[came/time.Second]++
			} else {
				s.Late++
			}
		})
	})
}

// event passes the n-th event of an answer on.
func (w *narrow) event(at time.Duration, n int, first func(time.Duration)) {
	w.add(at, w.door.Event, func(now time.Duration) {
		if n == 1 {
			first(now)
		}
		if n == w.door.Events {
			w.open--
			return
		}
		w.event(max(now, at+w.door.Pause), n+1, first)
	})
}
