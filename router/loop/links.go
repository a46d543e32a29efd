package loop

import (
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/router/wire"
)

// Receive takes a message from a peer.
func (l *Loop) Receive(from string, m *wire.Message) {
	l.post(event{received: &received{from: from, message: m}})
}

// Linked takes the news that a stream to a peer was opened.
func (l *Loop) Linked(peer string) {
	l.post(event{linked: &linked{peer: peer}})
}

// send stamps a message and queues it for a peer.
func (l *Loop) send(now time.Duration, to string, m *wire.Message) {
	m.Incarnation = l.Incarnation
	m.Stamp = l.members.Clock(now)
	m.Echo, m.Echoed = l.members.Echo(to), l.seen[to]
	l.Send(to, m)
}

// receive handles one message; those of an earlier incarnation or from a VM that is not listed are dropped.
func (l *Loop) receive(now time.Duration, from string, m *wire.Message) {
	if _, listed := l.listed[from]; !listed {
		l.counter("peers.notListed").Inc(1)
		return
	}
	if !l.sameOrNewer(now, from, m.Incarnation) {
		l.counter("peers.oldIncarnation").Inc(1)
		return
	}
	echo := m.Echo
	if m.Echoed != l.Incarnation {
		echo = 0
	}
	switch {
	case m.Heartbeat != nil:
		l.members.Receive(now, from, uint64(m.Incarnation), m.Stamp, echo, *m.Heartbeat)
		l.keeper.Heard(now, from, m.Heartbeat.ConfigVersion)
		for _, c := range l.cells {
			c.scheduler.Heard(now, from, m.Stamp)
		}
	case m.Demand != nil:
		c := l.ensureCell(now, m.Demand.Cell)
		c.asked = now
		c.scheduler.Take(now, from, l.listed[from].DataCentre, m.Stamp, *m.Demand)
	case m.Grants != nil:
		l.deliver(l.Room.Grants(now, from, l.members.Clock(now), *m.Grants))
	case m.KeyOpen != nil:
		answer := l.openHere(now, from, *m.KeyOpen)
		l.send(now, from, &wire.Message{KeyAnswer: &answer})
	case m.KeyAnswer != nil:
		l.answerOpen(*m.KeyAnswer, from)
	case m.KeyClose != nil:
		l.home.Close(now, *m.KeyClose)
	case m.ConfigAsk != nil:
		l.answerConfig(now, from, m.ConfigAsk.After)
	case m.ConfigText != nil:
		l.takeOffer(now, m.ConfigText.Version, m.ConfigText.Text, from)
	}
}

// sameOrNewer notes a peer's incarnation; a new one forgets what the earlier one asked for.
func (l *Loop) sameOrNewer(now time.Duration, from string, incarnation uint32) bool {
	last, known := l.seen[from]
	if known && last == incarnation {
		return true
	}
	if known && int32(incarnation-last) < 0 {
		return false
	}
	l.seen[from] = incarnation
	if known {
		for _, c := range l.cells {
			c.scheduler.Forget(now, from)
		}
	}
	return true
}

// beat sends the heartbeats that are due.
func (l *Loop) beat(now time.Duration) {
	for _, b := range l.members.Tick(now) {
		l.send(now, b.To, &wire.Message{Heartbeat: &b.Heartbeat})
	}
}

// takeList applies the platform's list of VMs.
func (l *Loop) takeList(now time.Duration, vms []fleet.VM) {
	addresses := map[string]string{}
	listed := map[string]fleet.VM{}
	leaving := map[string]bool{}
	for _, v := range vms {
		switch {
		case v.Router:
			listed[v.Name] = v
			if v.Name != l.Self {
				addresses[v.Name] = v.Address
			}
		case v.State == fleet.VMLeaving:
			leaving[v.Name] = true
		}
	}
	for name := range l.listed {
		if _, still := listed[name]; !still {
			l.keeper.Gone(name)
			for _, c := range l.cells {
				c.scheduler.Forget(now, name)
			}
		}
	}
	l.listed, l.leaving = listed, leaving
	l.members.List(now, vms)
	l.SetPeers(addresses)
	l.configureCells(now)
}
