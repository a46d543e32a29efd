package loop

import (
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

// input is an event with the channel for its answer, or a query.
type input struct {
	event     node.Event
	verdict   chan entry.Verdict   // of an Admit event; buffered, with room for one
	answer    chan fleet.KeyAnswer // of a KeyOpen event; buffered, with room for one
	cancelled chan struct{}        // of a Leave event; closed once the request no longer waits
	query     func(*node.Node)     // called between two steps
	done      chan struct{}        // of a query; closed once the query has returned
}

// register records the channel that waits for the event's answer.
func (l *Loop) register(i *input) {
	switch {
	case i.verdict != nil:
		l.admissions[i.event.Admit.ID] = i.verdict
	case i.answer != nil:
		l.keyRequests[i.event.KeyOpen.ID] = i.answer
	}
}

// complete answers the inputs that need no effect, after the step that handled them.
func (l *Loop) complete(i *input) {
	switch {
	case i.cancelled != nil:
		delete(l.admissions, i.event.Cancel.Request)
		close(i.cancelled)
	case i.query != nil:
		i.query(&l.state)
		close(i.done)
	}
}
