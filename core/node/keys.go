package node

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
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
}

func (n *Node) openKey(a *KeyAsk) {
	n.ticket++
	o := keyOpening{ask: a.Ask, open: a.Open, until: n.now + fleet.KeyRunLifetime}
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
	if a.Verdict == fleet.KeyRun {
		n.opened[keyName{o.open.Team, o.open.Key}] = o
	}
	n.do(Effect{Key: &KeyReply{Ask: o.ask, Answer: a}})
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

func (n *Node) closeKey(c fleet.KeyClose) {
	name := keyName{c.Team, c.Key}
	o, found := n.opened[name]
	if !found {
		return
	}
	delete(n.opened, name)
	c.Ticket = o.open.Ticket
	if o.home == n.Start.Self {
		n.home.Close(n.now, n.Start.Self, c)
		return
	}
	n.send(o.home, fleet.Message{KeyClose: &c})
}

// holdKeys tells the home which key slots a majority lends it now.
func (n *Node) holdKeys() {
	for slot := range keys.Slots {
		n.holdSlot(slot)
	}
	n.home.Tick(n.now, n.wall)
}

func (n *Node) holdSlot(slot int) {
	n.home.Hold(n.now, slot, n.members.Holds(n.now, keys.Duty(slot)), n.wall)
}
