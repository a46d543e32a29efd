package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// Lenders returns the listed routers whose leased views name this router for a duty, in ascending order, and the number of routers
// on the current list and on those replaced within ListLag.
func (m *Members) Lenders(now time.Duration, duty string) (lenders []string, listed int) {
	m.expireLists(now)
	r := ranking{seed: hashText(duty)}
	self := Hash(m.Self)
	for _, name := range m.listed() {
		views, sole := m.views, m.exclusive
		if name != m.Self {
			p := m.peers[name]
			if !m.leaseValid(now, p) {
				continue
			}
			views, sole = p.views, false
		}
		since, ok := views.namedSince(&r, self)
		if ok && (m.ignoreAge || sole || now-since >= lendAge) {
			lenders = append(lenders, name)
		}
	}
	return lenders, m.recentlyListed()
}

// Holds reports whether this router is the only holder of a duty: a majority of each recent list are its lenders.
func (m *Members) Holds(now time.Duration, duty string) bool {
	_, holds := m.Loans(now, duty)
	return holds
}

// Majority reports whether this router exchanged heartbeats with a majority of the listed routers, itself included, within ViewLease.
func (m *Members) Majority(now time.Duration) bool {
	m.expireLists(now)
	var reached []string
	for _, name := range m.listed() {
		if name == m.Self || m.leaseValid(now, m.peers[name]) {
			reached = append(reached, name)
		}
	}
	return m.isMajority(reached)
}

// leaseValid reports whether the lease of a peer's newest heartbeat is valid: the stamp that it echoed is younger than ViewLease.
func (m *Members) leaseValid(now time.Duration, p *peer) bool {
	return p.echo > 0 && now < time.Duration(p.echo)*time.Millisecond+fleet.ViewLease
}

// isMajority reports whether the routers are more than half of the current list and of each list replaced within ListLag.
func (m *Members) isMajority(routers []string) bool {
	for _, l := range m.lists {
		count := 0
		for _, name := range routers {
			if _, found := slices.BinarySearch(l.names, name); found {
				count++
			}
		}
		if 2*count <= len(l.names) {
			return false
		}
	}
	return len(m.lists) > 0
}

// recentlyListed returns the number of routers on the current list and on those replaced within ListLag.
func (m *Members) recentlyListed() int {
	if len(m.lists) == 1 {
		return len(m.lists[0].names)
	}
	names := map[string]bool{}
	for _, l := range m.lists {
		for _, name := range l.names {
			names[name] = true
		}
	}
	return len(names)
}
