package node

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

const (
	// askAgainPeriod is the time between two questions of a key that has no home.
	askAgainPeriod = 50 * time.Millisecond
	// earlyCloseTime is how long a close is kept that fits no record, longer than a slot's new home waits for records.
	earlyCloseTime = 3 * time.Second
	// earlyCloses is how many of them are kept of a slot.
	earlyCloses = 64
	// earlyBody is the longest body of an answer that is kept with them, in bytes.
	earlyBody = 4 << 10
)

// keyName is a team's idempotency key.
type keyName struct {
	team, key string
}

// keyOpening is a question to a key's home that waits for its answer.
type keyOpening struct {
	ask   uint64
	open  fleet.KeyOpen
	home  string
	until time.Duration
	again time.Duration // when to ask again

	witness string // router that keeps a copy of a permission from the own home
	era     uint64 // of the hold by which the own home gave it
}

func (n *Node) openKey(a *KeyAsk) {
	n.askHome(keyOpening{ask: a.Ask, open: a.Open, until: n.now + fleet.KeyRunLifetime})
}

// askHome asks the home that this router's view names now, under a new ticket.
func (n *Node) askHome(o keyOpening) {
	n.ticket++
	o.open.Ticket = n.ticket
	o.home = n.members.Holder(keys.Duty(keys.Slot(o.open.Team, o.open.Key)))
	switch o.home {
	case "":
		n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonNoMajority})
	case n.Start.Self:
		n.askSelf(o)
	default:
		n.opens[n.ticket] = o
		n.send(o.home, fleet.Message{KeyOpen: &o.open})
	}
}

// openHere asks the own home, which must hold the key's slot at this very time.
func (n *Node) openHere(from string, o fleet.KeyOpen) fleet.KeyAnswer {
	n.holdSlot(keys.Slot(o.Team, o.Key))
	return n.home.Open(n.now, n.wall, from, o)
}

// answerOpen takes a home's answer.
func (n *Node) answerOpen(a fleet.KeyAnswer, from string) {
	o, found := n.opens[a.Ticket]
	if !found || o.home != from {
		n.count("keys.lateAnswer")
		return
	}
	delete(n.opens, a.Ticket)
	if n.now >= o.until {
		n.takeBack(o)
		return
	}
	n.reply(o, a)
}

func (n *Node) reply(o keyOpening, a fleet.KeyAnswer) {
	if a.Verdict == fleet.KeyRefused && a.Reason == fleet.ReasonNoMajority && n.now+askAgainPeriod < o.until {
		o.again = n.now + askAgainPeriod // nothing was recorded, so it may be asked again
		n.deferred = append(n.deferred, o)
		return
	}
	if a.Verdict == fleet.KeyRun && o.home != n.Start.Self && !n.home.Copy(n.now, n.recordOf(o)) {
		n.sendClose(o.home, closeOf(o, fleet.KeyRefused))
		a = fleet.KeyAnswer{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonOutcomeUnknown}
	}
	if a.Verdict == fleet.KeyRun {
		n.opened[keyName{o.open.Team, o.open.Key}] = o
	}
	n.do(Effect{Key: &KeyReply{Ask: o.ask, Answer: a}})
}

// askAgain asks anew for the keys that had no home, when it is time or when the own view has changed.
func (n *Node) askAgain(all bool) {
	due := 0
	for due < len(n.deferred) && (all || n.now >= n.deferred[due].again) {
		due++
	}
	asked := slices.Clone(n.deferred[:due])
	n.deferred = slices.Delete(n.deferred, 0, due)
	for _, o := range asked {
		n.count("keys.askedAgain")
		n.askHome(o)
	}
}

// expireOpens refuses what a home has not answered in time.
func (n *Node) expireOpens() {
	var late []uint64
	for ticket, o := range n.opens {
		if n.now >= o.until {
			late = append(late, ticket)
		}
	}
	slices.Sort(late)
	for _, ticket := range late {
		o := n.opens[ticket]
		delete(n.opens, ticket)
		n.takeBack(o)
	}
}

// takeBack refuses a question that got no answer in time and tells the home that nothing was sent.
func (n *Node) takeBack(o keyOpening) {
	n.withdraw(o)
	n.reply(o, fleet.KeyAnswer{Reason: fleet.ReasonKeyHomeUnreachable})
}

// closeKey tells how a key's request ended to the home that permitted it, and to the present one, which may have its records.
func (n *Node) closeKey(c fleet.KeyClose) {
	name := keyName{c.Team, c.Key}
	o, found := n.opened[name]
	if !found {
		return
	}
	delete(n.opened, name)
	c.Ticket = o.open.Ticket
	n.sendClose(o.home, c)
	if o.home != n.Start.Self {
		n.home.Close(n.now, n.Start.Self, c) // the own copy
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
		n.closeHere(n.Start.Self, c)
		return
	}
	n.send(home, fleet.Message{KeyClose: &c})
}

// closeHere closes a key at the own home, and passes the close on to the router that took over its record.
func (n *Node) closeHere(from string, c fleet.KeyClose) {
	if c.Router == "" {
		c.Router = from
	}
	slot := keys.Slot(c.Team, c.Key)
	if !n.home.Close(n.now, c.Router, c) {
		n.keepClose(slot, c)
		return
	}
	if next := n.holds[slot].next; next != "" {
		n.send(next, fleet.Message{KeyClose: &c})
	}
}

// earlyClose is a close that came before the record that it belongs to.
type earlyClose struct {
	at   time.Duration
	fits fleet.KeyClose
}

// keepClose keeps a close for a while that fits no record: the record may be in a handover or an answer that is not taken yet.
func (n *Node) keepClose(slot int, c fleet.KeyClose) {
	if len(n.early[slot]) >= earlyCloses {
		return
	}
	if len(c.Answer.Body) > earlyBody {
		c.Answer.Body, c.Answer.Truncated = nil, true
	}
	n.early[slot] = append(n.early[slot], earlyClose{at: n.now, fits: c})
}

// dropEarly lets go of closes whose records did not come.
func (n *Node) dropEarly() {
	for slot := range n.early {
		n.early[slot] = slices.DeleteFunc(n.early[slot], func(e earlyClose) bool { return n.now-e.at > earlyCloseTime })
	}
}

// closeEarly closes what was taken over and had ended before.
func (n *Node) closeEarly(slot int) {
	for _, e := range n.early[slot] {
		n.home.Close(n.now, e.fits.Router, e.fits)
	}
	n.early[slot] = nil
}

// holdKeys tells the home which key slots a majority lends it now.
func (n *Node) holdKeys() {
	for slot := range keys.Slots {
		n.holdSlot(slot)
	}
	n.home.Tick(n.now, n.wall)
	n.dropArrivals()
	n.dropEarly()
}
