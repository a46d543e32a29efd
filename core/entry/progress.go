package entry

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
)

// maxReportInterval is the longest time between two reports of a growing cost, so that the scheduler sees that the
// server makes progress.
const maxReportInterval = 5 * time.Second

// running is a grant in use.
type running struct {
	grant        fleet.Grant
	queue        *queue
	cost         int64
	reportedCost int64
	reportedAt   time.Duration
}

// reportDue reports whether the cost so far has doubled since the last report, or grew and was last reported at least
// maxReportInterval ago. Smaller changes matter little to the scheduler, which has charged the expected cost in advance
// and learns the difference at the end.
func (a *running) reportDue(now time.Duration) bool {
	return a.cost > a.reportedCost && (a.cost >= 2*a.reportedCost || now-a.reportedAt >= maxReportInterval)
}

// Progress records the cost so far of a grant in use.
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
	if !c.costGrew && a.reportDue(now) {
		c.costGrew, c.costGrewAt = true, now
	}
}

// progressReport returns all grants in use for a full demand, else, at most once per period, those whose cost is due for
// a report.
func (c *cell) progressReport(now, period time.Duration) []fleet.Running {
	timely := c.costGrew && now-c.progressAt >= period
	if !c.full && !timely {
		return nil
	}
	var list []fleet.Running
	for _, a := range c.running {
		if !c.full && !a.reportDue(now) {
			continue
		}
		g := fleet.Running{Grant: a.grant.ID, Cost: a.cost}
		if c.full {
			g.Team, g.Server = a.grant.Team, a.grant.Server
		}
		list = append(list, g)
		a.reportedCost, a.reportedAt = a.cost, now
	}
	c.costGrew, c.progressAt = false, now
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}
