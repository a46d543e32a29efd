package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// Beat is a heartbeat to send. Its Stamp and Echo must reach the peer unchanged, as leases and the handover of duties depend on them.
type Beat struct {
	To        string
	Stamp     int64  // this router's clock in milliseconds when the heartbeat was made
	Echo      int64  // newest stamp received from the peer; 0 for none
	EchoOf    uint64 // the peer's incarnation that made the echoed stamp; any other one must treat Echo as 0
	Heartbeat fleet.Heartbeat
}

// Clock returns the stamp in milliseconds for a message made now.
func (m *Members) Clock(now time.Duration) int64 { return now.Milliseconds() }

// EchoOf returns the peer's incarnation that made the stamp returned by Echo.
func (m *Members) EchoOf(peer string) uint64 {
	if p, found := m.peers[peer]; found {
		return p.incarnation
	}
	return 0
}

// Echo returns the newest stamp received from a peer's present incarnation, or 0 if there is none.
func (m *Members) Echo(peer string) int64 {
	if p, found := m.peers[peer]; found {
		return p.stamp
	}
	return 0
}

// Receive processes a peer's heartbeat. The echo is the stamp of this incarnation that it echoes, or 0.
func (m *Members) Receive(now time.Duration, from string, incarnation uint64, stamp, echo int64, h fleet.Heartbeat) {
	m.expireLists(now)
	if from == m.Self || h.ViewAge < 0 {
		return
	}
	p := m.peer(from)
	if !p.everHeard || p.incarnation != incarnation {
		if p.everHeard && incarnation < p.incarnation && now-p.lastHeard <= fleet.PeerTimeout {
			return // a late message of an earlier incarnation
		}
		p.reset(now, incarnation)
	}
	if stamp < p.stamp {
		return
	}
	if echo > m.Clock(now) || echo < m.minimumEcho {
		echo = 0
	}
	view := m.intern(h.View)
	p.needsEcho = p.needsEcho || !slices.Equal(p.views.latest(), view)
	p.stamp, p.echo = stamp, echo
	p.views = p.views.observe(now, stamp, view, h.ViewAge)
	p.viewLog = p.viewLog.add(h.ViewSeq, view)
	p.draining, p.version = h.Draining, h.ConfigVersion
	p.lastHeard, p.everHeard, p.refused = now, true, false
	if echo > 0 {
		p.acked = max(p.acked, echo)
		p.lastConfirmed = max(p.lastConfirmed, time.Duration(echo)*time.Millisecond)
	}
}

// ObserveRefusal records that a peer's VM refused a connection. No process listens there, so the peer counts as lost before PeerTimeout
// has passed. Its successors in duties still wait for its leases to expire, as the refusal may come from a device in between.
func (m *Members) ObserveRefusal(now time.Duration, name string) {
	m.expireLists(now)
	if p, found := m.peers[name]; found && p.live {
		p.refused = true
	}
}

// reset clears the state of an earlier incarnation of the peer.
func (p *peer) reset(now time.Duration, incarnation uint64) {
	p.incarnation, p.started = incarnation, now
	p.stamp, p.echo, p.acked = 0, 0, 0
	p.views, p.viewLog = nil, nil
	p.everSent = false
	if p.draining { // it stopped as planned, so its return does not indicate a bad link
		p.live, p.everLive, p.returning, p.losses, p.lastConfirmed = false, false, false, 0, 0
	}
}

// ObserveConnection records that a stream to a peer was opened. Earlier messages to the peer may be lost, so a heartbeat to it is due at once.
func (m *Members) ObserveConnection(peer string) {
	if p, found := m.peers[peer]; found {
		p.everSent = false
	}
}

// Tick updates which peers are live and returns the heartbeats that are due. If the own view changes, each peer gets two: one that
// ends the old view and one with the new view.
func (m *Members) Tick(now time.Duration) []Beat {
	if m.ticked && now-m.lastTick > fleet.PeerTimeout {
		m.ObserveWake(now)
	}
	m.expireLists(now)
	m.ticked, m.lastTick = true, now
	m.removeUnlisted(now)
	for _, p := range m.peers {
		p.updateLiveness(now)
	}
	old := m.heartbeat(now)
	changed := m.updateView(now)
	urgent := m.becameExclusive(now) || m.advertisedVersion != m.ConfigVersion || m.advertisedDraining != m.draining
	m.advertisedVersion, m.advertisedDraining = m.ConfigVersion, m.draining
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
			ending.Stamp, ending.Heartbeat = beat.Stamp-1, old // so an echo of beat.Stamp proves receipt of the new view
			beats = append(beats, ending)
		}
		beats = append(beats, beat)
		p.lastSent, p.everSent, p.needsEcho = now, true, false
		m.lastStamp = beat.Stamp
	}
	return beats
}

// due reports whether it is time to send the peer a heartbeat.
func (p *peer) due(now time.Duration) bool {
	return !p.everSent || p.needsEcho || now-p.lastSent >= fleet.HeartbeatPeriod
}

// heartbeat returns the heartbeat that this router sends to its peers.
func (m *Members) heartbeat(now time.Duration) fleet.Heartbeat {
	h := fleet.Heartbeat{View: m.views.latest(), ConfigVersion: m.ConfigVersion, Draining: m.draining, ViewSeq: m.viewSeq}
	if n := len(m.views); n > 0 {
		age := now - m.views[n-1].since
		if m.exclusive {
			age = max(age, lendAge)
		}
		h.ViewAge = age.Milliseconds()
	}
	return h
}

// removeUnlisted drops routers that are not on the list and have not been heard for longer than the list lag.
func (m *Members) removeUnlisted(now time.Duration) {
	for name, p := range m.peers {
		if !m.isListed(name) && now-p.lastHeard > m.listLag() {
			delete(m.peers, name)
			delete(m.byHash, p.hash)
		}
	}
}

// updateLiveness decides whether a peer is live: its heartbeats arrive, and they confirm that this router's heartbeats reach it.
func (p *peer) updateLiveness(now time.Duration) {
	heard := p.everHeard && now-p.lastHeard <= fleet.PeerTimeout && !p.refused &&
		now-p.lastConfirmed <= fleet.PeerTimeout+fleet.HeartbeatPeriod && p.lastConfirmed > 0
	switch {
	case p.live && !heard:
		p.live, p.returning = false, false
		p.losses++
	case p.live:
		if now-p.liveSince > lossMemory {
			p.losses = 0
		}
	case !heard:
		p.returning = false
	default:
		if !p.returning {
			p.returning, p.returningSince = true, now
		}
		if !p.everLive || now-p.returningSince >= p.delay() {
			p.live, p.everLive, p.liveSince = true, true, now
		}
	}
}

// delay returns how long a lost peer must be heard without a gap before it is live again.
func (p *peer) delay() time.Duration {
	delay := rejoinDelay
	for range p.losses - 1 {
		delay = min(2*delay, rejoinDelayLimit)
	}
	return delay
}
