package digest

import (
	"slices"
	"time"
)

const (
	// lostAfter is how long a member's counter may stand still before it is taken as lost: several gossip rounds.
	lostAfter = 3 * time.Second
	// forgetAfter is how long a lost member is remembered, so that old gossip does not bring it back.
	forgetAfter = 20 * time.Second
)

// Member is a router as gossip tells of it.
type Member struct {
	Address    string // ip:port for datagrams
	DataCentre string
	Beat       uint64 // grows while it lives
}

// member is a Member with when its counter last grew here.
type member struct {
	Member
	heard time.Duration
}

// learn takes in what gossip tells of members.
func (f *Fleet) learn(now time.Duration, told []Member) {
	for _, t := range told {
		if t.Address == f.Address || t.Address == "" {
			continue
		}
		m := f.members[t.Address]
		if m == nil {
			m = &member{}
			f.members[t.Address] = m
		}
		if t.Beat > m.Beat {
			m.Member, m.heard = t, now
		}
	}
}

// prune forgets members that are long lost.
func (f *Fleet) prune(now time.Duration) {
	for address, m := range f.members {
		if now-m.heard > forgetAfter {
			delete(f.members, address)
		}
	}
}

// live reports whether a member's counter grew lately.
func (m *member) live(now time.Duration) bool { return now-m.heard <= lostAfter }

// Live gives the addresses of the other routers that live, in order.
func (f *Fleet) Live(now time.Duration) []string {
	var live []string
	for address, m := range f.members {
		if m.live(now) {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// gossip lists all members that live, this router first.
func (f *Fleet) gossip(now time.Duration) []Member {
	list := []Member{{Address: f.Address, DataCentre: f.DataCentre, Beat: f.beat}}
	for _, m := range f.members {
		if m.live(now) {
			list = append(list, m.Member)
		}
	}
	return list
}

// relayOf gives the relay of a data centre: the first of its live members that this router has no reason to avoid.
func (f *Fleet) relayOf(now time.Duration, dataCentre string) string {
	best := ""
	if dataCentre == f.DataCentre {
		best = f.Address
	}
	for address, m := range f.members {
		if m.DataCentre != dataCentre || !m.live(now) || now < f.avoided[address] {
			continue
		}
		if best == "" || address < best {
			best = address
		}
	}
	return best
}

// dataCentres gives the data centres of all live members.
func (f *Fleet) dataCentres(now time.Duration) []string {
	names := []string{f.DataCentre}
	for _, m := range f.members {
		if m.live(now) && !slices.Contains(names, m.DataCentre) {
			names = append(names, m.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}
