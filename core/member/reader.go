package member

import (
	"cmp"
	"slices"
	"time"

	"mangolug.org/core/report"
)

// ReadersPerDataCentre is the number of routers in each data centre that watch the platform's configuration.
const ReadersPerDataCentre = 2

// readerSeed is the hash of the reader duty, by which routers are ranked.
var readerSeed = hashText("platform reader")

// Reader reports whether this router should watch the platform: it is among the ReadersPerDataCentre highest-ranked live routers
// of its data centre, or it is not on the list.
func (m *Members) Reader(now time.Duration) bool {
	m.expireLists(now)
	if !m.isListed(m.Self) {
		return true
	}
	own := readerScore(m.Self)
	ahead := 0
	for _, name := range m.Live() {
		if name != m.Self && m.canRead(name) && m.vms[name].DataCentre == m.DataCentre && readerScore(name) > own {
			ahead++
		}
	}
	return ahead < ReadersPerDataCentre
}

// Readers returns the other routers that should watch the platform according to this router's state, ordered by data centre and rank.
func (m *Members) Readers(now time.Duration) []string {
	m.expireLists(now)
	live := slices.DeleteFunc(m.Live(), func(name string) bool { return !m.canRead(name) })
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

// canRead reports whether a live router may be a reader.
func (m *Members) canRead(name string) bool { return name == m.Self || !m.peers[name].draining }

func readerScore(name string) uint64 { return score(readerSeed, Hash(name)) }

// Peers returns the listed routers for the status report, ordered by name.
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
