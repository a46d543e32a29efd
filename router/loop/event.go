package loop

import (
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
	"mangolug.org/router/wire"
)

// event is one thing that the loop handles; exactly one field is set.
type event struct {
	admit    *admission
	leave    *departure
	finish   *finish
	keyOpen  *keyOpening
	keyClose *fleet.KeyClose
	received *received
	linked   *linked
	offer    *offer
	list     *list
	asked    *asked
	load     *load
	status   *statusQuery
	team     *teamQuery
}

// admission is a request that waits, with the channel that its verdict goes to.
type admission struct {
	request entry.Request
	verdict chan entry.Verdict // has room for one
}

// departure tells that a request's caller went away; done is closed once it waits no more.
type departure struct {
	request string
	done    chan struct{}
}

// finish is the end of an attempt, or its cost so far.
type finish struct {
	cell     fleet.Cell
	done     fleet.Done
	progress bool
}

// received is a message from a peer.
type received struct {
	from    string
	message *wire.Message
}

// linked tells that a stream to a peer was opened.
type linked struct {
	peer string
}

// offer is a version of the rule file from the platform.
type offer struct {
	version uint64
	text    []byte
}

// asked tells that the platform was asked for the rules for the first time.
type asked struct{}

// list is the platform's list of VMs.
type list struct {
	vms []fleet.VM
}

// load is a backend server's report, or the failure to get one.
type load struct {
	cell   fleet.Cell
	report fleet.Load
	failed bool
}

// statusQuery asks for the router's status.
type statusQuery struct {
	reply chan *report.Status // has room for one
}

// teamQuery asks how a team fares here.
type teamQuery struct {
	team  string
	reply chan *report.TeamExplanation // has room for one
}

// handle changes the state by one event; its effects are sent by the next pass.
func (l *Loop) handle(now time.Duration, e event) {
	switch {
	case e.admit != nil:
		l.admit(now, *e.admit)
	case e.leave != nil:
		l.Room.Leave(now, e.leave.request)
		delete(l.waiting, e.leave.request)
		close(e.leave.done)
	case e.finish != nil:
		l.finish(now, e.finish)
	case e.keyOpen != nil:
		l.openKey(now, *e.keyOpen)
	case e.keyClose != nil:
		l.closeKey(now, *e.keyClose)
	case e.received != nil:
		l.receive(now, e.received.from, e.received.message)
	case e.linked != nil:
		l.Room.Linked(now, e.linked.peer)
	case e.offer != nil:
		l.takeOffer(now, e.offer.version, e.offer.text, "platform")
	case e.asked != nil:
		l.keeper.AskedPlatform()
	case e.list != nil:
		l.takeList(now, e.list.vms)
	case e.load != nil:
		l.takeLoad(now, e.load)
	case e.status != nil:
		e.status.reply <- l.report(now)
	case e.team != nil:
		e.team.reply <- l.explainTeam(now, e.team.team)
	}
}
