package entry

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
)

// tellAgain is the longest time between two reports of a growing cost, so that a scheduler sees that its server works.
const tellAgain = 5 * time.Second

// running is a grant in use.
type running struct {
	grant  fleet.Grant
	queue  *queue
	cost   int64
	told   int64
	toldAt time.Duration
}

// worthTelling says whether the cost so far has doubled since it was told, or was told long ago. Until then it changes little for
// a scheduler, which has charged the expected cost beforehand and learns the rest at the end.
func (a *running) worthTelling(now time.Duration) bool {
	return a.cost > a.told && (a.cost >= 2*a.told || now-a.toldAt >= tellAgain)
}

// Progress notes the cost so far of a grant in use.
func (r *Room) Progress(now time.Duration, id fleet.Cell, grant uint64, cost int64) {
	r.init()
	c := r.cells[id]
	if c == nil {
		return
	}
	a := c.running[grant]
	if a == nil || cost <= a.cost {
		return
	}
	a.cost = cost
	if !c.grew && a.worthTelling(now) {
		c.grew, c.grewAt = true, now
	}
}

// report lists all grants in use when all is to be told, else those whose cost is worth telling after a period.
func (c *cell) report(now, period time.Duration) []fleet.Running {
	timely := c.grew && now-c.progress >= period
	if !c.full && !timely {
		return nil
	}
	var list []fleet.Running
	for _, a := range c.running {
		if !c.full && !a.worthTelling(now) {
			continue
		}
		g := fleet.Running{Grant: a.grant.ID, Cost: a.cost}
		if c.full {
			g.Team, g.Server = a.grant.Team, a.grant.Server
		}
		list = append(list, g)
		a.told, a.toldAt = a.cost, now
	}
	c.grew, c.progress = false, now
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}
