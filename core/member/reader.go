package member

import (
	"cmp"
	"slices"
	"time"

	"mangolug.org/core/report"
)

// ReadersPerDataCentre is how many routers in each data centre watch the platform's configuration.
const ReadersPerDataCentre = 2

// readerSeed ranks routers as readers.
var readerSeed = hashText("platform reader")

// Reader reports whether this router should watch the platform: it ranks among the first live routers of its data centre, or knows of none.
func (m *Members) Reader(now time.Duration) bool {
	m.step(now)
	if !m.isListed(m.Self) {
		return true
	}
	own := readerScore(m.Self)
	before := 0
	for _, name := range m.Live() {
		if name != m.Self && m.mayRead(name) && m.vms[name].DataCentre == m.DataCentre && readerScore(name) > own {
			before++
		}
	}
	return before < ReadersPerDataCentre
}

// Readers gives the other routers that should watch the platform as far as this one knows, ascending by data centre and rank.
func (m *Members) Readers(now time.Duration) []string {
	m.step(now)
	live := slices.DeleteFunc(m.Live(), func(name string) bool { return !m.mayRead(name) })
	slices.SortFunc(live, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.vms[a].DataCentre, m.vms[b].DataCentre), cmp.Compare(readerScore(b), readerScore(a)))
	})
	var readers []string
	rank, dataCentre := 0, ""
	for _, name := range live {
		if rank++; m.vms[name].DataCentre != dataCentre {
			rank, dataCentre = 0, m.vms[name].DataCentre
		}
		if rank < ReadersPerDataCentre && name != m.Self {
			readers = append(readers, name)
		}
	}
	return readers
}

// mayRead says whether a live router takes the duty of a reader.
func (m *Members) mayRead(name string) bool { return name == m.Self || !m.peers[name].draining }

func readerScore(name string) uint64 { return score(readerSeed, Hash(name)) }

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
