package entry

import (
	"slices"
	"sort"
	"time"

	"mangolug.org/core/fleet"
)

// termsKept is how many terms of a cell are remembered against duplicates; older grants have lapsed.
const termsKept = 8

// cell is what this router and the scheduler of one cell know of each other.
type cell struct {
	id        fleet.Cell
	scheduler string
	full      bool // the next demand must carry all
	seq       uint64
	term      uint64   // of the last grants from the followed scheduler
	seen      []termID // by term, the last used last
	changed   []*queue // whose state the scheduler does not know
	done      []fleet.Done
	running   map[uint64]*running
	urgent    bool // a change must be told at once
	urgentAt  time.Duration
	unacked   bool // grants were received since the last demand
	ackBy     time.Duration
	grew      bool // a cost so far grew
	grewAt    time.Duration
	progress  time.Duration // of the last report of costs so far
	limits    fleet.Limits  // kept for the cell's next scheduler
}

// termID is the highest grant number received of a term, and who gave it.
type termID struct {
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

// touch notes that a queue changed by other than a grant.
func (c *cell) touch(now time.Duration, u *queue) {
	c.note(u)
	c.hurry(now)
}

func (c *cell) note(u *queue) {
	if !u.changed {
		u.changed = true
		c.changed = append(c.changed, u)
	}
}

func (c *cell) hurry(now time.Duration) {
	if !c.urgent {
		c.urgent, c.urgentAt = true, now
	}
}

// due gives the time at which the scheduler must next be told something.
func (c *cell) due(s *Settings) (time.Duration, bool) {
	switch {
	case c.scheduler == "":
		return 0, false
	case c.urgent || c.full:
		return c.urgentAt, true
	case c.unacked:
		return c.ackBy, true
	case c.grew:
		return max(c.progress+s.ProgressPeriod, c.grewAt), true
	}
	return 0, false
}

// Follow names the scheduler of a cell in this router's view, empty for none; a new one is told all.
func (r *Room) Follow(now time.Duration, id fleet.Cell, scheduler string) {
	r.init()
	c := r.cell(id)
	if c.scheduler == scheduler {
		return
	}
	c.scheduler = scheduler
	// What the old one did not hear yet means nothing to the new one: a full demand lists what still runs.
	c.done = nil
	c.term = 0
	for _, t := range c.seen {
		if t.scheduler == scheduler {
			c.term = t.term
		}
	}
	c.refill(now)
}

// Linked tells that the link to a scheduler was opened anew, so that demands may have been lost.
func (r *Room) Linked(now time.Duration, scheduler string) {
	for _, c := range r.cells {
		if scheduler != "" && c.scheduler == scheduler {
			c.refill(now)
		}
	}
}

func (c *cell) refill(now time.Duration) {
	c.full, c.urgent, c.urgentAt = true, true, now
}

// Grants hands a scheduler's grants to the requests that wait, and notes the others to be returned.
func (r *Room) Grants(now time.Duration, from string, clock int64, g fleet.Grants) []Verdict {
	r.init()
	c := r.cells[g.Cell]
	if c == nil || c.scheduler == "" || from != c.scheduler {
		r.Unused.Foreign += int64(len(g.Grants))
		return nil
	}
	c.keep(g)
	t := c.termID(g.Term, from)
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
			c.giveBack(now, a)
			continue
		}
		verdicts = append(verdicts, r.use(now, c, g.Term, a, now+left)...)
	}
	return verdicts
}

// keep keeps the limits that the scheduler learnt; those of an earlier one have reached it with the full demand.
func (c *cell) keep(g fleet.Grants) {
	if g.Term != c.limits.Term {
		c.limits = fleet.Limits{}
	}
	if g.Limits != nil {
		c.limits.Take(*g.Limits)
	}
}

// termID finds the record of a term and makes it the latest.
func (c *cell) termID(term uint64, from string) *termID {
	t := termID{term: term, scheduler: from}
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

// use gives one grant to the team's first request; requests that are past their deadline are refused on the way.
func (r *Room) use(now time.Duration, c *cell, term uint64, a fleet.Grant, expires time.Duration) []Verdict {
	var verdicts []Verdict
	u := r.queues[queueKey{c.id.Product, a.Team}]
	for u != nil {
		w := u.head()
		if w == nil {
			break
		}
		if w.request.Deadline <= now {
			verdicts = append(verdicts, r.giveUp(now, w, fleet.ReasonDeadlinePassed))
			continue
		}
		u.running++
		u.pace.granted(now)
		r.remove(w)
		c.running[a.ID] = &running{grant: a, queue: u}
		c.note(u)
		c.acknowledge(now, r.Settings.AckDelay)
		return append(verdicts, Verdict{
			Request: w.request.ID, Reason: fleet.ReasonGranted, Cell: c.id, Term: term,
			Grant: a, Expires: expires, Waited: now - w.since,
		})
	}
	r.Unused.Unwanted++
	c.giveBack(now, a)
	return verdicts
}

func (c *cell) acknowledge(now, delay time.Duration) {
	if !c.unacked {
		c.unacked, c.ackBy = true, now+delay
	}
}

func (c *cell) giveBack(now time.Duration, a fleet.Grant) {
	c.done = append(c.done, fleet.Done{Grant: a.ID, Outcome: fleet.OutcomeReturned})
	c.hurry(now)
}

// Finish ends a grant in use and tells the scheduler what it cost; an unknown grant is ignored.
func (r *Room) Finish(now time.Duration, id fleet.Cell, done fleet.Done) {
	r.init()
	c := r.cells[id]
	if c == nil || c.running[done.Grant] == nil {
		return
	}
	a := c.running[done.Grant]
	delete(c.running, done.Grant)
	a.queue.running--
	r.forget(a.queue)
	if c.scheduler == "" {
		return
	}
	c.done = append(c.done, done)
	c.hurry(now)
}

// Demands gives what the schedulers must be told now, by cell.
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

// demand takes all that the cell's scheduler has not been told.
func (r *Room) demand(now time.Duration, c *cell) fleet.Demand {
	c.seq++
	d := fleet.Demand{Cell: c.id, Seq: c.seq, Full: c.full, Done: c.done}
	for _, t := range c.seen {
		if t.term == c.term && t.scheduler == c.scheduler {
			d.SeenTerm, d.Seen = t.term, t.id
		}
	}
	d.Waiting = r.waiting(now, c)
	d.Running = c.report(now, r.Settings.ProgressPeriod)
	if c.full && c.limits.Term != 0 {
		limits := c.limits
		limits.Servers = slices.Clone(limits.Servers)
		d.Limits = &limits
	}
	c.done, c.full, c.urgent, c.unacked = nil, false, false, false
	return d
}

func (r *Room) waiting(now time.Duration, c *cell) []fleet.TeamDemand {
	queues := c.changed
	if c.full {
		queues = nil
		for _, u := range r.queues {
			if u.key.product == c.id.Product && u.waiting > 0 {
				queues = append(queues, u)
			}
		}
		for _, u := range c.changed {
			u.told = false
		}
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].key.less(queues[j].key) })
	var teams []fleet.TeamDemand
	for _, u := range queues {
		if u.waiting > 0 || u.told {
			teams = append(teams, u.demand(now))
		}
		u.told = u.waiting > 0
	}
	r.settle(c)
	return teams
}

// settle marks all queues of a cell as told and frees those that hold nothing any more.
func (r *Room) settle(c *cell) {
	for _, u := range c.changed {
		u.changed = false
		r.forget(u)
	}
	c.changed = nil
}

func (u *queue) demand(now time.Duration) fleet.TeamDemand {
	t := fleet.TeamDemand{Team: u.key.team, Waiting: u.waiting}
	if w := u.head(); w != nil {
		t.Estimate, t.Prefix = w.request.Estimate, w.request.Prefix
		t.OldestWait = (now - u.oldest()).Milliseconds()
	}
	return t
}
