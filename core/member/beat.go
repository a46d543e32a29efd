package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// Beat is a heartbeat to send; its Stamp and Echo must travel with it unchanged, as leases and the handing over of duties rest on them.
type Beat struct {
	To        string
	Stamp     int64  // this router's clock when the heartbeat was made, in milliseconds
	Echo      int64  // newest stamp received from the peer; 0 for none
	EchoOf    uint64 // the peer's incarnation that made the echoed stamp; another one takes the echo as 0
	Heartbeat fleet.Heartbeat
}

// Clock gives the stamp for a message made now, in milliseconds.
func (m *Members) Clock(now time.Duration) int64 { return now.Milliseconds() }

// EchoOf gives the peer's incarnation that made the stamp that Echo gives.
func (m *Members) EchoOf(peer string) uint64 {
	if p, found := m.peers[peer]; found {
		return p.incarnation
	}
	return 0
}

// Echo gives the newest stamp received from a peer's present incarnation, 0 for none.
func (m *Members) Echo(peer string) int64 {
	if p, found := m.peers[peer]; found {
		return p.stamp
	}
	return 0
}

// Receive takes a peer's heartbeat; echo is the stamp of this incarnation that it echoes, 0 for none.
func (m *Members) Receive(now time.Duration, from string, incarnation uint64, stamp, echo int64, h fleet.Heartbeat) {
	m.step(now)
	if from == m.Self || h.ViewAge < 0 {
		return
	}
	p := m.peer(from)
	if !p.heardEver || p.incarnation != incarnation {
		if p.heardEver && incarnation < p.incarnation && now-p.heard <= fleet.SilenceLimit {
			return // a late message of an incarnation that is gone
		}
		p.restart(now, incarnation)
	}
	if stamp < p.stamp {
		return
	}
	if echo > m.Clock(now) || echo < m.oldestStamp {
		echo = 0
	}
	view := m.intern(h.View)
	p.answer = p.answer || !slices.Equal(p.views.latest(), view)
	p.stamp, p.echo = stamp, echo
	p.views = p.views.take(now, stamp, view, h.ViewAge)
	p.trail = p.trail.add(h.ViewSeq, view)
	p.draining, p.version = h.Draining, h.ConfigVersion
	p.heard, p.heardEver, p.refused = now, true, false
	if echo > 0 {
		p.acked = max(p.acked, echo)
		p.confirmed = max(p.confirmed, time.Duration(echo)*time.Millisecond)
	}
}

// Refused notes that a peer's VM refused a connection: no process listens there, so the peer is lost without waiting for its
// silence. Its successors in duties wait for its leases all the same, as a refusal may come from what lies between.
func (m *Members) Refused(now time.Duration, name string) {
	m.step(now)
	if p, found := m.peers[name]; found && p.live {
		p.refused = true
	}
}

// restart forgets what an earlier incarnation of the peer said and took.
func (p *peer) restart(now time.Duration, incarnation uint64) {
	p.incarnation, p.begun = incarnation, now
	p.stamp, p.echo, p.acked = 0, 0, 0
	p.views, p.trail = nil, nil
	p.sentEver = false
	if p.draining { // it stopped as planned, so its return is no sign of a bad link
		p.live, p.liveEver, p.back, p.losses, p.confirmed = false, false, false, 0, 0
	}
}

// Linked tells that a stream to a peer was opened: what was sent to it before may be lost, so it gets a heartbeat at once.
func (m *Members) Linked(peer string) {
	if p, found := m.peers[peer]; found {
		p.sentEver = false
	}
}

// Tick judges who is live and gives the heartbeats that are due; when the own view changes, each peer is told the old one's end and the new one.
func (m *Members) Tick(now time.Duration) []Beat {
	if m.ticked && now-m.lastTick > fleet.SilenceLimit {
		m.Woke(now)
	}
	m.step(now)
	m.ticked, m.lastTick = true, now
	m.forget(now)
	for _, p := range m.peers {
		p.judge(now)
	}
	old := m.heartbeat(now)
	changed := m.renew(now)
	urgent := m.becameSole(now) || m.told != m.ConfigVersion || m.toldDrain != m.draining
	m.told, m.toldDrain = m.ConfigVersion, m.draining
	latest := m.heartbeat(now)
	var beats []Beat
	for _, name := range m.listed() {
		p, found := m.peers[name]
		if !found || name == m.Self || !changed && !urgent && !p.due(now) {
			continue
		}
		beat := Beat{To: name, Stamp: m.Clock(now), Echo: p.stamp, EchoOf: p.incarnation, Heartbeat: latest}
		if changed && len(m.views) > 1 {
			ending := beat
			ending.Stamp, ending.Heartbeat = beat.Stamp-1, old // an echo of beat.Stamp then proves the new view's receipt
			beats = append(beats, ending)
		}
		beats = append(beats, beat)
		p.sent, p.sentEver, p.answer = now, true, false
		m.lastStamp = beat.Stamp
	}
	return beats
}

// due reports whether the peer waits for a heartbeat.
func (p *peer) due(now time.Duration) bool {
	return !p.sentEver || p.answer || now-p.sent >= fleet.HeartbeatPeriod
}

// heartbeat gives what this router tells its peers.
func (m *Members) heartbeat(now time.Duration) fleet.Heartbeat {
	h := fleet.Heartbeat{View: m.views.latest(), ConfigVersion: m.ConfigVersion, Draining: m.draining, ViewSeq: m.viewSeq}
	if n := len(m.views); n > 0 {
		age := now - m.views[n-1].since
		if m.sole {
			age = max(age, lendAge)
		}
		h.ViewAge = age.Milliseconds()
	}
	return h
}

// forget drops routers that are off the list and silent.
func (m *Members) forget(now time.Duration) {
	for name, p := range m.peers {
		if !m.isListed(name) && now-p.heard > m.listLag() {
			delete(m.peers, name)
			delete(m.byHash, p.hash)
		}
	}
}

// judge decides whether a peer is live: it is heard, and it hears this router.
func (p *peer) judge(now time.Duration) {
	heard := p.heardEver && now-p.heard <= fleet.SilenceLimit && !p.refused &&
		now-p.confirmed <= fleet.SilenceLimit+fleet.HeartbeatPeriod && p.confirmed > 0
	switch {
	case p.live && !heard:
		p.live, p.back = false, false
		p.losses++
	case p.live:
		if now-p.liveSince > lossMemory {
			p.losses = 0
		}
	case !heard:
		p.back = false
	default:
		if !p.back {
			p.back, p.backSince = true, now
		}
		if !p.liveEver || now-p.backSince >= p.delay() {
			p.live, p.liveEver, p.liveSince = true, true, now
		}
	}
}

// delay is how long a lost peer must be heard before it is live again.
func (p *peer) delay() time.Duration {
	delay := rejoinDelay
	for range p.losses - 1 {
		delay = min(2*delay, rejoinDelayLimit)
	}
	return delay
}
