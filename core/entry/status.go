package entry

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

func (r *Room) sortedQueues() []*queue {
	queues := make([]*queue, 0, len(r.queues))
	for _, u := range r.queues {
		queues = append(queues, u)
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].key.less(queues[j].key) })
	return queues
}

// Status returns the teams with requests waiting or running at this router, ordered by product and team.
func (r *Room) Status(now time.Duration) []report.Room {
	r.init()
	var rooms []report.Room
	for _, u := range r.sortedQueues() {
		c := r.cell(cellOf(u.key.product))
		room := report.Room{
			Team: u.key.team, Product: u.key.product, Waiting: u.waiting, Running: u.running,
			Scheduler: c.scheduler, Why: r.waitReason(u, c),
		}
		if u.waiting > 0 {
			room.OldestWaitMillis = (now - u.oldestArrival()).Milliseconds()
		}
		rooms = append(rooms, room)
	}
	return rooms
}

func (r *Room) waitReason(u *queue, c *cell) fleet.Reason {
	switch {
	case u.waiting == 0:
		return fleet.ReasonNone
	case !r.served(u.key.product):
		return fleet.ReasonNoServer
	case c.scheduler == "":
		return fleet.ReasonNotReady
	}
	return fleet.ReasonHeld
}
