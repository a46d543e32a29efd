package node

import (
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

const (
	// handoverWait is how long a new home waits for the records of the former one.
	handoverWait = 500 * time.Millisecond
	// handoverDelay is how long after it last held a slot a router may hand it over.
	handoverDelay = 700 * time.Millisecond
	// handoverFresh is how old an echo of the new home's stamp in a handover may be. Both together are less than the time for which
	// a home that took over no records runs nothing (2 s, less what clocks may differ), so that a handover holds all that was run.
	handoverFresh = 1100 * time.Millisecond
	// handoverBytes is about how much one message of a handover holds.
	handoverBytes = 256 << 10
)

// keyHold is this router's hold of a key slot.
type keyHold struct {
	holds bool
	at    time.Duration   // last time that it held
	loans []fleet.KeyLoan // at that time
	owed  bool            // to be handed over
	next  string          // router that it was handed over to

	era       uint64 // number of this hold
	begun     time.Duration
	recall    uint64 // number of the recall of what others know; 0 before it
	recallAt  time.Duration
	recalled  bool
	knowledge map[string]fleet.KeyHandover // answers to the recall
}

// keyArrival collects the parts of one handover of a key slot.
type keyArrival struct {
	from        string
	incarnation uint32
	echo        int64 // own stamp that the sender had heard when it sent the first part
	parts       fleet.KeyHandover
	whole       bool
	taken       bool // it was inherited, and counts no second time
}

// holdKeysBy looks again at the key slots that are held when a router's view has changed, so that the loss of a hold is not missed.
func (n *Node) holdKeysBy(router string) (changed bool) {
	seq := n.members.ViewSeq(router)
	if seq == n.viewSeqs[router] {
		return false
	}
	n.viewSeqs[router] = seq
	for slot := range n.holds {
		if n.holds[slot].holds {
			n.holdSlot(slot)
		}
	}
	return true
}

// moveKeys looks at the key slots when the own view has changed, and hands over those that went to another router.
func (n *Node) moveKeys() {
	changed := n.holdKeysBy(n.Start.Self)
	for slot := range n.holds {
		if n.holds[slot].owed {
			n.handOver(slot)
		}
	}
	n.askAgain(changed)
}

// holdSlot tells the home whether a majority lends it a slot now.
func (n *Node) holdSlot(slot int) {
	s, duty := &n.holds[slot], keys.Duty(slot)
	loans, holds := n.members.Loans(n.now, duty)
	n.home.Hold(n.now, slot, holds, n.wall)
	switch {
	case holds && !s.holds:
		n.eras++
		*s = keyHold{era: n.eras, begun: n.now}
		if n.members.Preceded(n.now, duty) {
			n.home.Wait(n.now, slot, n.now+handoverWait)
		}
	case !holds && s.holds:
		s.owed = true
	}
	s.holds = holds
	if holds {
		s.at, s.loans = n.now, loans
		n.inherit(slot)
		n.recall(slot)
	}
}

// handOver sends a slot's records to the router that this one's view names for it; the slot is held no more.
func (n *Node) handOver(slot int) {
	s := &n.holds[slot]
	next := n.members.Holder(keys.Duty(slot))
	if n.now-s.at > handoverDelay || n.wokeSince(s.at) {
		s.owed = false
		return
	}
	if next == "" || next == n.Start.Self {
		return
	}
	s.owed = false
	known, ok := n.home.HandOver(n.now, slot)
	if !ok {
		return
	}
	s.next = next
	n.handed++
	n.count("keys.handedOver")
	parts := split(known.Records)
	for i, records := range parts {
		h := fleet.KeyHandover{
			Slot: slot, Number: n.handed, Part: i, Parts: len(parts), Since: known.Since.UnixMilli() + 1, Records: records,
		}
		if i == 0 {
			h.Loans = s.loans
		}
		n.send(next, fleet.Message{KeyHandover: &h})
	}
}

// split cuts records into lists of about handoverBytes; there is at least one list.
func split(records []fleet.KeyRecord) [][]fleet.KeyRecord {
	parts := [][]fleet.KeyRecord{nil}
	bytes := 0
	for i := range records {
		if bytes > handoverBytes {
			parts, bytes = append(parts, nil), 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], records[i])
		bytes += sizeOf(records[i : i+1])
	}
	return parts
}

// sizeOf gives about the bytes that records take in a message.
func sizeOf(records []fleet.KeyRecord) int {
	bytes := 0
	for i := range records {
		r := &records[i]
		bytes += len(r.Team) + len(r.Key) + len(r.Router) + len(r.Answer.ContentType) + len(r.Answer.Body) + 64
	}
	return bytes
}

// arrive takes one part of a handover; a part out of turn voids it.
func (n *Node) arrive(from string, m *fleet.Message) {
	h := m.KeyHandover
	if h.Slot < 0 || h.Slot >= keys.Slots {
		return
	}
	a := &n.arrivals[h.Slot]
	if a.taken && a.from == from && a.incarnation == m.Incarnation && a.parts.Number >= h.Number {
		return
	}
	if h.Part == 0 {
		*a = keyArrival{from: from, incarnation: m.Incarnation, parts: *h}
		if m.Echoed == n.Start.Incarnation {
			a.echo = m.Echo
		}
	} else {
		same := a.from == from && a.incarnation == m.Incarnation && a.parts.Number == h.Number && a.parts.Parts == h.Parts
		if !same || h.Part != a.parts.Part+1 {
			n.count("keys.handoverBroken")
			*a = keyArrival{}
			return
		}
		a.parts.Part = h.Part
		a.parts.Records = append(a.parts.Records, h.Records...)
	}
	a.whole = h.Part == h.Parts-1
	n.holdSlot(h.Slot)
}

// inherit takes a whole handover once it is certain that nobody held the slot between the sender and this router.
func (n *Node) inherit(slot int) {
	a := &n.arrivals[slot]
	if !a.whole || !n.home.Waits(n.now, slot) || !n.fresh(a) {
		return
	}
	if !n.members.Passed(n.now, keys.Duty(slot), a.from, a.parts.Loans) {
		return
	}
	known := keys.Handover{Since: time.UnixMilli(a.parts.Since), Records: a.parts.Records}
	if n.home.Inherit(n.now, slot, known) {
		n.holds[slot].recalled = true // there is nothing more to know
		n.closeEarly(slot)
		n.count("keys.inherited")
		a.taken, a.whole, a.parts.Records = true, false, nil
	}
}

// dropArrivals lets go of handovers that came too late.
func (n *Node) dropArrivals() {
	for slot := range n.arrivals {
		if a := &n.arrivals[slot]; !a.taken && a.from != "" && !n.fresh(a) {
			*a = keyArrival{}
		}
	}
}

// fresh reports whether a handover was sent lately, by this router's clock and the sender's present incarnation.
func (n *Node) fresh(a *keyArrival) bool {
	sent := time.Duration(a.echo) * time.Millisecond
	return a.echo > 0 && n.now-sent < handoverFresh && !n.wokeSince(sent) && n.seen[a.from] == a.incarnation
}

// wokeSince reports whether this router may have slept since a time, so that its clock says nothing of how long ago that was.
func (n *Node) wokeSince(at time.Duration) bool {
	woke, ever := n.members.Wake()
	return ever && woke >= at
}
