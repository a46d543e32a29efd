package node

import (
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

const (
	// handoverWait is how long a new home waits for the records of the former one.
	handoverWait = 500 * time.Millisecond
	// handoverMaxDelay is how long after it last held a slot a router may hand it over.
	handoverMaxDelay = 700 * time.Millisecond
	// handoverMaxAge is the largest age of the echo of the new home's stamp in a handover. The sum of
	// handoverMaxDelay and handoverMaxAge is less than the time for which a home without a handover runs nothing (2
	// seconds, less the possible difference of clocks), so that a handover covers everything that was run.
	handoverMaxAge = 1100 * time.Millisecond
	// handoverPartSize is the approximate size of one message of a handover, in bytes.
	handoverPartSize = 256 << 10
)

// keyHold is this router's hold of a key slot.
type keyHold struct {
	held        bool
	lastHeld    time.Duration   // last time that the slot was held
	loans       []fleet.KeyLoan // loans at that time
	handoverDue bool            // the slot is to be handed over
	successor   string          // router that it was handed over to

	number     uint64 // number of this hold
	started    time.Duration
	recall     uint64 // number of the recall of other routers' records; 0 before the recall
	recallSent time.Duration
	recalled   bool
	answers    map[string]fleet.KeyHandover // answers to the recall, by router
}

// incomingHandover collects the parts of one handover of a key slot.
type incomingHandover struct {
	from        string
	incarnation uint32
	echo        int64 // this router's stamp that the sender had received when it sent the first part
	handover    fleet.KeyHandover
	complete    bool
	inherited   bool // it was applied, and is not applied again
}

// checkViewChange checks the held key slots again if a router's view has changed, so that the loss of a hold is
// not missed. It reports whether the view has changed.
func (n *Node) checkViewChange(router string) (changed bool) {
	seq := n.members.ViewSeq(router)
	if seq == n.viewSeqs[router] {
		return false
	}
	n.viewSeqs[router] = seq
	for slot := range n.slotHolds {
		if n.slotHolds[slot].held {
			n.updateHold(slot)
		}
	}
	return true
}

// handOverSlots checks the held key slots if this router's view has changed, hands over those that went to
// another router, and retries deferred keys.
func (n *Node) handOverSlots() {
	changed := n.checkViewChange(n.Start.Self)
	for slot := range n.slotHolds {
		if n.slotHolds[slot].handoverDue {
			n.handOver(slot)
		}
	}
	n.retryDeferred(changed)
}

// updateHold tells the home whether a majority lends it a slot now.
func (n *Node) updateHold(slot int) {
	s, duty := &n.slotHolds[slot], keys.Duty(slot)
	loans, held := n.members.Loans(n.now, duty)
	n.home.SetHeld(n.now, slot, held, n.wall)
	switch {
	case held && !s.held:
		n.holdCount++
		*s = keyHold{number: n.holdCount, started: n.now}
		if n.members.HasPredecessor(n.now, duty) {
			n.home.AwaitHandover(n.now, slot, n.now+handoverWait)
		}
	case !held && s.held:
		s.handoverDue = true
	}
	s.held = held
	if held {
		s.lastHeld, s.loans = n.now, loans
		n.inherit(slot)
		n.sendRecall(slot)
	}
}

// handOver sends the records of a slot that is no longer held to the router that this router's view names for
// it.
func (n *Node) handOver(slot int) {
	s := &n.slotHolds[slot]
	next := n.members.Holder(keys.Duty(slot))
	if n.now-s.lastHeld > handoverMaxDelay || n.pausedSince(s.lastHeld) {
		s.handoverDue = false
		return
	}
	if next == "" || next == n.Start.Self {
		return
	}
	s.handoverDue = false
	handover, ok := n.home.HandOver(n.now, slot)
	if !ok {
		return
	}
	s.successor = next
	n.handoverCount++
	n.count("keys.handedOver")
	parts := splitRecords(handover.Records)
	for i, records := range parts {
		h := fleet.KeyHandover{
			Slot: slot, Number: n.handoverCount, Part: i, Parts: len(parts), Since: handover.Since.UnixMilli() + 1, Records: records,
		}
		if i == 0 {
			h.Loans = s.loans
		}
		n.send(next, fleet.Message{KeyHandover: &h})
	}
}

// splitRecords splits records into lists of about handoverPartSize bytes; there is at least one list.
func splitRecords(records []fleet.KeyRecord) [][]fleet.KeyRecord {
	parts := [][]fleet.KeyRecord{nil}
	bytes := 0
	for i := range records {
		if bytes > handoverPartSize {
			parts, bytes = append(parts, nil), 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], records[i])
		bytes += recordsSize(records[i : i+1])
	}
	return parts
}

// recordsSize returns the approximate size of records in a message, in bytes.
func recordsSize(records []fleet.KeyRecord) int {
	bytes := 0
	for i := range records {
		r := &records[i]
		bytes += len(r.Team) + len(r.Key) + len(r.Router) + len(r.Answer.ContentType) + len(r.Answer.Body) + 64
	}
	return bytes
}

// receiveHandover handles one part of a handover. A part that is out of order voids the handover.
func (n *Node) receiveHandover(from string, m *fleet.Message) {
	h := m.KeyHandover
	if h.Slot < 0 || h.Slot >= keys.Slots {
		return
	}
	a := &n.handovers[h.Slot]
	if a.inherited && a.from == from && a.incarnation == m.Incarnation && a.handover.Number >= h.Number {
		return
	}
	if h.Part == 0 {
		*a = incomingHandover{from: from, incarnation: m.Incarnation, handover: *h}
		if m.Echoed == n.Start.Incarnation {
			a.echo = m.Echo
		}
	} else {
		same := a.from == from && a.incarnation == m.Incarnation && a.handover.Number == h.Number && a.handover.Parts == h.Parts
		if !same || h.Part != a.handover.Part+1 {
			n.count("keys.handoverBroken")
			*a = incomingHandover{}
			return
		}
		a.handover.Part = h.Part
		a.handover.Records = append(a.handover.Records, h.Records...)
	}
	a.complete = h.Part == h.Parts-1
	n.updateHold(h.Slot)
}

// inherit applies a complete handover once it is certain that nobody held the slot between the sender and this
// router.
func (n *Node) inherit(slot int) {
	a := &n.handovers[slot]
	if !a.complete || !n.home.AwaitsHandover(n.now, slot) || !n.isFresh(a) {
		return
	}
	if !n.members.HandedOver(n.now, keys.Duty(slot), a.from, a.handover.Loans) {
		return
	}
	handover := keys.Handover{Since: time.UnixMilli(a.handover.Since), Records: a.handover.Records}
	if n.home.Inherit(n.now, slot, handover) {
		n.slotHolds[slot].recalled = true // a handover leaves nothing to recall
		n.applyEarlyCloses(slot)
		n.count("keys.inherited")
		a.inherited, a.complete, a.handover.Records = true, false, nil
	}
}

// expireHandovers drops handovers that arrived too late.
func (n *Node) expireHandovers() {
	for slot := range n.handovers {
		if a := &n.handovers[slot]; !a.inherited && a.from != "" && !n.isFresh(a) {
			*a = incomingHandover{}
		}
	}
}

// isFresh reports whether a handover was sent by the sender's present incarnation and within handoverMaxAge, as
// measured by this router's clock.
func (n *Node) isFresh(a *incomingHandover) bool {
	sent := time.Duration(a.echo) * time.Millisecond
	return a.echo > 0 && n.now-sent < handoverMaxAge && !n.pausedSince(sent) && n.incarnations[a.from] == a.incarnation
}

// pausedSince reports whether this router may have been paused since a time, in which case its clock does not
// tell how long ago that was.
func (n *Node) pausedSince(at time.Duration) bool {
	wake, ever := n.members.LastWake()
	return ever && wake >= at
}
