package loop

import (
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

// input is an event, with the channel that its answer goes to, or a query.
type input struct {
	event   node.Event
	verdict chan entry.Verdict   // of an admission; has room for one
	answer  chan fleet.KeyAnswer // of a key's question; has room for one
	left    chan struct{}        // of a departure; closed when the request waits no more
	query   func(*node.Node)     // called between two steps
	done    chan struct{}        // of a query; closed when it was answered
}

// register notes who waits for an event's answer.
func (l *Loop) register(i *input) {
	switch {
	case i.verdict != nil:
		l.waiting[i.event.Admit.ID] = i.verdict
	case i.answer != nil:
		l.asked[i.event.KeyOpen.Ask] = i.answer
	}
}

// settle answers what needs no effect to be answered.
func (l *Loop) settle(i *input) {
	switch {
	case i.left != nil:
		delete(l.waiting, i.event.Leave.Request)
		close(i.left)
	case i.query != nil:
		i.query(&l.state)
		close(i.done)
	}
}
