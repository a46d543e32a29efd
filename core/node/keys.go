package node

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

const (
	// openRetryPeriod is the time between two attempts to open a key that has no home.
	openRetryPeriod = 50 * time.Millisecond
	// earlyCloseLifetime is how long a close without a matching record is kept. It is longer than a slot's new home
	// waits for records.
	earlyCloseLifetime = 3 * time.Second
	// maxEarlyCloses is how many of these are kept for each slot.
	maxEarlyCloses = 64
	// maxEarlyBody is the largest answer body that is kept with them, in bytes.
	maxEarlyBody = 4 << 10
)

// keyName is a team's idempotency key.
type keyName struct {
	team, key string
}

// pendingOpen is a request to a key's home that has not been answered yet.
type pendingOpen struct {
	requestID uint64
	open      fleet.KeyOpen
	home      string
	deadline  time.Duration
	retryAt   time.Duration // for a deferred request

	witness string // router that keeps a copy of a permission granted by this router as the home
	hold    uint64 // number of the hold under which this router granted it
}

func (n *Node) openKey(a *KeyRequest) {
	n.sendOpen(pendingOpen{requestID: a.ID, open: a.Open, deadline: n.now + fleet.KeyRunLifetime})
}

// sendOpen asks the home that this router's view names now, under a new ticket.
func (n *Node) sendOpen(o pendingOpen) {
	n.lastTicket++
	o.open.Ticket = n.lastTicket
	o.home = n.members.Holder(keys.Duty(keys.Slot(o.open.Team, o.open.Key)))
	switch o.home {
	case "":
		n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonNoMajority})
	case n.Start.Self:
		n.openAsHome(o)
	default:
		n.pendingOpens[n.lastTicket] = o
		n.send(o.home, fleet.Message{KeyOpen: &o.open})
	}
}

// openLocally asks this router as the home. It must hold the key's slot at this moment.
func (n *Node) openLocally(from string, o fleet.KeyOpen) fleet.KeyAnswer {
	n.updateHold(keys.Slot(o.Team, o.Key))
	return n.home.Open(n.now, n.wall, from, o)
}

// receiveKeyAnswer handles the answer of a key's home.
func (n *Node) receiveKeyAnswer(a fleet.KeyAnswer, from string) {
	o, found := n.pendingOpens[a.Ticket]
	if !found || o.home != from {
		n.count("keys.lateAnswer")
		return
	}
	delete(n.pendingOpens, a.Ticket)
	if n.now >= o.deadline {
		n.timeOutOpen(o)
		return
	}
	n.reply(o, a)
}

func (n *Node) reply(o pendingOpen, a fleet.KeyAnswer) {
	if a.Verdict == fleet.KeyRefused && a.Reason == fleet.ReasonNoMajority && n.now+openRetryPeriod < o.deadline {
		o.retryAt = n.now + openRetryPeriod // nothing was recorded, so it is safe to retry
		n.deferred = append(n.deferred, o)
		return
	}
	if a.Verdict == fleet.KeyRun && o.home != n.Start.Self && !n.home.RecordCopy(n.now, n.newKeyRecord(o)) {
		n.sendClose(o.home, newKeyClose(o, fleet.KeyRefused))
		a = fleet.KeyAnswer{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonOutcomeUnknown}
	}
	if a.Verdict == fleet.KeyRun {
		n.permitted[keyName{o.open.Team, o.open.Key}] = o
	}
	n.emit(Effect{Key: &KeyReply{ID: o.requestID, Answer: a}})
}

// retryDeferred retries the keys that had no home once their time has come, or all of them if this router's view
// has changed.
func (n *Node) retryDeferred(all bool) {
	due := 0
	for due < len(n.deferred) && (all || n.now >= n.deferred[due].retryAt) {
		due++
	}
	retries := slices.Clone(n.deferred[:due])
	n.deferred = slices.Delete(n.deferred, 0, due)
	for _, o := range retries {
		n.count("keys.askedAgain")
		n.sendOpen(o)
	}
}

// expirePendingOpens refuses requests that a home has not answered in time.
func (n *Node) expirePendingOpens() {
	var late []uint64
	for ticket, o := range n.pendingOpens {
		if n.now >= o.deadline {
			late = append(late, ticket)
		}
	}
	slices.Sort(late)
	for _, ticket := range late {
		o := n.pendingOpens[ticket]
		delete(n.pendingOpens, ticket)
		n.timeOutOpen(o)
	}
}

// timeOutOpen refuses a request that got no answer in time, and tells the home that nothing was sent.
func (n *Node) timeOutOpen(o pendingOpen) {
	n.withdraw(o)
	n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonKeyHomeUnreachable})
}

// closeKey reports the end of a key's request to the home that permitted it, and to the present home, which may
// have taken over its record.
func (n *Node) closeKey(c fleet.KeyClose) {
	name := keyName{c.Team, c.Key}
	o, found := n.permitted[name]
	if !found {
		return
	}
	delete(n.permitted, name)
	c.Ticket = o.open.Ticket
	n.sendClose(o.home, c)
	if o.home != n.Start.Self {
		n.home.Close(n.now, n.Start.Self, c) // this router's copy
	}
	if o.witness != "" {
		n.sendClose(o.witness, c)
	}
	if holder := n.members.Holder(keys.Duty(keys.Slot(c.Team, c.Key))); holder != o.home && holder != "" {
		n.sendClose(holder, c)
	}
}

func (n *Node) sendClose(home string, c fleet.KeyClose) {
	if home == n.Start.Self {
		n.closeLocally(n.Start.Self, c)
		return
	}
	n.send(home, fleet.Message{KeyClose: &c})
}

// closeLocally closes a key at this router's home, and forwards the close to the router that has taken over its
// record.
func (n *Node) closeLocally(from string, c fleet.KeyClose) {
	if c.Router == "" {
		c.Router = from
	}
	slot := keys.Slot(c.Team, c.Key)
	if !n.home.Close(n.now, c.Router, c) {
		n.keepEarlyClose(slot, c)
		return
	}
	if next := n.slotHolds[slot].successor; next != "" {
		n.send(next, fleet.Message{KeyClose: &c})
	}
}

// earlyClose is a close that arrived before its record.
type earlyClose struct {
	at      time.Duration
	request fleet.KeyClose
}

// keepEarlyClose keeps a close that matches no record for a while: the record may be in a handover or an answer
// that has not been applied yet.
func (n *Node) keepEarlyClose(slot int, c fleet.KeyClose) {
	if len(n.earlyCloses[slot]) >= maxEarlyCloses {
		return
	}
	if len(c.Answer.Body) > maxEarlyBody {
		c.Answer.Body, c.Answer.Truncated = nil, true
	}
	n.earlyCloses[slot] = append(n.earlyCloses[slot], earlyClose{at: n.now, request: c})
}

// expireEarlyCloses drops closes whose records have not arrived in time.
func (n *Node) expireEarlyCloses() {
	for slot := range n.earlyCloses {
		n.earlyCloses[slot] = slices.DeleteFunc(n.earlyCloses[slot], func(e earlyClose) bool { return n.now-e.at > earlyCloseLifetime })
	}
}

// applyEarlyCloses applies the closes of a slot that arrived before its records were inherited or recalled.
func (n *Node) applyEarlyCloses(slot int) {
	for _, e := range n.earlyCloses[slot] {
		n.home.Close(n.now, e.request.Router, e.request)
	}
	n.earlyCloses[slot] = nil
}

// updateHolds tells the home which key slots a majority lends it now.
func (n *Node) updateHolds() {
	for slot := range keys.Slots {
		n.updateHold(slot)
	}
	n.home.Tick(n.now, n.wall)
	n.expireHandovers()
	n.expireEarlyCloses()
}
