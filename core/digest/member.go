package digest

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// minGossipPeriod is the time between two gossip rounds in a small fleet. gossipPeriodPerMember is added for each
	// member, so that the traffic stays bounded: the list sent in a round grows with the fleet.
	minGossipPeriod       = 500 * time.Millisecond
	gossipPeriodPerMember = 8 * time.Millisecond
	// lostRounds is the number of rounds that an update may take beyond the doublings that reach all members.
	lostRounds = 4
	// restartBeats is an increase of a counter that shows a restart. A restarted process begins at the time of day in
	// milliseconds, whereas ticks alone take minutes to add as much.
	restartBeats = 2000
	// forgetFactor times lostAfter is how long a lost member is remembered, so that old gossip does not bring it back.
	forgetFactor = 4
	// maxEnded bounds the routers that are remembered although they ended, and endedTTL is how long they are if there are more.
	maxEnded, endedTTL = 4096, 10 * time.Minute
)

// gossipPeriod returns the time between two gossip rounds.
func (f *Fleet) gossipPeriod() time.Duration {
	return minGossipPeriod + time.Duration(len(f.members))*gossipPeriodPerMember
}

// lostAfter returns the time without an increase of its counter after which a member is considered lost. An update reaches
// all members in about as many rounds as it takes to double from one member to all.
func (f *Fleet) lostAfter() time.Duration {
	return f.gossipPeriod() * time.Duration(lostRounds+bits.Len(uint(len(f.members)+1)))
}

// Member is a router as described by gossip.
type Member struct {
	Address    string // address for datagrams, ip:port
	DataCentre string
	Beat       uint64 // heartbeat counter, which increases while the router lives
}

// member is a Member with the time at which this router last saw its counter increase.
type member struct {
	Member
	seenAt    time.Duration
	startedAt time.Duration // when this router learned that it had started
}

// mergeMembers merges gossiped members into the known ones.
func (f *Fleet) mergeMembers(now time.Duration, gossiped []Member) {
	for _, t := range gossiped {
		if t.Address == f.Address {
			f.counter = max(f.counter, t.Beat) // an earlier incarnation of this router started with a later clock
			continue
		}
		if t.Address == "" {
			continue
		}
		m := f.members[t.Address]
		if m == nil {
			m = &member{startedAt: now}
			f.members[t.Address] = m
			f.memberAdded = true
			f.started = append(f.started, t.Address)
		}
		if t.Beat > m.Beat {
			if t.Beat-m.Beat > restartBeats {
				delete(f.avoided, t.Address) // the member restarted
				if m.Beat > 0 {
					m.startedAt = now
					f.started = append(f.started, t.Address)
				}
			}
			m.Member, m.seenAt = t, now
		}
	}
}

// prune removes members that have been lost for long enough.
func (f *Fleet) prune(now time.Duration) {
	for address, m := range f.members {
		if now-m.seenAt > forgetFactor*f.lostAfter() {
			delete(f.members, address)
			delete(f.peerPositions, address)
			f.ended[address] = m.seenAt
		}
	}
	if len(f.ended) > maxEnded {
		maps.DeleteFunc(f.ended, func(_ string, seenAt time.Duration) bool { return now-seenAt > endedTTL })
	}
	if len(f.ended) > maxEnded {
		clear(f.ended)
	}
}

// live reports whether a member's counter increased within lostAfter.
func (f *Fleet) live(now time.Duration, m *member) bool { return now-m.seenAt <= f.lostAfter() }

// Live returns the sorted addresses of the other live routers.
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

// StartedWithin returns the live routers that, as far as this one knows, have started within some time.
func (f *Fleet) StartedWithin(now, window time.Duration) []string {
	var list []string
	for address, m := range f.members {
		if now-m.startedAt <= window && f.live(now, m) {
			list = append(list, address)
		}
	}
	return list
}

// SeenWithin returns the other routers that have been live within some time, also those that ended.
func (f *Fleet) SeenWithin(now, window time.Duration) []string {
	var list []string
	for address, m := range f.members {
		if now-m.seenAt <= window+f.lostAfter() {
			list = append(list, address)
		}
	}
	for address, seenAt := range f.ended {
		if f.members[address] == nil && now-seenAt <= window+f.lostAfter() {
			list = append(list, address)
		}
	}
	return list
}

// LostSince reports whether a router that is no longer live was last seen after some time.
func (f *Fleet) LostSince(now, since time.Duration) bool {
	for _, m := range f.members {
		if m.seenAt > since && !f.live(now, m) {
			return true
		}
	}
	for address, seenAt := range f.ended {
		if f.members[address] == nil && seenAt > since {
			return true
		}
	}
	return false
}

// SpreadTime returns how long after its start all other routers know a router, in all likelihood.
func (f *Fleet) SpreadTime() time.Duration { return f.lostAfter() }

// TakeStarted returns the routers that were found to have started since the last call.
func (f *Fleet) TakeStarted() []string {
	started := f.started
	f.started = nil
	return started
}

// Size returns the number of live routers, including this one.
func (f *Fleet) Size(now time.Duration) int {
	n := 1
	for _, m := range f.members {
		if f.live(now, m) {
			n++
		}
	}
	return n
}

// CentreSize returns the number of live routers in this router's data centre, including this one.
func (f *Fleet) CentreSize(now time.Duration) int { return 1 + f.liveIn(now, f.DataCentre) }

// gossip returns all live members, this router first.
func (f *Fleet) gossip(now time.Duration) []Member {
	list := []Member{{Address: f.Address, DataCentre: f.DataCentre, Beat: f.counter}}
	for _, m := range f.members {
		if f.live(now, m) {
			list = append(list, m.Member)
		}
	}
	return list
}

// relayOf returns the relay of a data centre: the lowest address among its live members that this router does not avoid.
func (f *Fleet) relayOf(now time.Duration, dataCentre string) string {
	best := ""
	if dataCentre == f.DataCentre {
		best = f.Address
	}
	for address, m := range f.members {
		if m.DataCentre != dataCentre || !f.live(now, m) || f.isAvoided(now, m) {
			continue
		}
		if best == "" || address < best {
			best = address
		}
	}
	return best
}

// isAvoided reports whether a member is avoided because it did not answer recently.
func (f *Fleet) isAvoided(now time.Duration, m *member) bool { return now < f.avoided[m.Address] }

// dataCentres returns the sorted data centres of all live members and of this router.
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
