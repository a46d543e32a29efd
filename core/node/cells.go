package node

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/sched"
)

const (
	// cellIdle is how long a cell's scheduler is kept after it was last asked.
	cellIdle = 30 * time.Second
	// flushLimit bounds how often one step hands demand and grants to and fro within this router.
	flushLimit = 8
	// firstReport is how long a new scheduler waits for a server's own report before it gives it work.
	firstReport = 2 * time.Second
)

// cell is a cell that this router schedules or was asked to schedule.
type cell struct {
	scheduler *sched.Scheduler
	lenders   int
	asked     time.Duration     // last demand or own holding
	polled    map[string]string // servers asked for their load; nil for none
	askAgain  bool              // a server came back into service, and its load decides what it takes
}

// ensureCell gives this router's scheduler of a cell, a new one if there is none.
func (n *Node) ensureCell(id fleet.Cell) *cell {
	if c := n.cells[id]; c != nil {
		return c
	}
	c := &cell{asked: n.now, scheduler: &sched.Scheduler{
		Cell: id, Self: n.Start.Self, DataCentre: n.Start.DataCentre, Term: n.term(), Share: n.share,
		Settings: sched.Settings{Policy: n.Start.Policy, FirstReport: firstReport, Anticipate: n.Start.Anticipate},
	}}
	n.cells[id] = c
	n.reorder()
	n.configureCell(id, c)
	n.notice(Notice{Kind: NoticeScheduling, Cell: id, Term: c.scheduler.Term})
	return c
}

func (n *Node) reorder() {
	n.order = n.order[:0]
	for id := range n.cells {
		n.order = append(n.order, id)
	}
	slices.SortFunc(n.order, func(a, b fleet.Cell) int { return strings.Compare(a.String(), b.String()) })
}

// term gives a number above those of earlier schedulers, as far as wall clocks agree.
func (n *Node) term() uint64 {
	h := fnv.New32a()
	h.Write([]byte(n.Start.Self))
	return uint64(n.wall.UnixMilli())<<8 | uint64(h.Sum32()&0xff)
}

func (n *Node) share(team string) int {
	if f := n.keeper.Current(); f != nil && f.Teams[team] != nil {
		return f.Teams[team].Share
	}
	return 1
}

// configureCells applies the configuration and the platform's list to all cells.
func (n *Node) configureCells() {
	for _, id := range n.order {
		n.configureCell(id, n.cells[id])
	}
}

func (n *Node) configureCell(id fleet.Cell, c *cell) {
	if f := n.keeper.Current(); f != nil {
		if c.scheduler.Configure(n.now, f.Servers[id.Product], f.Out, n.leaving) {
			c.askAgain = true
		}
	}
}

// flush tells demand to schedulers and grants to routers until nothing more is due.
func (n *Node) flush() {
	n.follow()
	for range flushLimit {
		local := n.tell()
		if n.grant() {
			local = true
		}
		if !local {
			return
		}
	}
}

// follow names the scheduler of each cell by the own view and tells schedulers who lends to them.
func (n *Node) follow() {
	for _, product := range n.products {
		id := fleet.Cell{Product: product}
		holder := n.members.Holder(id.String())
		if n.Start.Alone {
			holder = n.Start.Self
		}
		n.room.Follow(n.now, id, holder)
		if holder == n.Start.Self {
			n.ensureCell(id).asked = n.now
		}
	}
	for _, id := range n.order {
		c := n.cells[id]
		lenders, listed := n.members.Lenders(n.now, id.String())
		if n.Start.Alone {
			lenders, listed = []string{n.Start.Self}, 1
		}
		c.lenders = len(lenders)
		c.scheduler.Heard(n.now, n.Start.Self, n.members.Clock(n.now))
		c.scheduler.Lend(n.now, lenders, listed)
		n.poll(id, c)
	}
}

// tell gives demand to the schedulers; it says whether any of it was for one of this router.
func (n *Node) tell() bool {
	local := false
	for _, o := range n.room.Demands(n.now) {
		if o.To != n.Start.Self {
			n.send(o.To, fleet.Message{Demand: &o.Demand})
			continue
		}
		c := n.ensureCell(o.Demand.Cell)
		c.asked = n.now
		c.scheduler.Take(n.now, n.Start.Self, n.Start.DataCentre, n.members.Clock(n.now), o.Demand)
		local = true
	}
	return local
}

// grant sends what the schedulers decide; it says whether any of it was for this router itself. A router that has just started
// decides nothing while it waits for rules that a peer has in force already.
func (n *Node) grant() bool {
	local := false
	if !n.settled && n.keeper.Behind(n.now) {
		return false
	}
	for _, id := range n.order {
		c := n.cells[id]
		if c.lenders == 0 {
			continue
		}
		batches := c.scheduler.Next(n.now)
		n.noticeLowered(id, c)
		for _, b := range append(batches, c.scheduler.TellLimits(n.now)...) {
			if b.To == n.Start.Self {
				n.deliver(n.room.Grants(n.now, n.Start.Self, n.members.Clock(n.now), b.Grants))
				local = true
				continue
			}
			n.send(b.To, fleet.Message{Grants: &b.Grants})
		}
	}
	return local
}

// noticeLowered tells of servers whose learnt limit was lowered.
func (n *Node) noticeLowered(id fleet.Cell, c *cell) {
	for _, l := range c.scheduler.Lowered() {
		n.count("limitLowered." + l.Cut.Cause.String())
		n.notice(Notice{
			Kind: NoticeLimitLowered, Cell: id, Term: c.scheduler.Term, Server: l.Server,
			Why: l.Cut.Cause.String(), Before: l.Cut.From, Learnt: l.Cut.To,
		})
	}
}

// askAll asks routers that told only part of their demand for all of it.
func (n *Node) askAll() {
	for _, id := range n.order {
		for _, router := range n.cells[id].scheduler.Partial() {
			n.askAllOf(id, router)
		}
	}
}

func (n *Node) askAllOf(id fleet.Cell, router string) {
	if router == n.Start.Self {
		n.room.Linked(n.now, router)
		return
	}
	n.send(router, fleet.Message{Grants: &fleet.Grants{Cell: id, Term: n.cells[id].scheduler.Term, TellAll: true}})
}

// dropIdleCells ends schedulers that nobody has asked for a while.
func (n *Node) dropIdleCells() {
	dropped := false
	for _, id := range n.order {
		c := n.cells[id]
		if n.now-c.asked <= cellIdle {
			continue
		}
		if c.polled != nil {
			n.do(Effect{Poll: &Poll{Cell: id}})
		}
		delete(n.cells, id)
		dropped = true
	}
	if dropped {
		n.reorder()
	}
}

// poll names the servers to be asked for their load while any router lends itself to the cell's scheduler here.
func (n *Node) poll(id fleet.Cell, c *cell) {
	f := n.keeper.Current()
	if f == nil || c.lenders == 0 {
		if c.polled != nil {
			c.polled = nil
			n.do(Effect{Poll: &Poll{Cell: id}})
		}
		return
	}
	servers := f.Servers[id.Product]
	same := c.polled != nil && !c.askAgain && len(servers) == len(c.polled)
	for i := range servers {
		same = same && c.polled[servers[i].Name] == servers[i].Address
	}
	if same {
		return
	}
	c.polled, c.askAgain = make(map[string]string, len(servers)), false
	for i := range servers {
		c.polled[servers[i].Name] = servers[i].Address
	}
	n.do(Effect{Poll: &Poll{Cell: id, Servers: c.polled}})
}

func (n *Node) load(l *Load) {
	c := n.cells[l.Cell]
	if c == nil {
		return
	}
	if l.Failed {
		n.count("loadReport.failed")
		c.scheduler.LoadFailed(n.now, l.Report.Server)
		return
	}
	c.scheduler.Load(n.now, l.Report)
}
