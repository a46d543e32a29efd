package growth

import (
	"fmt"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
)

// waitingRoom is one entry router's room, driven in virtual time.
type waitingRoom struct {
	room *entry.Room
	now  time.Duration
	made int
	id   uint64
	cell fleet.Cell
}

func newWaitingRoom() *waitingRoom {
	w := &waitingRoom{room: &entry.Room{Self: "router-0"}, cell: fleet.Cell{Product: "mangolug-pool"}}
	w.room.Follow(0, w.cell, "router-1")
	return w
}

// arrive lets requests of a number of teams arrive in turn.
func (w *waitingRoom) arrive(requests, teams int) {
	for range requests {
		w.made++
		w.room.Enqueue(w.now, entry.Request{
			ID: fmt.Sprintf("request-%d", w.made), Team: teamName(w.made % teams), Product: w.cell.Product,
			Estimate: requestCost, Bytes: 1000, Deadline: w.now + time.Hour,
		})
	}
}

// serve passes requests through their whole life at this router: arrival, demand, grant, end.
func (w *waitingRoom) serve(requests, teams int) {
	const term = 1
	for range requests {
		w.now += time.Millisecond
		w.arrive(1, teams)
		w.room.Demands(w.now)
		w.id++
		grant := fleet.Grant{ID: term<<40 + w.id, Team: teamName(w.made % teams), Server: "engine-1", Address: "10.0.0.1:9000"}
		w.room.Grants(w.now, "router-1", w.now.Milliseconds(), fleet.Grants{
			Cell: w.cell, Term: term, Basis: w.now.Milliseconds(), Grants: []fleet.Grant{grant},
		})
		w.room.Finish(w.now, w.cell, fleet.Done{Grant: grant.ID, Outcome: fleet.OutcomeCompleted, Cost: requestCost})
	}
}

// Entry measures the waiting rooms of an entry router.
func Entry() []Series {
	const role = "entry router"
	return []Series{
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "requests waiting", Fixed: "50 teams, without bodies"},
			[]int{100, 400, 1600, 6400}, func(n int) float64 {
				return heap(func() held {
					w := newWaitingRoom()
					w.arrive(n, 50)
					return held{room: w}
				})
			}),
		vary(Series{Role: role, Quantity: "ns a request", Factor: "requests waiting beside it", Fixed: "50 teams"},
			[]int{100, 400, 1600, 6400}, func(n int) float64 {
				w := newWaitingRoom()
				w.arrive(n, 50)
				return nanos(2000, func(events int) { w.serve(events, 50) })
			}),
	}
}
