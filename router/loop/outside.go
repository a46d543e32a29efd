package loop

import (
	"context"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
	"mangolug.org/core/report"
)

// Receive takes a message from a peer.
func (l *Loop) Receive(from string, m *fleet.Message) {
	l.post(input{event: node.Event{Received: &node.Received{From: from, Message: *m}}})
}

// Linked takes the news that a stream to a peer was opened.
func (l *Loop) Linked(peer string) {
	l.post(input{event: node.Event{Linked: &node.Linked{Peer: peer}}})
}

// Refused takes the news that a peer's VM refused a connection.
func (l *Loop) Refused(peer string) {
	l.post(input{event: node.Event{Refused: &node.Refused{Peer: peer}}})
}

// Offer takes a version of the rule file from the platform.
func (l *Loop) Offer(version uint64, text []byte) {
	l.post(input{event: node.Event{Offer: &node.Offer{Version: version, Text: text}}})
}

// List takes the platform's list of VMs.
func (l *Loop) List(vms []fleet.VM) {
	l.post(input{event: node.Event{List: &node.List{VMs: vms}}})
}

// Asked takes the news that the platform was asked for the rules and has answered or failed to.
func (l *Loop) Asked() {
	l.post(input{event: node.Event{Asked: &node.Asked{}}})
}

// Newest gives the highest version already decided here.
func (l *Loop) Newest() uint64 { return l.newest.Load() }

// Reader says whether this router is one of those that watch the platform.
func (l *Loop) Reader() bool { return l.reader.Load() }

// Urgent says whether this router schedules a cell and so needs the list of VMs at once.
func (l *Loop) Urgent() bool { return l.urgent.Load() }

// FleetSize counts the listed routers.
func (l *Loop) FleetSize() int { return int(l.size.Load()) }

// Status gives the router's status.
func (l *Loop) Status(ctx context.Context) (*report.Status, error) {
	var s *report.Status
	err := l.query(ctx, func(n *node.Node) { s = n.Report() })
	if err != nil {
		return nil, err
	}
	s.ControlBytes = l.counter("control.bytesSent").Count()
	return s, nil
}

// Team says how a team fares here.
func (l *Loop) Team(ctx context.Context, team string) (*report.TeamExplanation, error) {
	var t *report.TeamExplanation
	err := l.query(ctx, func(n *node.Node) { t = n.Team(team) })
	return t, err
}

// query calls a function with the control state between two steps.
func (l *Loop) query(ctx context.Context, ask func(*node.Node)) error {
	done := make(chan struct{})
	if !l.post(input{query: ask, done: done}) {
		return errEnded
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		return errEnded
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "ask the control loop")
	}
}
