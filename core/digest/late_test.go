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
// apply one again or go back to an older revision.
func TestLateUpdates(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := &lateNet{net: newNet(3, 2, seed)}
			random := rand.New(rand.NewPCG(seed, 2))
			var history []Change
			between := func(from, to int64) (list []Change) {
				for _, c := range history {
					if c.Revision > from && c.Revision <= to {
						list = append(list, c)
					}
				}
				return list
			}
			revision := int64(1)
			position := map[string]int64{} // revision of each router's view; 0 if it has read nothing
			addresses := slices.Sorted(maps.Keys(n.fleets))
			fromPeers := 0
			for now := 5 * time.Millisecond; now < 6*time.Second; now += 5 * time.Millisecond {
				if random.IntN(20) == 0 {
					revision += 1 + random.Int64N(3)
					history = append(history, Change{Key: fmt.Sprint("k", random.IntN(4)), Value: make([]byte, random.IntN(9000)), Revision: revision})
				}
				n.step(now)
				address := addresses[random.IntN(len(addresses))]
				f, at := n.fleets[address], position[address]
				switch changes, to, ok := f.Since(at); {
				case at == 0, random.IntN(500) == 0: // at the start, and after lost history
					f.ObservePlatform(now, 0, revision, nil)
					position[address] = revision
				case ok && to > at:
					if want, got := revisions(between(at, to)), revisions(changes); !slices.Equal(want, got) || to > revision {
						t.Fatalf("%v: %s goes from %d to %d of %d by %v, want %v", now, address, at, to, revision, got, want)
					}
					position[address] = to
					fromPeers += len(changes)
				case random.IntN(50) == 0:
					f.ObservePlatform(now, at, revision, between(at, revision))
					position[address] = revision
				}
			}
			if fromPeers < 50 {
				t.Errorf("only %d changes came from peers", fromPeers)
			}
		})
	}
}
