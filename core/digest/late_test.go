package digest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// lateNet delivers each message after a random delay, so that messages overtake each other, and some of them twice.
type lateNet struct {
	*net
	queue []lateMessage
}

type lateMessage struct {
	due time.Duration
	Outgoing
}

func (n *lateNet) post(now time.Duration, out []Outgoing) {
	for _, o := range out {
		for copies := 1 + n.random.IntN(5)/4; copies > 0; copies-- {
			n.queue = append(n.queue, lateMessage{now + time.Duration(n.random.Int64N(int64(400*time.Millisecond))), o})
		}
	}
}

func (n *lateNet) step(now time.Duration) {
	for _, address := range slices.Sorted(maps.Keys(n.fleets)) {
		if f := n.fleets[address]; now >= n.next[address] {
			n.post(now, f.Tick(now, n.own[address]))
			n.next[address] = now + f.Period(now)
		}
	}
	var later []lateMessage
	queue := n.queue
	n.queue = nil
	for _, m := range queue {
		if m.due > now {
			later = append(later, m)
		} else if f := n.fleets[m.To]; f != nil {
			n.post(now, f.Receive(now, m.Message))
		}
	}
	n.queue = append(n.queue, later...)
}

func revisions(changes []Change) (list []int64) {
	for _, c := range changes {
		list = append(list, c.Revision)
	}
	return list
}

// TestLateUpdates guards against an update that arrives late, twice or before an earlier one, and makes a router skip a change,
// apply one again or go back to an older revision, also where the platform gives revisions out again.
func TestLateUpdates(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := &lateNet{net: newNet(3, 2, seed)}
			random := rand.New(rand.NewPCG(seed, 2))
			var history []Change // of the era in force
			between := func(from, to Position) (list []Change) {
				for _, c := range history {
					if c.Revision > from.Revision && c.Revision <= to.Revision {
						list = append(list, c)
					}
				}
				return list
			}
			platform := Position{Era: 1, Revision: 1}
			position := map[string]Position{} // of each router's view; zero if it has read nothing
			addresses := slices.Sorted(maps.Keys(n.fleets))
			fromPeers := 0
			for now := 5 * time.Millisecond; now < 6*time.Second; now += 5 * time.Millisecond {
				if random.IntN(20) == 0 {
					platform.Revision += 1 + random.Int64N(3)
					history = append(history, Change{Key: fmt.Sprint("k", random.IntN(4)), Value: make([]byte, random.IntN(9000)), Revision: platform.Revision})
				}
				if random.IntN(300) == 0 { // the platform comes back from a copy, and gives its revisions out again
					platform, history = Position{platform.Era + 1, max(1, platform.Revision-1-random.Int64N(8))}, nil
				}
				n.step(now)
				address := addresses[random.IntN(len(addresses))]
				f, from := n.fleets[address], position[address]
				switch changes, to, ok := f.Since(from); {
				case from == Position{}, random.IntN(500) == 0: // at the start, and after lost history
					f.ObservePlatform(now, Position{}, platform, nil)
					position[address] = platform
				case ok && from.Before(to):
					if to.Era != from.Era || platform.Before(to) {
						t.Fatalf("%v: %s goes from %v to %v of %v", now, address, from, to, platform)
					}
					if want, got := revisions(between(from, to)), revisions(changes); to.Era == platform.Era && !slices.Equal(want, got) {
						t.Fatalf("%v: %s goes from %v to %v of %v by %v, want %v", now, address, from, to, platform, got, want)
					}
					position[address] = to
					fromPeers += len(changes)
				case from.Era < f.Position.Era:
					f.ObservePlatform(now, Position{}, platform, nil)
					position[address] = platform
				case from.Era == platform.Era && random.IntN(50) == 0:
					f.ObservePlatform(now, from, platform, between(from, platform))
					position[address] = platform
				case from.Era < platform.Era && random.IntN(50) == 0:
					f.ObservePlatform(now, Position{}, platform, nil)
					position[address] = platform
				}
			}
			if fromPeers < 50 {
				t.Errorf("only %d changes came from peers", fromPeers)
			}
		})
	}
}
