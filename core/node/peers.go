package node

import (
	"mangolug.org/core/fleet"
)

// send stamps a message for a peer.
func (n *Node) send(to string, m fleet.Message) {
	m.Incarnation = n.Start.Incarnation
	m.Stamp = n.members.Clock(n.now)
	if m.KeyHandover != nil { // its receiver must know how old it is
		m.Echo, m.Echoed = n.members.Echo(to), uint32(n.members.EchoOf(to))
	}
	n.do(Effect{Send: &Send{To: to, Message: m}})
}

// accepts says whether a peer's message counts: it is listed, or there is no list yet and it may bring one.
func (n *Node) accepts(from string, m *fleet.Message) bool {
	_, listed := n.listed[from]
	return listed || len(n.listed) == 0 && m.ListText != nil
}

// receive handles one message; those of an earlier incarnation or of a VM that is not listed are dropped.
func (n *Node) receive(from string, m *fleet.Message) {
	if !n.accepts(from, m) {
		n.count("peers.notListed")
		return
	}
	if !n.sameOrNewer(from, m.Incarnation) {
		n.count("peers.oldIncarnation")
		return
	}
	switch {
	case m.Heartbeat != nil:
		n.heartbeat(from, m)
	case m.Demand != nil:
		c := n.ensureCell(m.Demand.Cell)
		c.asked = n.now
		c.scheduler.Take(n.now, from, n.listed[from].DataCentre, m.Stamp, *m.Demand)
	case m.Grants != nil:
		if m.Grants.TellAll {
			n.room.Linked(n.now, from)
		}
		n.deliver(n.room.Grants(n.now, from, n.members.Clock(n.now), *m.Grants))
	case m.KeyOpen != nil:
		answer := n.openHere(from, *m.KeyOpen)
		n.send(from, fleet.Message{KeyAnswer: &answer})
	case m.KeyAnswer != nil:
		n.answerOpen(*m.KeyAnswer, from)
	case m.KeyClose != nil:
		n.closeHere(from, *m.KeyClose)
	case m.KeyHandover != nil && m.KeyHandover.Recall != 0:
		n.recalled(from, m.KeyHandover)
	case m.KeyHandover != nil:
		n.arrive(from, m)
	case m.KeyRecall != nil:
		n.answerRecall(from, *m.KeyRecall)
	case m.KeyCopy != nil && m.KeyCopy.Done:
		n.copied(from, m.KeyCopy)
	case m.KeyCopy != nil:
		n.keepCopy(from, m.KeyCopy)
	case m.ConfigAsk != nil:
		n.answerConfig(from, m.ConfigAsk.After)
	case m.ConfigText != nil:
		n.offer(m.ConfigText.Version, m.ConfigText.Text, from)
	case m.ListText != nil:
		n.listText(from, m.ListText)
	}
}

func (n *Node) heartbeat(from string, m *fleet.Message) {
	echo := m.Echo
	if m.Echoed != n.Start.Incarnation {
		echo = 0
	}
	n.members.Receive(n.now, from, uint64(m.Incarnation), m.Stamp, echo, *m.Heartbeat)
	n.holdKeysBy(from)
	n.keeper.Heard(n.now, from, m.Heartbeat.ConfigVersion)
	for _, id := range n.order {
		n.cells[id].scheduler.Heard(n.now, from, m.Stamp)
	}
}

// sameOrNewer notes a peer's incarnation; a new one forgets what the earlier one asked for.
func (n *Node) sameOrNewer(from string, incarnation uint32) bool {
	last, known := n.seen[from]
	if known && last == incarnation {
		return true
	}
	if known && int32(incarnation-last) < 0 {
		return false
	}
	n.seen[from] = incarnation
	if known {
		n.forget(from)
		delete(n.carried.told, from)
	}
	return true
}

func (n *Node) forget(router string) {
	for _, id := range n.order {
		n.cells[id].scheduler.Forget(n.now, router)
	}
}

// beat sends the heartbeats that are due, with the stamps that belong to them.
func (n *Node) beat() {
	for _, b := range n.members.Tick(n.now) {
		n.do(Effect{Send: &Send{To: b.To, Message: fleet.Message{
			Incarnation: n.Start.Incarnation, Stamp: b.Stamp, Echo: b.Echo, Echoed: uint32(b.EchoOf), Heartbeat: &b.Heartbeat,
		}}})
	}
}
