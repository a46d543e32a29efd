package node

import (
	"mangolug.org/core/fleet"
)

// send stamps and emits a message to a peer.
func (n *Node) send(to string, m fleet.Message) {
	m.Incarnation = n.Start.Incarnation
	m.Stamp = n.members.Clock(n.now)
	if m.KeyHandover != nil { // its receiver must be able to tell its age
		m.Echo, m.Echoed = n.members.Echo(to), uint32(n.members.EchoOf(to))
	}
	n.emit(Effect{Send: &Send{To: to, Message: m}})
}

// accepts reports whether a message from a peer is handled: the peer is listed, or there is no list yet and the
// message may carry one.
func (n *Node) accepts(from string, m *fleet.Message) bool {
	_, listed := n.listed[from]
	return listed || len(n.listed) == 0 && m.ListText != nil
}

// receive handles one message. Messages of an earlier incarnation, or from a VM that is not listed, are dropped.
func (n *Node) receive(from string, m *fleet.Message) {
	if !n.accepts(from, m) {
		n.count("peers.notListed")
		return
	}
	if !n.checkIncarnation(from, m.Incarnation) {
		n.count("peers.oldIncarnation")
		return
	}
	switch {
	case m.Heartbeat != nil:
		n.receiveHeartbeat(from, m)
	case m.Demand != nil:
		c := n.ensureCell(m.Demand.Cell)
		c.lastUsed = n.now
		c.scheduler.ReceiveDemand(n.now, from, n.listed[from].DataCentre, m.Stamp, *m.Demand)
	case m.Grants != nil:
		if m.Grants.TellAll {
			n.room.Reconnected(n.now, from)
		}
		n.deliver(n.room.Grants(n.now, from, n.members.Clock(n.now), *m.Grants))
	case m.KeyOpen != nil:
		answer := n.openLocally(from, *m.KeyOpen)
		n.send(from, fleet.Message{KeyAnswer: &answer})
	case m.KeyAnswer != nil:
		n.receiveKeyAnswer(*m.KeyAnswer, from)
	case m.KeyClose != nil:
		n.closeLocally(from, *m.KeyClose)
	case m.KeyHandover != nil && m.KeyHandover.Recall != 0:
		n.receiveRecallAnswer(from, m.KeyHandover)
	case m.KeyHandover != nil:
		n.receiveHandover(from, m)
	case m.KeyRecall != nil:
		n.answerRecall(from, *m.KeyRecall)
	case m.KeyCopy != nil && m.KeyCopy.Done:
		n.receiveCopyAnswer(from, m.KeyCopy)
	case m.KeyCopy != nil:
		n.storeCopy(from, m.KeyCopy)
	case m.ConfigAsk != nil:
		n.sendConfig(from, m.ConfigAsk.After)
	case m.ConfigText != nil:
		n.offerConfig(m.ConfigText.Version, m.ConfigText.Text, from)
	case m.ListText != nil:
		n.receiveListText(from, m.ListText)
	}
}

func (n *Node) receiveHeartbeat(from string, m *fleet.Message) {
	echo := m.Echo
	if m.Echoed != n.Start.Incarnation {
		echo = 0
	}
	n.members.Receive(n.now, from, uint64(m.Incarnation), m.Stamp, echo, *m.Heartbeat)
	n.checkViewChange(from)
	n.keeper.SetPeerVersion(n.now, from, m.Heartbeat.ConfigVersion)
	for _, id := range n.cellOrder {
		n.cells[id].scheduler.UpdateBasis(n.now, from, m.Stamp)
	}
}

// checkIncarnation records a peer's incarnation and returns false if it is older than the last one. A newer
// incarnation drops the demand of the earlier one.
func (n *Node) checkIncarnation(from string, incarnation uint32) bool {
	last, known := n.incarnations[from]
	if known && last == incarnation {
		return true
	}
	if known && int32(incarnation-last) < 0 {
		return false
	}
	n.incarnations[from] = incarnation
	if known {
		n.forgetRouter(from)
		delete(n.vmList.advertised, from)
	}
	return true
}

func (n *Node) forgetRouter(router string) {
	for _, id := range n.cellOrder {
		n.cells[id].scheduler.RemoveRouter(n.now, router)
	}
}

// sendHeartbeats emits the heartbeats that are due, with the stamps that belong to them.
func (n *Node) sendHeartbeats() {
	for _, b := range n.members.Tick(n.now) {
		n.emit(Effect{Send: &Send{To: b.To, Message: fleet.Message{
			Incarnation: n.Start.Incarnation, Stamp: b.Stamp, Echo: b.Echo, Echoed: uint32(b.EchoOf), Heartbeat: &b.Heartbeat,
		}}})
	}
}
