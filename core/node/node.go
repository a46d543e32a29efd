package node

import (
	"slices"
	"time"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/core/member"
	"mangolug.org/core/sched"
)

// TickPeriod is the longest time between two steps.
const TickPeriod = 100 * time.Millisecond

// Start holds what a router knows of itself.
type Start struct {
	Self        string        `json:"self"`
	DataCentre  string        `json:"dataCentre"`
	Incarnation uint32        `json:"incarnation"`
	Policy      sched.Policy  `json:"policy,omitempty"`
	Alone       bool          `json:"alone,omitempty"` // a baseline: this router schedules all that arrives here, without its peers
	Seed        uint64        `json:"seed,omitempty"`
	Anticipate  time.Duration `json:"anticipate,omitempty"`  // see sched.Settings
	QueueLength int           `json:"queueLength,omitempty"` // see entry.Settings
	QueueBytes  int64         `json:"queueBytes,omitempty"`  // see entry.Settings
}

// Node is one router's control state; set Start and call Step.
type Node struct {
	Start Start
	Count func(name string) // counts what happens; nil counts nothing

	now     time.Duration
	wall    time.Time
	effects []Effect

	members  member.Members
	room     entry.Room
	keeper   conf.Keeper
	home     keys.Home
	cells    map[fleet.Cell]*cell
	order    []fleet.Cell // keys of cells, in the order of their names
	products []string     // of the configuration in force, ascending
	opens    map[uint64]keyOpening
	opened   map[keyName]keyOpening // those answered KeyRun
	ticket   uint64
	deferred []keyOpening             // refused for want of a home, to be asked again
	holds    [keys.Slots]keyHold      // of key slots
	arrivals [keys.Slots]keyArrival   // of handovers
	early    [keys.Slots][]earlyClose // closes that came before their records
	handed   uint64                   // number of handovers
	eras     uint64                   // number of holds of key slots
	recalls  uint64                   // number of recalls
	known    time.Time                // on the wall clock: of what was permitted after it this router remembers its part
	knownAt  time.Duration            // the same moment on the monotonic clock
	relisted time.Time                // on the wall clock: last change of the listed routers
	viewSeqs map[string]uint64        // of the views by which key slots were last held
	listed   map[string]fleet.VM
	leaving  map[string]bool
	carried  carried
	seen     map[string]uint32 // incarnation last heard of each peer
	live     []string          // routers last noticed to be live, ascending

	begun    bool
	settled  bool
	draining bool
	reader   bool
	lastTick time.Duration
	lastStep time.Duration
}

// Step handles events that happened up to now, in their order, and gives what is to be done; now is on the process's
// monotonic clock. It is to be called without events when Rest has passed. The effects are valid until the next call.
func (n *Node) Step(now time.Duration, wall time.Time, events []Event) []Effect {
	n.begin()
	n.effects = n.effects[:0]
	n.now, n.wall = now, wall
	n.checkKnown()
	n.noticePause()
	for i := range events {
		n.handle(&events[i])
	}
	if now-n.lastTick >= TickPeriod || n.lastTick == 0 {
		n.lastTick = now
		n.tick()
	}
	n.deliver(n.room.Expire(now))
	n.beat()
	n.moveKeys()
	n.flush()
	return n.effects
}

func (n *Node) begin() {
	if n.begun {
		return
	}
	n.begun = true
	n.room.Settings = entry.Settings{QueueLength: n.Start.QueueLength, QueueBytes: n.Start.QueueBytes}
	n.keeper.Self, n.room.Self, n.room.Seed = n.Start.Self, n.Start.Self, n.Start.Seed
	n.members.Self, n.members.DataCentre = n.Start.Self, n.Start.DataCentre
	n.members.Incarnation = uint64(n.Start.Incarnation)
	n.cells = map[fleet.Cell]*cell{}
	n.opens = map[uint64]keyOpening{}
	n.opened = map[keyName]keyOpening{}
	n.ticket = uint64(n.Start.Incarnation) << 32 // so that no ticket of an earlier incarnation is met again
	n.recalls = n.ticket
	n.listed = map[string]fleet.VM{}
	n.leaving = map[string]bool{}
	n.seen = map[string]uint32{}
	n.viewSeqs = map[string]uint64{}
}

// handle changes the state by one event; most of its effects come from the flush behind all events.
func (n *Node) handle(e *Event) {
	switch {
	case e.Admit != nil:
		n.deliver(n.room.Arrive(n.now, *e.Admit))
	case e.Leave != nil:
		n.room.Leave(n.now, e.Leave.Request)
	case e.Finish != nil:
		n.room.Finish(n.now, e.Finish.Cell, e.Finish.Done)
	case e.Progress != nil:
		n.room.Progress(n.now, e.Progress.Cell, e.Progress.Done.Grant, e.Progress.Done.Cost)
	case e.KeyOpen != nil:
		n.openKey(e.KeyOpen)
	case e.KeyClose != nil:
		n.closeKey(*e.KeyClose)
	case e.Received != nil:
		n.receive(e.Received.From, &e.Received.Message)
	case e.Linked != nil:
		n.linked(e.Linked.Peer)
		n.members.Linked(e.Linked.Peer)
	case e.Refused != nil:
		n.count("peers.refused")
		n.members.Refused(n.now, e.Refused.Peer)
	case e.Offer != nil:
		n.offer(e.Offer.Version, e.Offer.Text, platform)
	case e.Asked != nil:
		n.keeper.AskedPlatform()
	case e.List != nil:
		n.offerList(e.List.VMs)
	case e.Load != nil:
		n.load(e.Load)
	case e.Drain != nil:
		n.draining = true
		n.members.Drain(n.now)
	}
}

// tick does the periodic work that needs no exact time.
func (n *Node) tick() {
	n.reader = n.members.Reader(n.now)
	n.settle()
	n.askConfig()
	n.askList()
	n.holdKeys()
	n.expireOpens()
	n.dropIdleCells()
	n.noticePeers()
	n.askAll()
}

// Rest gives the time after the last step by which the next is due.
func (n *Node) Rest() time.Duration {
	next := n.now + TickPeriod
	if at, due := n.room.Wake(); due {
		next = min(next, at)
	}
	if len(n.deferred) > 0 {
		next = min(next, n.deferred[0].again)
	}
	for _, c := range n.cells {
		if at, due := c.scheduler.Wake(); due && c.lenders > 0 {
			next = min(next, at)
		}
	}
	return max(next-n.now, 0)
}

// noticePause lets membership compare the wall clock with the monotonic one, and notices that the process was paused.
func (n *Node) noticePause() {
	n.members.Wall(n.now, time.Duration(n.wall.UnixNano()))
	if paused := n.now - n.lastStep; paused > fleet.SilenceLimit && n.lastStep > 0 {
		n.count("paused")
		n.members.Woke(n.now)
		n.keeper.Begin(n.now)
		n.notice(Notice{Kind: NoticeWokeLate, After: paused})
	}
	n.lastStep = n.now
}

// noticePeers tells of routers that came or went. What a lost one asked for is forgotten, and it is asked for all when it is
// heard again: it may not have noticed that it was lost.
func (n *Node) noticePeers() {
	live := n.members.Live()
	if slices.Equal(live, n.live) {
		return
	}
	for _, name := range live {
		if slices.Contains(n.live, name) || name == n.Start.Self {
			continue
		}
		n.notice(Notice{Kind: NoticePeerLive, From: name})
		for _, id := range n.order {
			n.askAllOf(id, name)
		}
	}
	for _, name := range n.live {
		if !slices.Contains(live, name) {
			n.count("peerLost")
			n.notice(Notice{Kind: NoticePeerLost, From: name})
			n.forget(name)
		}
	}
	n.live = live
}

func (n *Node) do(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) notice(t Notice) { n.do(Effect{Notice: &t}) }

func (n *Node) deliver(verdicts []entry.Verdict) {
	for i := range verdicts {
		n.do(Effect{Verdict: &verdicts[i]})
	}
}

func (n *Node) count(name string) {
	if n.Count != nil {
		n.Count(name)
	}
}
