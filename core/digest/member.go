package digest

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// gossipLeast is the time between two rounds of gossip in a small fleet, and gossipMember by how much each member
	// lengthens it, so that the bytes of gossip stay bounded: a round's list grows with the fleet.
	gossipLeast  = 500 * time.Millisecond
	gossipMember = 8 * time.Millisecond
	// lostRounds is how many rounds news may take beyond the doublings that reach all members.
	lostRounds = 4
	// restartBeats is by how much a counter grows only with a new start, which begins at the time of day in milliseconds: ticks
	// alone need minutes for it.
	restartBeats = 2000
	// forgetFactor is for how many times that a lost member is remembered, so that old gossip does not bring it back.
	forgetFactor = 4
)

// gossipPeriod gives the time between two rounds of gossip.
func (f *Fleet) gossipPeriod() time.Duration {
	return gossipLeast + time.Duration(len(f.members))*gossipMember
}

// lostAfter gives how long a member's counter may stand still before it is taken as lost: news reach all members in about
// as many rounds as it takes to double from one to all.
func (f *Fleet) lostAfter() time.Duration {
	return f.gossipPeriod() * time.Duration(lostRounds+bits.Len(uint(len(f.members)+1)))
}

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
		if t.Address == f.Address {
			f.beat = max(f.beat, t.Beat) // an earlier start of this router began with a later clock
			continue
		}
		if t.Address == "" {
			continue
		}
		m := f.members[t.Address]
		if m == nil {
			m = &member{}
			f.members[t.Address] = m
			f.grew = true
		}
		if t.Beat > m.Beat {
			if t.Beat-m.Beat > restartBeats {
				delete(f.avoided, t.Address) // it started anew
			}
			m.Member, m.heard = t, now
		}
	}
}

// prune forgets members that are long lost.
func (f *Fleet) prune(now time.Duration) {
	for address, m := range f.members {
		if now-m.heard > forgetFactor*f.lostAfter() {
			delete(f.members, address)
			delete(f.reads, address)
		}
	}
}

// live reports whether a member's counter grew lately.
func (f *Fleet) live(now time.Duration, m *member) bool { return now-m.heard <= f.lostAfter() }

// Live gives the addresses of the other routers that live, in order.
func (f *Fleet) Live(now time.Duration) []string {
	var live []string
	for address, m := range f.members {
		if f.live(now, m) {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// Size gives how many routers live, this one included.
func (f *Fleet) Size(now time.Duration) int {
	n := 1
	for _, m := range f.members {
		if f.live(now, m) {
			n++
		}
	}
	return n
}

// gossip lists all members that live, this router first.
func (f *Fleet) gossip(now time.Duration) []Member {
	list := []Member{{Address: f.Address, DataCentre: f.DataCentre, Beat: f.beat}}
	for _, m := range f.members {
		if f.live(now, m) {
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
		if m.DataCentre != dataCentre || !f.live(now, m) || f.avoids(now, m) {
			continue
		}
		if best == "" || address < best {
			best = address
		}
	}
	return best
}

// avoids reports a router that gave no answer lately.
func (f *Fleet) avoids(now time.Duration, m *member) bool { return now < f.avoided[m.Address] }

// dataCentres gives the data centres of all live members.
func (f *Fleet) dataCentres(now time.Duration) []string {
	names := []string{f.DataCentre}
	for _, m := range f.members {
		if f.live(now, m) && !slices.Contains(names, m.DataCentre) {
			names = append(names, m.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}
