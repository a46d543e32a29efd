package entry

import (
	"slices"
	"sort"
	"time"

	"mangolug.org/core/fleet"
)

// termsKept is the number of terms per cell that are kept to detect duplicate grants. Grants of older terms have lapsed.
const termsKept = 8

// cell is the state shared between this router and the scheduler of one cell.
type cell struct {
	id          fleet.Cell
	scheduler   string
	full        bool // the next demand must be complete
	seq         uint64
	term        uint64       // of the last grants from the followed scheduler
	seen        []termRecord // one per term, least recently used first
	changed     []*queue     // whose current state was not reported to the scheduler
	done        []fleet.Done
	running     map[uint64]*running
	urgent      bool // a change must be reported at once
	urgentAt    time.Duration
	unacked     bool // grants were received since the last demand
	ackDeadline time.Duration
	costGrew    bool // the cost so far of some grant is due for a report
	costGrewAt  time.Duration
	progressAt  time.Duration // time of the last report of costs so far
	limits      fleet.Limits  // kept for the cell's next scheduler
}

// termRecord is the highest grant number received in a term, with the scheduler that sent it.
type termRecord struct {
	term      uint64
	scheduler string
	id        uint64
}

func (r *Room) cell(id fleet.Cell) *cell {
	c := r.cells[id]
	if c == nil {
		c = &cell{id: id, running: make(map[uint64]*running)}
		r.cells[id] = c
	}
	return c
}

// queueChanged marks a queue that changed for a reason other than a grant, which must be reported at once.
func (c *cell) queueChanged(now time.Duration, u *queue) {
	c.markChanged(u)
	c.markUrgent(now)
}

func (c *cell) markChanged(u *queue) {
	if !u.changed {
		u.changed = true
		c.changed = append(c.changed, u)
	}
}

func (c *cell) markUrgent(now time.Duration) {
	if !c.urgent {
		c.urgent, c.urgentAt = true, now
	}
}

// due returns the time at which the next demand must be sent, and false if none is pending.
func (c *cell) due(s *Settings) (time.Duration, bool) {
	switch {
	case c.scheduler == "":
		return 0, false
	case c.urgent || c.full:
		return c.urgentAt, true
	case c.unacked:
		return c.ackDeadline, true
	case c.costGrew:
		return max(c.progressAt+s.ProgressPeriod, c.costGrewAt), true
	}
	return 0, false
}

// Follow sets the scheduler of a cell in this router's view, empty for none. A new scheduler gets a full demand.
func (r *Room) Follow(now time.Duration, id fleet.Cell, scheduler string) {
	r.init()
	c := r.cell(id)
	if c.scheduler == scheduler {
		return
	}
	c.scheduler = scheduler
	// Unreported completions mean nothing to the new scheduler: the full demand lists the grants that still run.
	c.done = nil
	c.term = 0
	for _, t := range c.seen {
		if t.scheduler == scheduler {
			c.term = t.term
		}
	}
	c.scheduleFull(now)
}

// Reconnected records that the link to a scheduler was reopened. Demands may have been lost, so the next one is full.
func (r *Room) Reconnected(now time.Duration, scheduler string) {
	for _, c := range r.cells {
		if scheduler != "" && c.scheduler == scheduler {
			c.scheduleFull(now)
		}
	}
}

func (c *cell) scheduleFull(now time.Duration) {
	c.full, c.urgent, c.urgentAt = true, true, now
}

// Grants assigns a scheduler's grants to waiting requests, and queues unused ones to be returned.
func (r *Room) Grants(now time.Duration, from string, clock int64, g fleet.Grants) []Verdict {
	r.init()
	c := r.cells[g.Cell]
	if c == nil || c.scheduler == "" || from != c.scheduler {
		r.Unused.Foreign += int64(len(g.Grants))
		return nil
	}
	c.storeLimits(g)
	t := c.findTerm(g.Term, from)
	left := time.Duration(g.Basis-clock)*time.Millisecond + fleet.GrantLifetime
	var verdicts []Verdict
	for _, a := range g.Grants {
		if a.ID <= t.id {
			r.Unused.Duplicate++
			continue
		}
		t.id = a.ID
		if left <= 0 {
			r.Unused.Lapsed++
			c.returnGrant(now, a)
			continue
		}
		verdicts = append(verdicts, r.applyGrant(now, c, g.Term, a, now+left)...)
	}
	return verdicts
}

// storeLimits keeps the limits that the scheduler learnt. Those of an earlier term are dropped: the scheduler got them
// with the full demand.
func (c *cell) storeLimits(g fleet.Grants) {
	if g.Term != c.limits.Term {
		c.limits = fleet.Limits{}
	}
	if g.Limits != nil {
		c.limits.Merge(*g.Limits)
	}
}

// findTerm returns the record of a term, creating it if needed, and marks it as the most recently used.
func (c *cell) findTerm(term uint64, from string) *termRecord {
	t := termRecord{term: term, scheduler: from}
	for i, old := range c.seen {
		if old.term == term && old.scheduler == from {
			t = old
			c.seen = slices.Delete(c.seen, i, i+1)
			break
		}
	}
	if len(c.seen) >= termsKept {
		c.seen = slices.Delete(c.seen, 0, 1)
	}
	c.seen = append(c.seen, t)
	c.term = term
	return &c.seen[len(c.seen)-1]
}

// applyGrant assigns one grant to the team's first request. Requests past their deadline are rejected on the way.
func (r *Room) applyGrant(now time.Duration, c *cell, term uint64, a fleet.Grant, expires time.Duration) []Verdict {
	var verdicts []Verdict
	u := r.queues[queueKey{c.id.Product, a.Team}]
	for u != nil {
		w := u.head()
		if w == nil {
			break
		}
		if w.request.Deadline <= now {
			verdicts = append(verdicts, r.refuseWaiting(now, w, fleet.ReasonDeadlinePassed))
			continue
		}
		u.running++
		u.rate.granted(now)
		r.remove(w)
		c.running[a.ID] = &running{grant: a, queue: u}
		c.markChanged(u)
		c.scheduleAck(now, r.Settings.AckDelay)
		return append(verdicts, Verdict{
			Request: w.request.ID, Reason: fleet.ReasonGranted, Cell: c.id, Term: term,
			Grant: a, Expires: expires, Waited: now - w.since,
		})
	}
	r.Unused.Unwanted++
	c.returnGrant(now, a)
	return verdicts
}

func (c *cell) scheduleAck(now, delay time.Duration) {
	if !c.unacked {
		c.unacked, c.ackDeadline = true, now+delay
	}
}

func (c *cell) returnGrant(now time.Duration, a fleet.Grant) {
	c.done = append(c.done, fleet.Done{Grant: a.ID, Outcome: fleet.OutcomeReturned})
	c.markUrgent(now)
}

// Finish ends a grant in use and queues a report of its cost for the scheduler. An unknown grant is ignored.
func (r *Room) Finish(now time.Duration, id fleet.Cell, done fleet.Done) {
	r.init()
	c := r.cells[id]
	if c == nil || c.running[done.Grant] == nil {
		return
	}
	a := c.running[done.Grant]
	delete(c.running, done.Grant)
	a.queue.running--
	r.releaseIfEmpty(a.queue)
	if c.scheduler == "" {
		return
	}
	c.done = append(c.done, done)
	c.markUrgent(now)
}

// Demands returns the demands that are due now, ordered by cell.
func (r *Room) Demands(now time.Duration) []Outgoing {
	r.init()
	cells := make([]*cell, 0, len(r.cells))
	for _, c := range r.cells {
		if at, ok := c.due(&r.Settings); ok && at <= now {
			cells = append(cells, c)
		}
	}
	sort.Slice(cells, func(i, j int) bool { return lessCell(cells[i].id, cells[j].id) })
	var demands []Outgoing
	for _, c := range cells {
		demands = append(demands, Outgoing{To: c.scheduler, Demand: r.demand(now, c)})
	}
	return demands
}

func lessCell(a, b fleet.Cell) bool {
	if a.Product != b.Product {
		return a.Product < b.Product
	}
	return a.Part < b.Part
}

// demand builds the next demand from all that was not reported to the cell's scheduler, and marks it as reported.
func (r *Room) demand(now time.Duration, c *cell) fleet.Demand {
	c.seq++
	d := fleet.Demand{Cell: c.id, Seq: c.seq, Full: c.full, Done: c.done}
	for _, t := range c.seen {
		if t.term == c.term && t.scheduler == c.scheduler {
			d.SeenTerm, d.Seen = t.term, t.id
		}
	}
	d.Waiting = r.teamDemands(now, c)
	d.Running = c.progressReport(now, r.Settings.ProgressPeriod)
	if c.full && c.limits.Term != 0 {
		limits := c.limits
		limits.Servers = slices.Clone(limits.Servers)
		d.Limits = &limits
	}
	c.done, c.full, c.urgent, c.unacked = nil, false, false, false
	return d
}

func (r *Room) teamDemands(now time.Duration, c *cell) []fleet.TeamDemand {
	queues := c.changed
	if c.full {
		queues = nil
		for _, u := range r.queues {
			if u.key.product == c.id.Product && u.waiting > 0 {
				queues = append(queues, u)
			}
		}
		for _, u := range c.changed {
			u.reported = false
		}
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].key.less(queues[j].key) })
	var teams []fleet.TeamDemand
	for _, u := range queues {
		if u.waiting > 0 || u.reported {
			teams = append(teams, u.demand(now))
		}
		u.reported = u.waiting > 0
	}
	r.markReported(c)
	return teams
}

// markReported marks all queues of a cell as reported and frees the empty ones.
func (r *Room) markReported(c *cell) {
	for _, u := range c.changed {
		u.changed = false
		r.releaseIfEmpty(u)
	}
	c.changed = nil
}

func (u *queue) demand(now time.Duration) fleet.TeamDemand {
	t := fleet.TeamDemand{Team: u.key.team, Waiting: u.waiting}
	if w := u.head(); w != nil {
		t.Estimate, t.Prefix = w.request.Estimate, w.request.Prefix
		t.OldestWait = (now - u.oldestArrival()).Milliseconds()
	}
	return t
}
