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
	// recallPeriod is the time after which an unanswered recall is sent again.
	recallPeriod = 200 * time.Millisecond
	// recallLimit is how long a recall is repeated: after that the new home has settled, and its guard time is over.
	recallLimit = keys.DefaultSettleTime
	// recallAnswerSize is the approximate largest size of an answer to a recall, in bytes. A larger one leaves out
	// the bodies of answers.
	recallAnswerSize = 1 << 20
)

// Two routers know of each permission: its home and the router that asked. If the home itself asked, another
// router, the witness, stores a copy before the permission is used.

// openAsHome asks this router as the home, and has a permission witnessed by another router.
func (n *Node) openAsHome(o pendingOpen) {
	a := n.openLocally(n.Start.Self, o.open)
	slot := keys.Slot(o.open.Team, o.open.Key)
	if a.Verdict != fleet.KeyRun || len(n.listed) == 1 {
		n.reply(o, a)
		return
	}
	o.witness, o.hold = n.chooseWitness(slot), n.slotHolds[slot].number
	if o.witness == "" {
		n.withdraw(o)
		n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonNoMajority})
		return
	}
	n.pendingOpens[o.open.Ticket] = o
	n.send(o.witness, fleet.Message{KeyCopy: &fleet.KeyCopy{Record: *n.newKeyRecord(o)}})
}

// chooseWitness returns a live router other than this one. The choice depends on the slot.
func (n *Node) chooseWitness(slot int) string {
	live := slices.DeleteFunc(n.members.Live(), func(name string) bool { return name == n.Start.Self })
	if len(live) == 0 {
		return ""
	}
	return live[slot%len(live)]
}

// storeCopy stores a copy of a permission that its home is about to use.
func (n *Node) storeCopy(from string, c *fleet.KeyCopy) {
	r := c.Record
	r.Router = from
	n.send(from, fleet.Message{KeyCopy: &fleet.KeyCopy{Record: r, Done: true, Kept: n.home.RecordCopy(n.now, &r)}})
}

// receiveCopyAnswer uses a permission that was witnessed if the present hold granted it.
func (n *Node) receiveCopyAnswer(from string, c *fleet.KeyCopy) {
	o, found := n.pendingOpens[c.Record.Ticket]
	if !found || o.witness != from {
		n.count("keys.lateAnswer")
		return
	}
	delete(n.pendingOpens, c.Record.Ticket)
	if n.now >= o.deadline {
		n.timeOutOpen(o)
		return
	}
	slot := keys.Slot(o.open.Team, o.open.Key)
	n.updateHold(slot)
	switch s := &n.slotHolds[slot]; {
	case !s.held || s.number != o.hold:
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

// newKeyRecord returns the record of a permission that this router was granted.
func (n *Node) newKeyRecord(o pendingOpen) *fleet.KeyRecord {
	return &fleet.KeyRecord{
		Team: o.open.Team, Key: o.open.Key, Router: n.Start.Self, Ticket: o.open.Ticket, Digest: o.open.Digest, Verdict: fleet.KeyInProgress,
	}
}

func newKeyClose(o pendingOpen, outcome fleet.KeyVerdict) fleet.KeyClose {
	return fleet.KeyClose{Ticket: o.open.Ticket, Team: o.open.Team, Key: o.open.Key, Outcome: outcome}
}

// withdraw tells the home and the witness that a permission is not used.
func (n *Node) withdraw(o pendingOpen) {
	n.sendClose(o.home, newKeyClose(o, fleet.KeyRefused))
	if o.witness != "" {
		n.sendClose(o.witness, newKeyClose(o, fleet.KeyRefused))
	}
}

// sendRecall asks all listed routers for their records of a slot that came without a handover.
func (n *Node) sendRecall(slot int) {
	s := &n.slotHolds[slot]
	if s.recalled || n.now-s.started > recallLimit || n.home.AwaitsHandover(n.now, slot) || s.recall != 0 && n.now-s.recallSent < recallPeriod {
		return
	}
	if s.recall == 0 {
		n.lastRecall++
		s.recall, s.answers = n.lastRecall, map[string]fleet.KeyHandover{}
		n.count("keys.recalls")
	}
	s.recallSent = n.now
	for _, name := range n.listedNames() {
		if _, known := s.answers[name]; !known && name != n.Start.Self {
			n.send(name, fleet.Message{KeyRecall: &fleet.KeyRecall{Slot: slot, Number: s.recall}})
		}
	}
}

// answerRecall sends this router's records of a slot to the slot's new home, and defers the requests that it
// sent to a former home: a permission that is still in flight is not used.
func (n *Node) answerRecall(from string, r fleet.KeyRecall) {
	if r.Slot < 0 || r.Slot >= keys.Slots {
		return
	}
	for _, ticket := range slices.Sorted(maps.Keys(n.pendingOpens)) {
		o := n.pendingOpens[ticket]
		if o.witness != "" || o.home == from || keys.Slot(o.open.Team, o.open.Key) != r.Slot {
			continue
		}
		delete(n.pendingOpens, ticket)
		n.withdraw(o)
		n.sendClose(from, newKeyClose(o, fleet.KeyRefused)) // the former home may report it as in progress
		o.retryAt = n.now
		n.deferred = slices.Insert(n.deferred, 0, o)
	}
	h := fleet.KeyHandover{
		Slot: r.Slot, Parts: 1, Since: n.memoryCompleteSince().UnixMilli() + 1, Records: n.home.SlotRecords(n.now, r.Slot), Recall: r.Number,
	}
	if recordsSize(h.Records) > recallAnswerSize {
		for i := range h.Records {
			a := &h.Records[i].Answer
			a.Body, a.Truncated = nil, a.Truncated || len(a.Body) > 0
		}
	}
	n.send(from, fleet.Message{KeyHandover: &h})
}

// receiveRecallAnswer handles a router's answer to a recall. Two routers know of each permission. Once all
// routers but one have answered, every key that was permitted after the time returned by recallCompleteSince is
// therefore recorded by one of them.
func (n *Node) receiveRecallAnswer(from string, h *fleet.KeyHandover) {
	if h.Slot < 0 || h.Slot >= keys.Slots {
		return
	}
	n.updateHold(h.Slot)
	s := &n.slotHolds[h.Slot]
	if !s.held || s.recalled || s.recall == 0 || s.recall != h.Recall {
		return
	}
	s.answers[from] = *h
	since, complete := n.recallCompleteSince(s.answers)
	if !complete {
		return
	}
	var records []fleet.KeyRecord
	for _, name := range slices.Sorted(maps.Keys(s.answers)) {
		records = append(records, s.answers[name].Records...)
	}
	s.recalled, s.answers = true, nil
	n.home.MergeRecall(n.now, h.Slot, since, records)
	n.applyEarlyCloses(h.Slot)
	n.count("keys.recalled")
}

// recallCompleteSince returns the time since which this router and all other listed ones but one remember their
// part. It returns false while further answers may make that time earlier.
func (n *Node) recallCompleteSince(answers map[string]fleet.KeyHandover) (time.Time, bool) {
	var others []time.Time
	missing := 0
	for _, name := range n.listedNames() {
		answer, answered := answers[name]
		switch {
		case answered:
			others = append(others, time.UnixMilli(answer.Since))
		case name != n.Start.Self:
			missing++
		}
	}
	slices.SortFunc(others, time.Time.Compare)
	if missing == 0 && len(others) > 0 {
		others = others[:len(others)-1] // a router that has just restarted remembers least, so it is the one to leave out
	}
	since := n.memoryCompleteSince()
	if last := len(others) - 1; last >= 0 && others[last].After(since) {
		since = others[last]
	}
	return since, missing == 0 || missing == 1 && !since.After(n.wall)
}

// checkWallClock resets the time since which this router claims to remember permissions if its wall clock has
// drifted from its monotonic clock.
func (n *Node) checkWallClock() {
	drift := n.wall.Sub(n.memorySince) - (n.now - n.memorySinceMono)
	if n.memorySince.IsZero() || drift.Abs() > keys.DefaultClockError {
		n.memorySince, n.memorySinceMono, n.listChanged = n.wall, n.now, n.wall
	}
}

// memoryCompleteSince returns the time since which this router remembers its part in all permissions and knows
// all routers that had a part in them.
func (n *Node) memoryCompleteSince() time.Time {
	if settled := n.listChanged.Add(member.DefaultListLag); settled.After(n.memorySince) {
		return settled
	}
	return n.memorySince
}
