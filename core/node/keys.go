package node

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

// askAgainPeriod is the time between two questions of a key that has no home.
const askAgainPeriod = 50 * time.Millisecond

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
		n.reply(o, n.openHere(n.Start.Self, o.open))
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
	n.send(o.home, fleet.Message{KeyClose: &fleet.KeyClose{
		Ticket: o.open.Ticket, Team: o.open.Team, Key: o.open.Key, Outcome: fleet.KeyRefused,
	}})
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
	changed := n.home.Close(n.now, c.Router, c)
	next := n.holds[keys.Slot(c.Team, c.Key)].next
	if changed && next != "" {
		n.send(next, fleet.Message{KeyClose: &c})
	}
}

// holdKeys tells the home which key slots a majority lends it now.
func (n *Node) holdKeys() {
	for slot := range keys.Slots {
		n.holdSlot(slot)
	}
	n.home.Tick(n.now, n.wall)
	n.dropArrivals()
}
