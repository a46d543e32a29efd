package node

import (
	"maps"
	"slices"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/core/member"
)

const (
	// recallPeriod is the time between two recalls while one is not answered.
	recallPeriod = 200 * time.Millisecond
	// recallTime is how long a recall goes on: then the new home has settled, and its guard is over.
	recallTime = keys.DefaultSettleTime
	// recallBytes is about the most that an answer to a recall may hold; a router that knows more leaves out the bodies of answers.
	recallBytes = 1 << 20
)

// Each permission is known to two routers: its home and the router that asked. Where the home asks itself, another router keeps a
// copy, the witness, before the permission is used.

// askSelf asks the own home, and has a permission witnessed.
func (n *Node) askSelf(o keyOpening) {
	a := n.openHere(n.Start.Self, o.open)
	slot := keys.Slot(o.open.Team, o.open.Key)
	if a.Verdict != fleet.KeyRun || len(n.listed) == 1 {
		n.reply(o, a)
		return
	}
	o.witness, o.era = n.witnessOf(slot), n.holds[slot].era
	if o.witness == "" {
		n.withdraw(o)
		n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonNoMajority})
		return
	}
	n.opens[o.open.Ticket] = o
	n.send(o.witness, fleet.Message{KeyCopy: &fleet.KeyCopy{Record: *n.recordOf(o)}})
}

// witnessOf chooses a live router other than this one, another for each slot.
func (n *Node) witnessOf(slot int) string {
	live := slices.DeleteFunc(n.members.Live(), func(name string) bool { return name == n.Start.Self })
	if len(live) == 0 {
		return ""
	}
	return live[slot%len(live)]
}

// keepCopy keeps a copy of a permission that its home is about to use.
func (n *Node) keepCopy(from string, c *fleet.KeyCopy) {
	r := c.Record
	r.Router = from
	n.send(from, fleet.Message{KeyCopy: &fleet.KeyCopy{Record: r, Done: true, Kept: n.home.Copy(n.now, &r)}})
}

// copied uses a permission that was witnessed, if it was given by the present hold.
func (n *Node) copied(from string, c *fleet.KeyCopy) {
	o, found := n.opens[c.Record.Ticket]
	if !found || o.witness != from {
		n.count("keys.lateAnswer")
		return
	}
	delete(n.opens, c.Record.Ticket)
	if n.now >= o.until {
		n.takeBack(o)
		return
	}
	slot := keys.Slot(o.open.Team, o.open.Key)
	n.holdSlot(slot)
	switch s := &n.holds[slot]; {
	case !s.holds || s.era != o.era:
		n.withdraw(o)
		o.witness = ""
		n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonNoMajority})
	case !c.Kept:
		n.withdraw(o)
		n.reply(o, fleet.KeyAnswer{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonOutcomeUnknown})
	default:
		n.reply(o, fleet.KeyAnswer{Verdict: fleet.KeyRun, Reason: fleet.ReasonGranted})
	}
}

// recordOf gives the record of a permission that this router was given.
func (n *Node) recordOf(o keyOpening) *fleet.KeyRecord {
	return &fleet.KeyRecord{
		Team: o.open.Team, Key: o.open.Key, Router: n.Start.Self, Ticket: o.open.Ticket, Digest: o.open.Digest, Verdict: fleet.KeyInProgress,
	}
}

func closeOf(o keyOpening, outcome fleet.KeyVerdict) fleet.KeyClose {
	return fleet.KeyClose{Ticket: o.open.Ticket, Team: o.open.Team, Key: o.open.Key, Outcome: outcome}
}

// withdraw tells home and witness that a permission is not used.
func (n *Node) withdraw(o keyOpening) {
	n.sendClose(o.home, closeOf(o, fleet.KeyRefused))
	if o.witness != "" {
		n.sendClose(o.witness, closeOf(o, fleet.KeyRefused))
	}
}

// recall asks all listed routers what they know of a slot that came without a handover.
func (n *Node) recall(slot int) {
	s := &n.holds[slot]
	if s.recalled || n.now-s.begun > recallTime || n.home.Waits(n.now, slot) || s.recall != 0 && n.now-s.recallAt < recallPeriod {
		return
	}
	if s.recall == 0 {
		n.recalls++
		s.recall, s.knowledge = n.recalls, map[string]fleet.KeyHandover{}
		n.count("keys.recalls")
	}
	s.recallAt = n.now
	for _, name := range n.listedNames() {
		if _, known := s.knowledge[name]; !known && name != n.Start.Self {
			n.send(name, fleet.Message{KeyRecall: &fleet.KeyRecall{Slot: slot, Number: s.recall}})
		}
	}
}

// answerRecall tells a slot's new home all that this router knows of it, and asks anew what it had asked of a former home: a
// permission that is still on its way is not used.
func (n *Node) answerRecall(from string, r fleet.KeyRecall) {
	if r.Slot < 0 || r.Slot >= keys.Slots {
		return
	}
	for _, ticket := range slices.Sorted(maps.Keys(n.opens)) {
		o := n.opens[ticket]
		if o.witness != "" || o.home == from || keys.Slot(o.open.Team, o.open.Key) != r.Slot {
			continue
		}
		delete(n.opens, ticket)
		n.withdraw(o)
		n.sendClose(from, closeOf(o, fleet.KeyRefused)) // the former home may tell of it as in progress
		o.again = n.now
		n.deferred = slices.Insert(n.deferred, 0, o)
	}
	h := fleet.KeyHandover{
		Slot: r.Slot, Parts: 1, Since: n.knownSince().UnixMilli() + 1, Records: n.home.Known(n.now, r.Slot), Recall: r.Number,
	}
	if sizeOf(h.Records) > recallBytes {
		for i := range h.Records {
			a := &h.Records[i].Answer
			a.Body, a.Truncated = nil, a.Truncated || len(a.Body) > 0
		}
	}
	n.send(from, fleet.Message{KeyHandover: &h})
}

// recalled takes a router's answer to a recall. Once all but one have answered, every key that was permitted since the last of
// them knows is on record with one of them: two routers knew of it.
func (n *Node) recalled(from string, h *fleet.KeyHandover) {
	if h.Slot < 0 || h.Slot >= keys.Slots {
		return
	}
	n.holdSlot(h.Slot)
	s := &n.holds[h.Slot]
	if !s.holds || s.recalled || s.recall == 0 || s.recall != h.Recall {
		return
	}
	s.knowledge[from] = *h
	since, whole := n.knownByAll(s.knowledge)
	if !whole {
		return
	}
	var records []fleet.KeyRecord
	for _, name := range slices.Sorted(maps.Keys(s.knowledge)) {
		records = append(records, s.knowledge[name].Records...)
	}
	s.recalled, s.knowledge = true, nil
	n.home.Recalled(n.now, h.Slot, since, records)
	n.closeEarly(h.Slot)
	n.count("keys.recalled")
}

// knownByAll gives the time since which this router and all other listed ones but one know their part; false while it may be that
// more answers make it earlier.
func (n *Node) knownByAll(knowledge map[string]fleet.KeyHandover) (time.Time, bool) {
	var others []time.Time
	missing := 0
	for _, name := range n.listedNames() {
		known, answered := knowledge[name]
		switch {
		case answered:
			others = append(others, time.UnixMilli(known.Since))
		case name != n.Start.Self:
			missing++
		}
	}
	slices.SortFunc(others, time.Time.Compare)
	if missing == 0 && len(others) > 0 {
		others = others[:len(others)-1] // one that has just started again knows the least, and is the one to be left out
	}
	since := n.knownSince()
	if last := len(others) - 1; last >= 0 && others[last].After(since) {
		since = others[last]
	}
	return since, missing == 0 || missing == 1 && !since.After(n.wall)
}

// checkKnown begins anew what this router says that it remembers when its wall clock moved otherwise than its monotonic clock.
func (n *Node) checkKnown() {
	moved := n.wall.Sub(n.known) - (n.now - n.knownAt)
	if n.known.IsZero() || moved.Abs() > keys.DefaultClockError {
		n.known, n.knownAt, n.relisted = n.wall, n.now, n.wall
	}
}

// knownSince gives the time since which this router remembers its part of all permissions, and knows all routers that had one.
func (n *Node) knownSince() time.Time {
	if settled := n.relisted.Add(member.DefaultListLag); settled.After(n.known) {
		return settled
	}
	return n.known
}
