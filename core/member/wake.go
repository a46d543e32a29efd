package member

import "time"

// Wall compares the wall clock with the monotonic one, before each step; when they part, the VM slept or its clock was set, and all leases are distrusted.
func (m *Members) Wall(now, wall time.Duration) {
	offset := wall - now
	if m.wallKnown && (offset-m.wallOffset).Abs() > wallJump {
		m.Woke(now)
	}
	m.wallKnown, m.wallOffset = true, offset
}

// Woke distrusts all that was heard before now: the own view's age begins again, and no router counts as lending until it echoes a stamp made after now.
func (m *Members) Woke(now time.Duration) {
	m.step(now)
	m.woke, m.wokeEver = now, true
	m.oldestStamp = m.Clock(now)
	if n := len(m.views); n > 0 {
		m.views = history{{view: m.views[n-1].view, since: now, begin: m.Clock(now)}}
		m.historyFrom, m.sole = now, false
	}
	for _, p := range m.peers {
		p.echo = 0
		if p.live { // its silence was this router's
			p.heard, p.confirmed = now, max(now, time.Millisecond)
		}
	}
	m.lastTick = max(m.lastTick, now)
}

// Wake gives the time of the last wake, false if there was none.
func (m *Members) Wake() (time.Duration, bool) { return m.woke, m.wokeEver }

// silence is how long a peer has not been heard.
func (p *peer) silence(now time.Duration) time.Duration {
	if !p.heardEver {
		return now
	}
	return max(0, now-p.heard)
}
