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
	// cellIdleTimeout is how long a cell's scheduler is kept after it was last used.
	cellIdleTimeout = 30 * time.Second
	// maxFlushRounds bounds how often one step exchanges demand and grants within this router.
	maxFlushRounds = 8
	// firstReportWait is how long a new scheduler waits for a server's own load report before it assigns work to the
	// server.
	firstReportWait = 2 * time.Second
)

// cell is a cell that this router schedules or was asked to schedule.
type cell struct {
	scheduler *sched.Scheduler
	lenders   int
	lastUsed  time.Duration     // time of the last demand, or when this router last held the duty
	polled    map[string]string // addresses of the servers whose load is polled, by name; nil for none
	pollAgain bool              // a server came back into service, and its load decides how much work it can take
}

// ensureCell returns this router's scheduler of a cell and creates it if there is none.
func (n *Node) ensureCell(id fleet.Cell) *cell {
	if c := n.cells[id]; c != nil {
		return c
	}
	c := &cell{lastUsed: n.now, scheduler: &sched.Scheduler{
		Cell: id, Self: n.Start.Self, DataCentre: n.Start.DataCentre, Term: n.newTerm(), Share: n.share,
		Settings: sched.Settings{Policy: n.Start.Policy, FirstReport: firstReportWait, Anticipate: n.Start.Anticipate},
	}}
	n.cells[id] = c
	n.sortCells()
	n.configureCell(id, c)
	n.emitNotice(Notice{Kind: NoticeScheduling, Cell: id, Term: c.scheduler.Term})
	return c
}

func (n *Node) sortCells() {
	n.cellOrder = n.cellOrder[:0]
	for id := range n.cells {
		n.cellOrder = append(n.cellOrder, id)
	}
	slices.SortFunc(n.cellOrder, func(a, b fleet.Cell) int { return strings.Compare(a.String(), b.String()) })
}

// newTerm returns a term above those of earlier schedulers, as far as wall clocks agree.
func (n *Node) newTerm() uint64 {
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

// configureCells applies the configuration and the list of VMs to all cells.
func (n *Node) configureCells() {
	for _, id := range n.cellOrder {
		n.configureCell(id, n.cells[id])
	}
}

func (n *Node) configureCell(id fleet.Cell, c *cell) {
	if f := n.keeper.Current(); f != nil {
		if c.scheduler.Configure(n.now, f.Servers[id.Product], f.DataCentresOut, n.leaving) {
			c.pollAgain = true
		}
	}
}

// flush sends demand to schedulers and grants to routers until nothing more is due.
func (n *Node) flush() {
	n.updateSchedulers()
	for range maxFlushRounds {
		local := n.sendDemand()
		if n.sendGrants() {
			local = true
		}
		if !local {
			return
		}
	}
}

// updateSchedulers sets the scheduler of each cell according to this router's view, and the lenders of each
// scheduler that runs here.
func (n *Node) updateSchedulers() {
	for _, product := range n.products {
		id := fleet.Cell{Product: product}
		holder := n.members.Holder(id.String())
		if n.Start.Standalone {
			holder = n.Start.Self
		}
		n.room.Follow(n.now, id, holder)
		if holder == n.Start.Self {
			n.ensureCell(id).lastUsed = n.now
		}
	}
	for _, id := range n.cellOrder {
		c := n.cells[id]
		lenders, listed := n.members.Lenders(n.now, id.String())
		if n.Start.Standalone {
			lenders, listed = []string{n.Start.Self}, 1
		}
		c.lenders = len(lenders)
		c.scheduler.UpdateBasis(n.now, n.Start.Self, n.members.Clock(n.now))
		c.scheduler.SetLenders(n.now, lenders, listed)
		n.updatePolling(id, c)
	}
}

// sendDemand sends demand to the schedulers. It reports whether any of it went to a scheduler of this router.
func (n *Node) sendDemand() bool {
	local := false
	for _, o := range n.room.Demands(n.now) {
		if o.To != n.Start.Self {
			n.send(o.To, fleet.Message{Demand: &o.Demand})
			continue
		}
		c := n.ensureCell(o.Demand.Cell)
		c.lastUsed = n.now
		c.scheduler.ReceiveDemand(n.now, n.Start.Self, n.Start.DataCentre, n.members.Clock(n.now), o.Demand)
		local = true
	}
	return local
}

// sendGrants sends the decisions of the schedulers. It reports whether any of them was for this router itself. A
// router that has just started grants nothing while it waits for a configuration that a peer already has in
// force.
func (n *Node) sendGrants() bool {
	local := false
	if !n.ready && n.keeper.IsBehind(n.now) {
		return false
	}
	for _, id := range n.cellOrder {
		c := n.cells[id]
		if c.lenders == 0 {
			continue
		}
		batches := c.scheduler.Next(n.now)
		n.reportLoweredLimits(id, c)
		for _, b := range append(batches, c.scheduler.LimitUpdates(n.now)...) {
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

// reportLoweredLimits emits a notice for each server whose learnt limit was lowered.
func (n *Node) reportLoweredLimits(id fleet.Cell, c *cell) {
	for _, l := range c.scheduler.TakeLowerings() {
		n.count("limitLowered." + l.Cut.Cause.String())
		n.emitNotice(Notice{
			Kind: NoticeLimitLowered, Cell: id, Term: c.scheduler.Term, Server: l.Server,
			Reason: l.Cut.Cause.String(), PreviousLimit: l.Cut.From, Limit: l.Cut.To,
		})
	}
}

// requestFullDemands asks routers for their full demand if only a part of it is known.
func (n *Node) requestFullDemands() {
	for _, id := range n.cellOrder {
		for _, router := range n.cells[id].scheduler.PartialRouters() {
			n.requestFullDemand(id, router)
		}
	}
}

func (n *Node) requestFullDemand(id fleet.Cell, router string) {
	if router == n.Start.Self {
		n.room.Reconnected(n.now, router)
		return
	}
	n.send(router, fleet.Message{Grants: &fleet.Grants{Cell: id, Term: n.cells[id].scheduler.Term, TellAll: true}})
}

// dropIdleCells removes schedulers that have not been used for cellIdleTimeout.
func (n *Node) dropIdleCells() {
	dropped := false
	for _, id := range n.cellOrder {
		c := n.cells[id]
		if n.now-c.lastUsed <= cellIdleTimeout {
			continue
		}
		if c.polled != nil {
			n.emit(Effect{Poll: &Poll{Cell: id}})
		}
		delete(n.cells, id)
		dropped = true
	}
	if dropped {
		n.sortCells()
	}
}

// updatePolling starts, changes or ends the polling of server loads. Servers are polled while any router lends
// itself to the scheduler of the cell on this router.
func (n *Node) updatePolling(id fleet.Cell, c *cell) {
	f := n.keeper.Current()
	if f == nil || c.lenders == 0 {
		if c.polled != nil {
			c.polled = nil
			n.emit(Effect{Poll: &Poll{Cell: id}})
		}
		return
	}
	servers := f.Servers[id.Product]
	same := c.polled != nil && !c.pollAgain && len(servers) == len(c.polled)
	for i := range servers {
		same = same && c.polled[servers[i].Name] == servers[i].Address
	}
	if same {
		return
	}
	c.polled, c.pollAgain = make(map[string]string, len(servers)), false
	for i := range servers {
		c.polled[servers[i].Name] = servers[i].Address
	}
	n.emit(Effect{Poll: &Poll{Cell: id, Servers: c.polled}})
}

func (n *Node) receiveLoad(l *Load) {
	c := n.cells[l.Cell]
	if c == nil {
		return
	}
	if l.Failed {
		n.count("loadReport.failed")
		c.scheduler.LoadFailed(n.now, l.Report.Server)
		return
	}
	c.scheduler.ObserveLoad(n.now, l.Report)
}
