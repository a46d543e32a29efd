package member

import (
	"time"

	"mangolug.org/core/report"
)

// ReadersPerDataCentre is how many routers in each data centre watch the platform's configuration.
const ReadersPerDataCentre = 2

// readerDuty is the name under which routers are ranked as readers.
const readerDuty = "platform reader"

// Reader reports whether this router should watch the platform: it ranks among the first live routers of its data centre, or knows of none.
func (m *Members) Reader(now time.Duration) bool {
	m.step(now)
	if !m.isListed(m.Self) {
		return true
	}
	seed := hashText(readerDuty)
	own := score(seed, Hash(m.Self))
	before := 0
	for _, name := range m.Live() {
		if name == m.Self || m.vms[name].DataCentre != m.DataCentre || m.peers[name].draining {
			continue
		}
		if score(seed, Hash(name)) > own {
			before++
		}
	}
	return before < ReadersPerDataCentre
}

// Peers gives the listed routers for the status report, ascending by name.
func (m *Members) Peers(now time.Duration) []report.Peer {
	peers := make([]report.Peer, 0, len(m.listed()))
	for _, name := range m.listed() {
		v := m.vms[name]
		r := report.Peer{Name: name, Admin: v.Admin, DataCentre: v.DataCentre}
		if p, found := m.peers[name]; found {
			r.Live, r.Draining, r.ConfigVersion = p.live, p.draining, p.version
			r.SilentMillis = p.silence(now).Milliseconds()
		}
		if name == m.Self {
			r.Live, r.Draining, r.ConfigVersion = true, m.draining, m.ConfigVersion
		}
		peers = append(peers, r)
	}
	return peers
}
