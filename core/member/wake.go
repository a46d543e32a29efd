package member

import "time"

// CheckWallClock compares the wall clock with the monotonic clock and must be called before each step. If they diverge, the VM slept or its
// clock was set, and CheckWallClock invalidates all leases by ObserveWake.
func (m *Members) CheckWallClock(now, wall time.Duration) {
	offset := wall - now
	if m.wallKnown && (offset-m.wallOffset).Abs() > wallJump {
		m.ObserveWake(now)
	}
	m.wallKnown, m.wallOffset = true, offset
}

// ObserveWake invalidates everything received before now. The age of the own view restarts, and no router counts as lender until it
// echoes a stamp made after now.
func (m *Members) ObserveWake(now time.Duration) {
	m.expireLists(now)
	m.wokeAt, m.everWoke = now, true
	m.minimumEcho = m.Clock(now)
	if n := len(m.views); n > 0 {
		m.views = history{{view: m.views[n-1].view, since: now, begin: m.Clock(now)}}
		m.historyStart, m.exclusive = now, false
	}
	for _, p := range m.peers {
		p.echo = 0
		if p.live { // the gap in its heartbeats was caused by this router's sleep
			p.lastHeard, p.lastConfirmed = now, max(now, time.Millisecond)
		}
	}
	m.lastTick = max(m.lastTick, now)
}

// LastWake returns the time of the last wake, or false if there was none.
func (m *Members) LastWake() (time.Duration, bool) { return m.wokeAt, m.everWoke }

// silence returns the time since the peer's newest heartbeat.
func (p *peer) silence(now time.Duration) time.Duration {
	if !p.everHeard {
		return now
	}
	return max(0, now-p.lastHeard)
}
