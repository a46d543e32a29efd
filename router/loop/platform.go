package loop

import (
	"context"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
	"mangolug.org/core/report"
)

// Receive handles a message from a peer.
func (l *Loop) Receive(from string, m *fleet.Message) {
	l.post(input{event: node.Event{Received: &node.Received{From: from, Message: *m}}})
}

// PeerConnected reports that a stream to a peer was opened.
func (l *Loop) PeerConnected(peer string) {
	l.post(input{event: node.Event{PeerConnected: &node.PeerConnected{Peer: peer}}})
}

// PeerRefused reports that a peer's VM refused a connection.
func (l *Loop) PeerRefused(peer string) {
	l.post(input{event: node.Event{PeerRefused: &node.PeerRefused{Peer: peer}}})
}

// OfferConfig passes on a version of the configuration from the platform.
func (l *Loop) OfferConfig(version uint64, text []byte) {
	l.post(input{event: node.Event{Offer: &node.Offer{Version: version, Text: text}}})
}

// SetVMList passes on the platform's list of VMs.
func (l *Loop) SetVMList(vms []fleet.VM) {
	l.post(input{event: node.Event{VMList: &node.VMList{VMs: vms}}})
}

// ConfigPolled reports that the platform was asked for the configuration and has answered or failed to.
func (l *Loop) ConfigPolled() {
	l.post(input{event: node.Event{ConfigPolled: &node.ConfigPolled{}}})
}

// NewestVersion returns the highest configuration version decided on by this router.
func (l *Loop) NewestVersion() uint64 { return l.newest.Load() }

// ReadsPlatform reports whether this router is one of those that poll the platform.
func (l *Loop) ReadsPlatform() bool { return l.reader.Load() }

// NeedsVMListNow reports whether this router schedules a cell and so needs the list of VMs at once.
func (l *Loop) NeedsVMListNow() bool { return l.urgent.Load() }

// FleetSize returns the number of listed routers.
func (l *Loop) FleetSize() int { return int(l.size.Load()) }

// Status returns the router's status.
func (l *Loop) Status(ctx context.Context) (*report.Status, error) {
	var s *report.Status
	err := l.query(ctx, func(n *node.Node) { s = n.Status() })
	if err != nil {
		return nil, err
	}
	s.ControlBytes = l.counter("control.bytesSent").Count()
	return s, nil
}

// ExplainTeam explains the state of a team at this router.
func (l *Loop) ExplainTeam(ctx context.Context, team string) (*report.TeamExplanation, error) {
	var t *report.TeamExplanation
	err := l.query(ctx, func(n *node.Node) { t = n.ExplainTeam(team) })
	return t, err
}

// query calls a function with the control state between two steps, and waits until it has returned.
func (l *Loop) query(ctx context.Context, read func(*node.Node)) error {
	done := make(chan struct{})
	if !l.post(input{query: read, done: done}) {
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
