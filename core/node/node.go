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

// Start is the configuration of a router at the start of its process.
type Start struct {
	Self        string        `json:"self"`
	DataCentre  string        `json:"dataCentre"`
	Incarnation uint32        `json:"incarnation"`
	Policy      sched.Policy  `json:"policy,omitempty"`
	Standalone  bool          `json:"alone,omitempty"` // a baseline: this router schedules all requests that arrive here, without its peers
	Seed        uint64        `json:"seed,omitempty"`
	Anticipate  time.Duration `json:"anticipate,omitempty"`  // see sched.Settings
	QueueLength int           `json:"queueLength,omitempty"` // see entry.Settings
	QueueBytes  int64         `json:"queueBytes,omitempty"`  // see entry.Settings
}

// Node is the control state of one router. Set Start and call Step.
type Node struct {
	Start Start
	Count func(name string) // increments a counter; nil counts nothing

	now     time.Duration
	wall    time.Time
	effects []Effect

	members         member.Members
	room            entry.Room
	keeper          conf.Keeper
	home            keys.Home
	cells           map[fleet.Cell]*cell
	cellOrder       []fleet.Cell            // keys of cells, sorted by name
	products        []string                // of the configuration in force, sorted
	pendingOpens    map[uint64]pendingOpen  // sent to a key's home and not answered yet, by ticket
	permitted       map[keyName]pendingOpen // answered KeyRun and not closed yet
	lastTicket      uint64
	deferred        []pendingOpen                // refused because the key had no home, to be retried
	slotHolds       [keys.Slots]keyHold          // this router's holds of key slots
	handovers       [keys.Slots]incomingHandover // handovers received, complete or in part
	earlyCloses     [keys.Slots][]earlyClose     // closes that arrived before their records
	handoverCount   uint64                       // number of handovers sent
	holdCount       uint64                       // number of holds of key slots
	lastRecall      uint64                       // number of the last recall
	memorySince     time.Time                    // on the wall clock: this router remembers its part in every permission granted after this time
	memorySinceMono time.Duration                // the same time on the monotonic clock
	listChanged     time.Time                    // on the wall clock: last change of the set of listed routers
	viewSeqs        map[string]uint64            // sequence numbers of the views by which key slots were last checked
	listed          map[string]fleet.VM
	leaving         map[string]bool
	vmList          listState
	incarnations    map[string]uint32 // last incarnation received from each peer
	live            []string          // routers that were live at the last check, sorted

	initialized bool
	ready       bool
	draining    bool
	reader      bool
	lastTick    time.Duration
	lastStep    time.Duration
}

// Step handles the events that have happened up to now, in order, and returns the effects to carry out; now is
// on the process's monotonic clock. Step must also be called, without events, once the time returned by UntilNextStep has
// passed. The effects are valid until the next call.
func (n *Node) Step(now time.Duration, wall time.Time, events []Event) []Effect {
	n.init()
	n.effects = n.effects[:0]
	n.now, n.wall = now, wall
	n.checkWallClock()
	n.detectPause()
	for i := range events {
		n.handle(&events[i])
	}
	if now-n.lastTick >= TickPeriod || n.lastTick == 0 {
		n.lastTick = now
		n.tick()
	}
	n.deliver(n.room.Expire(now))
	n.sendHeartbeats()
	n.handOverSlots()
	n.flush()
	return n.effects
}

func (n *Node) init() {
	if n.initialized {
		return
	}
	n.initialized = true
	n.room.Settings = entry.Settings{QueueLength: n.Start.QueueLength, QueueBytes: n.Start.QueueBytes}
	n.keeper.Self, n.room.Self, n.room.Seed = n.Start.Self, n.Start.Self, n.Start.Seed
	n.members.Self, n.members.DataCentre = n.Start.Self, n.Start.DataCentre
	n.members.Incarnation = uint64(n.Start.Incarnation)
	n.cells = map[fleet.Cell]*cell{}
	n.pendingOpens = map[uint64]pendingOpen{}
	n.permitted = map[keyName]pendingOpen{}
	n.lastTicket = uint64(n.Start.Incarnation) << 32 // so that tickets of earlier incarnations are not reused
	n.lastRecall = n.lastTicket
	n.listed = map[string]fleet.VM{}
	n.leaving = map[string]bool{}
	n.incarnations = map[string]uint32{}
	n.viewSeqs = map[string]uint64{}
}

// handle applies one event to the state. Most of the effects come from the flush after all events.
func (n *Node) handle(e *Event) {
	switch {
	case e.Admit != nil:
		n.deliver(n.room.Enqueue(n.now, *e.Admit))
	case e.Cancel != nil:
		n.room.Cancel(n.now, e.Cancel.Request)
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
	case e.PeerConnected != nil:
		n.peerConnected(e.PeerConnected.Peer)
		n.members.ObserveConnection(e.PeerConnected.Peer)
	case e.PeerRefused != nil:
		n.count("peers.refused")
		n.members.ObserveRefusal(n.now, e.PeerRefused.Peer)
	case e.Offer != nil:
		n.offerConfig(e.Offer.Version, e.Offer.Text, platform)
	case e.ConfigPolled != nil:
		n.keeper.PlatformAnswered()
	case e.VMList != nil:
		n.receivePlatformList(e.VMList.VMs)
	case e.Load != nil:
		n.receiveLoad(e.Load)
	case e.Drain != nil:
		n.draining = true
		n.members.Drain(n.now)
	}
}

// tick does the periodic work that needs no exact time.
func (n *Node) tick() {
	n.reader = n.members.Reader(n.now)
	n.checkReady()
	n.requestConfig()
	n.requestList()
	n.updateHolds()
	n.expirePendingOpens()
	n.dropIdleCells()
	n.updatePeers()
	n.requestFullDemands()
}

// UntilNextStep returns the time after the last step by which the next one is due.
func (n *Node) UntilNextStep() time.Duration {
	next := n.now + TickPeriod
	if at, due := n.room.NextWake(); due {
		next = min(next, at)
	}
	if len(n.deferred) > 0 {
		next = min(next, n.deferred[0].retryAt)
	}
	for _, c := range n.cells {
		if at, due := c.scheduler.NextWake(); due && c.lenders > 0 {
			next = min(next, at)
		}
	}
	return max(next-n.now, 0)
}

// detectPause lets membership compare the wall clock with the monotonic one, and detects that the process was
// paused.
func (n *Node) detectPause() {
	n.members.CheckWallClock(n.now, time.Duration(n.wall.UnixNano()))
	if paused := n.now - n.lastStep; paused > fleet.PeerTimeout && n.lastStep > 0 {
		n.count("paused")
		n.members.ObserveWake(n.now)
		n.keeper.StartSettling(n.now)
		n.emitNotice(Notice{Kind: NoticePaused, Duration: paused})
	}
	n.lastStep = n.now
}

// updatePeers reports routers that have joined or been lost. The demand of a lost router is dropped. When it is
// live again, it is asked for its full demand, as it may not have noticed that it was lost.
func (n *Node) updatePeers() {
	live := n.members.Live()
	if slices.Equal(live, n.live) {
		return
	}
	for _, name := range live {
		if slices.Contains(n.live, name) || name == n.Start.Self {
			continue
		}
		n.emitNotice(Notice{Kind: NoticePeerLive, From: name})
		for _, id := range n.cellOrder {
			n.requestFullDemand(id, name)
		}
	}
	for _, name := range n.live {
		if !slices.Contains(live, name) {
			n.count("peerLost")
			n.emitNotice(Notice{Kind: NoticePeerLost, From: name})
			n.forgetRouter(name)
		}
	}
	n.live = live
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) emitNotice(t Notice) { n.emit(Effect{Notice: &t}) }

func (n *Node) deliver(verdicts []entry.Verdict) {
	for i := range verdicts {
		n.emit(Effect{Verdict: &verdicts[i]})
	}
}

func (n *Node) count(name string) {
	if n.Count != nil {
		n.Count(name)
	}
}
