package loop

import (
	"context"
	"hash/fnv"
	"sort"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/sched"
	"mangolug.org/router/wire"
)

const (
	// cellIdle is how long a cell's scheduler is kept after it was last asked.
	cellIdle = 30 * time.Second
	// pollPeriod is the time between two load reports of one backend server.
	pollPeriod = 500 * time.Millisecond
	// pollTimeout bounds one load report.
	pollTimeout = 400 * time.Millisecond
	// flushLimit bounds how often one pass hands demand and grants to and fro within this router.
	flushLimit = 8
)

// ensureCell gives this router's scheduler of a cell, a new one if there is none.
func (l *Loop) ensureCell(now time.Duration, id fleet.Cell) *cell {
	if c := l.cells[id]; c != nil {
		return c
	}
	c := &cell{asked: now, polled: map[string]string{}, scheduler: &sched.Scheduler{
		Cell: id, Self: l.Self, DataCentre: l.DataCentre, Term: l.term(), Share: l.share,
		Settings: sched.Settings{Policy: l.Policy},
	}}
	l.cells[id] = c
	l.configureCell(now, id, c)
	if l.Log != nil {
		l.Log.Info("scheduling cell", "cell", id, "term", c.scheduler.Term)
	}
	return c
}

// term gives a number above those of earlier schedulers, as far as wall clocks agree.
func (l *Loop) term() uint64 {
	h := fnv.New32a()
	h.Write([]byte(l.Self))
	return uint64(time.Now().UnixMilli())<<8 | uint64(h.Sum32()&0xff)
}

func (l *Loop) share(team string) int {
	if c := l.current.Load(); c != nil && c.Teams[team] != nil {
		return c.Teams[team].Share
	}
	return 1
}

// configureCells applies the configuration and the platform's list to all cells.
func (l *Loop) configureCells(now time.Duration) {
	for id, c := range l.cells {
		l.configureCell(now, id, c)
	}
}

func (l *Loop) configureCell(now time.Duration, id fleet.Cell, c *cell) {
	if f := l.current.Load(); f != nil {
		c.scheduler.Configure(now, f.Servers[id.Product], f.Out, l.leaving)
	}
}

// flush tells demand to schedulers and grants to routers until nothing more is due.
func (l *Loop) flush(now time.Duration) {
	l.follow(now)
	for range flushLimit {
		local := false
		for _, o := range l.Room.Demands(now) {
			if o.To != l.Self {
				l.send(now, o.To, &wire.Message{Demand: &o.Demand})
				continue
			}
			c := l.ensureCell(now, o.Demand.Cell)
			c.asked = now
			c.scheduler.Take(now, l.Self, l.DataCentre, l.members.Clock(now), o.Demand)
			local = true
		}
		if l.grant(now) {
			local = true
		}
		if !local {
			return
		}
	}
}

// follow names the scheduler of each cell by the own view and tells schedulers who lends to them.
func (l *Loop) follow(now time.Duration) {
	f := l.current.Load()
	if f == nil {
		return
	}
	for product := range f.Products {
		id := fleet.Cell{Product: product}
		holder := l.members.Holder(id.String())
		if l.Alone {
			holder = l.Self
		}
		l.Room.Follow(now, id, holder)
		if holder == l.Self {
			l.ensureCell(now, id).asked = now
		}
	}
	for id, c := range l.cells {
		lenders, listed := l.members.Lenders(now, id.String())
		if l.Alone {
			lenders, listed = []string{l.Self}, 1
		}
		c.lenders, c.listed = len(lenders), listed
		c.scheduler.Lend(now, lenders, listed)
		l.poll(id, c)
	}
}

// grant sends what the schedulers decide; it says whether any of it was for this router itself.
func (l *Loop) grant(now time.Duration) bool {
	local := false
	for _, id := range l.cellOrder() {
		c := l.cells[id]
		if c.lenders == 0 {
			continue
		}
		for _, b := range c.scheduler.Next(now) {
			if b.To == l.Self {
				l.deliver(l.Room.Grants(now, l.Self, l.members.Clock(now), b.Grants))
				local = true
				continue
			}
			l.send(now, b.To, &wire.Message{Grants: &b.Grants})
		}
	}
	return local
}

func (l *Loop) cellOrder() []fleet.Cell {
	order := make([]fleet.Cell, 0, len(l.cells))
	for id := range l.cells {
		order = append(order, id)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].String() < order[j].String() })
	return order
}

// schedules says whether a router lends itself to any cell's scheduler here.
func (l *Loop) schedules() bool {
	for _, c := range l.cells {
		if c.lenders > 0 {
			return true
		}
	}
	return false
}

// dropIdleCells ends schedulers that nobody has asked for a while.
func (l *Loop) dropIdleCells(now time.Duration) {
	for id, c := range l.cells {
		if now-c.asked > cellIdle {
			if c.stopPolls != nil {
				c.stopPolls()
			}
			delete(l.cells, id)
		}
	}
}

// poll keeps one goroutine for each backend server of a cell that this router schedules.
func (l *Loop) poll(id fleet.Cell, c *cell) {
	f := l.current.Load()
	if f == nil || l.loopUntil == nil {
		return
	}
	servers := f.Servers[id.Product]
	same := len(servers) == len(c.polled)
	for _, s := range servers {
		same = same && c.polled[s.Name] == s.Address
	}
	if same && (c.lenders > 0) == (c.stopPolls != nil) {
		return
	}
	if c.stopPolls != nil {
		c.stopPolls()
		c.stopPolls = nil
	}
	c.polled = map[string]string{}
	for _, s := range servers {
		c.polled[s.Name] = s.Address
	}
	if c.lenders == 0 {
		return
	}
	ctx, cancel := context.WithCancel(l.loopUntil)
	c.stopPolls = cancel
	for _, s := range servers {
		go l.pollServer(ctx, id, s.Name, s.Address)
	}
}

func (l *Loop) pollServer(ctx context.Context, id fleet.Cell, server, address string) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		asking, cancel := context.WithTimeout(ctx, pollTimeout)
		report, err := l.LoadOf(asking, server, address)
		cancel()
		if ctx.Err() != nil {
			return
		}
		report.Server = server
		select {
		case l.inbox <- event{load: &load{cell: id, report: report, failed: err != nil}}:
		case <-ctx.Done():
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) takeLoad(now time.Duration, o *load) {
	c := l.cells[o.cell]
	if c == nil {
		return
	}
	if o.failed {
		l.counter("load.failed").Inc(1)
		c.scheduler.LoadFailed(now, o.report.Server)
		return
	}
	c.scheduler.Load(now, o.report)
}
