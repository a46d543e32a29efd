package digest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// net delivers messages between fleets in virtual time.
type net struct {
	fleets map[string]*Fleet
	down   map[string]bool
	own    map[string]Sum
	loss   float64
	random *rand.Rand
	sent   int
	next   map[string]time.Duration
}

func newNet(perCentre, centres int, seed uint64) *net {
	n := &net{
		fleets: map[string]*Fleet{}, down: map[string]bool{}, own: map[string]Sum{}, next: map[string]time.Duration{},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	var seeds []string
	for c := range centres {
		seeds = append(seeds, fmt.Sprintf("c%d-0", c))
	}
	id := int64(0)
	for c := range centres {
		for i := range perCentre {
			id++
			address := fmt.Sprintf("c%d-%d", c, i)
			n.fleets[address] = &Fleet{Address: address, DataCentre: fmt.Sprintf("c%d", c), Seeds: seeds, FirstBeat: 1000, Random: rand.New(rand.NewPCG(seed, uint64(id)))}
			n.own[address] = Sum{Routers: 1, Servers: map[uint32]Use{1: {Requests: id}, uint32(id): {Prefill: 10 * id}}, Teams: map[uint32]Rates{7: {Demand: id, Served: 2 * id}}}
		}
	}
	return n
}

// run simulates the time between from and to. Messages arrive immediately or are lost.
func (n *net) run(from, to time.Duration) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for _, address := range slices.Sorted(maps.Keys(n.fleets)) {
			f := n.fleets[address]
			if n.down[address] || now < n.next[address] {
				continue
			}
			n.deliver(now, f.Tick(now, n.own[address]))
			n.next[address] = now + f.Period(now)
		}
	}
}

// deliver delivers messages and the answers to them.
func (n *net) deliver(now time.Duration, out []Outgoing) {
	for _, o := range out {
		n.sent++
		if t := n.fleets[o.To]; t != nil && !n.down[o.To] && n.random.Float64() >= n.loss {
			n.deliver(now, t.Receive(now, o.Message))
		}
	}
}

// sumOfOthers returns the usage of all live routers but one.
func (n *net) sumOfOthers(address string) Sum {
	var s Sum
	for other, own := range n.own {
		if other != address && !n.down[other] {
			s.Add(own)
		}
	}
	return s
}

// check verifies that each live router knows the sum of all others.
func (n *net) check(t *testing.T, now time.Duration) {
	t.Helper()
	for address, f := range n.fleets {
		if n.down[address] {
			continue
		}
		got, known := f.Others(now)
		if !known {
			t.Errorf("%s does not know the sum of the others at %v", address, now)
			continue
		}
		dropZeros(&got)
		want := n.sumOfOthers(address)
		dropZeros(&want)
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s at %v: %s", address, now, d)
		}
	}
}

// dropZeros removes zero entries, which mean the same as missing ones.
func dropZeros(s *Sum) {
	s.Add(Sum{}) // replaces nil maps by empty ones
	for id, u := range s.Servers {
		if u == (Use{}) {
			delete(s.Servers, id)
		}
	}
	maps.DeleteFunc(s.Teams, func(_ uint32, r Rates) bool { return r == (Rates{}) })
}

func TestAllKnowTheSumOfTheOthers(t *testing.T) {
	for name, size := range map[string]struct{ near, centres int }{
		"one": {1, 1}, "nine": {3, 3}, "one data centre": {9, 1}, "88": {22, 4},
	} {
		t.Run(name, func(t *testing.T) {
			// In operation, traffic begins ten seconds or more after the routers start.
			n := newNet(size.near, size.centres, 1)
			n.run(0, 10*time.Second)
			n.check(t, 10*time.Second)
		})
	}
}

// Relays, whole data centres or all seeds are lost: the other routers know the correct sum again within four seconds.
func TestLostRelays(t *testing.T) {
	tests := map[string][]string{
		"one relay":                    {"c0-0"},
		"all relays, which are seeds":  {"c0-0", "c1-0", "c2-0"},
		"a data centre":                {"c1-0", "c1-1", "c1-2"},
		"a relay and the one after it": {"c0-0", "c0-1"},
	}
	for name, lost := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNet(3, 3, 2)
			n.run(0, 6*time.Second)
			for _, address := range lost {
				n.down[address] = true
			}
			n.run(6*time.Second, 10*time.Second)
			n.check(t, 10*time.Second)
		})
	}
}

// restart starts routers that were down with empty state.
func (n *net) restart(now time.Duration, addresses []string) {
	for i, address := range addresses {
		old := n.fleets[address]
		n.down[address], n.next[address] = false, now
		n.fleets[address] = &Fleet{
			Address: old.Address, DataCentre: old.DataCentre, Seeds: old.Seeds, FirstBeat: 900000, Random: rand.New(rand.NewPCG(uint64(i), 5)),
		}
	}
}

// Guards against sums that miss a part of the fleet permanently after relays were lost and came back. As a result, one team
// got a tenth of the throughput of another.
func TestRelaysThatComeBack(t *testing.T) {
	const settle, step = 2 * time.Second, 250 * time.Millisecond
	tests := map[string]struct {
		near, centres int
		lost          []string
	}{
		"a fifth of the fleet": {28, 3, []string{
			"c0-5", "c0-12", "c0-14", "c0-18", "c0-25", "c1-0", "c1-11", "c1-19", "c1-23", "c1-24", "c2-0", "c2-15", "c2-17", "c2-19", "c2-24", "c2-26", "c2-2", "c2-7",
		}},
		"one relay":                  {28, 3, []string{"c1-0"}},
		"all relays":                 {28, 3, []string{"c0-0", "c1-0", "c2-0"}},
		"a relay and its successors": {28, 3, []string{"c1-0", "c1-1", "c1-10", "c1-11"}},
		"relays of nine routers":     {3, 3, []string{"c0-0", "c1-0"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNet(test.near, test.centres, 7)
			for address := range n.fleets {
				n.next[address] = time.Duration(n.random.IntN(100)) * time.Millisecond
			}
			checkUntil := func(from, to time.Duration) {
				t.Helper()
				for at := from; at < to && !t.Failed(); at += step {
					n.run(at, at+step)
					n.check(t, at+step)
				}
			}
			n.run(0, 10*time.Second)
			for _, address := range test.lost {
				n.down[address] = true
			}
			n.run(10*time.Second, 10*time.Second+settle)
			checkUntil(10*time.Second+settle, 13*time.Second)
			n.restart(13*time.Second, test.lost)
			n.run(13*time.Second, 13*time.Second+settle)
			checkUntil(13*time.Second+settle, 25*time.Second)
		})
	}
}

// A restarted router that knows only the seeds discovers the others within a second.
func TestRestartJoinsWithinASecond(t *testing.T) {
	n := newNet(3, 3, 3)
	n.run(0, 6*time.Second)
	old := n.fleets["c2-1"]
	n.fleets["c2-1"] = &Fleet{Address: old.Address, DataCentre: old.DataCentre, Seeds: old.Seeds, FirstBeat: 900000}
	n.run(6*time.Second, 7*time.Second)
	n.check(t, 7*time.Second)
	if live := n.fleets["c2-1"].Live(7 * time.Second); len(live) != 8 {
		t.Errorf("live routers are %v, want 8", live)
	}
}

// With a tenth of the datagrams lost, no router's sum becomes stale.
func TestLostDatagrams(t *testing.T) {
	n := newNet(3, 3, 4)
	n.loss = 0.1
	n.run(0, 6*time.Second)
	for at := 6 * time.Second; at < 20*time.Second; at += time.Second {
		n.run(at, at+time.Second)
		for address, f := range n.fleets {
			if _, known := f.Others(at + time.Second); !known {
				t.Errorf("%s does not know the sum of the others at %v", address, at)
			}
		}
	}
}

// Guards against a restarted router that all others ignore because its counter starts below that of its earlier incarnation.
func TestRestartWithAClockSetBack(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after it was considered lost": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			n := newNet(3, 3, 9)
			n.run(0, 6*time.Second)
			old := n.fleets["c2-1"]
			n.down["c2-1"] = true
			now := 6*time.Second + down
			n.run(6*time.Second, now)
			n.down["c2-1"] = false
			n.fleets["c2-1"] = &Fleet{Address: old.Address, DataCentre: old.DataCentre, Seeds: old.Seeds, FirstBeat: 1}
			n.run(now, now+2*time.Second)
			n.check(t, now+2*time.Second)
			for address, f := range n.fleets {
				if live := f.Live(now + 2*time.Second); len(live) != 8 {
					t.Errorf("%s: live routers are %v, want 8", address, live)
				}
			}
		})
	}
}

// Sums of routers of the previous version, which do not send the number of routers covered, count as complete during a
// rolling update.
func TestSumsOfPreviousVersion(t *testing.T) {
	n := newNet(3, 3, 8)
	n.run(0, 6*time.Second)
	older := Sum{Teams: map[uint32]Rates{7: {Demand: 9}}}
	f := n.fleets["c0-0"]
	f.Receive(6*time.Second, Message{From: "c0-1", Part: &older})
	f.Receive(6*time.Second, Message{From: "c1-0", Centre: &older})
	f.Tick(6*time.Second, n.own["c0-0"])
	if got, _ := f.Others(6 * time.Second); got.Routers != 8 {
		t.Errorf("sum at a relay covers %d routers, want 8", got.Routers)
	}
	f = n.fleets["c0-2"]
	f.Receive(6*time.Second, Message{From: "c0-0", Others: &older})
	if got, _ := f.Others(6 * time.Second); got.Routers != 8 {
		t.Errorf("sum from a relay covers %d routers, want 8", got.Routers)
	}
}

// Sums of a silent relay expire.
func TestSumOfSilentRelayExpires(t *testing.T) {
	n := newNet(1, 2, 5)
	n.run(0, 6*time.Second)
	n.down["c1-0"] = true
	n.run(6*time.Second, 11*time.Second)
	got, known := n.fleets["c0-0"].Others(11 * time.Second)
	dropZeros(&got)
	if !known || len(got.Servers) != 0 {
		t.Errorf("known %t, %+v: want an empty sum", known, got)
	}
}

// The message rate per router does not grow with the number of routers in a data centre.
func TestMessagesGrowWithTheFleetOnly(t *testing.T) {
	per := func(near, centres int) float64 {
		n := newNet(near, centres, 6)
		n.run(0, 5*time.Second)
		n.sent = 0
		n.run(5*time.Second, 10*time.Second)
		return float64(n.sent) / 5 / float64(near*centres)
	}
	small, large := per(3, 3), per(30, 4)
	if large > small {
		t.Errorf("%.1f messages per router and second with 120 routers, %.1f with 9", large, small)
	}
}

// TestEndedRoutersAreRemembered guards against a router that takes itself for one that was told of a stream, since it forgot a router that was told in its place
// and ended (ORDER), and against one that never trusts its own records since it takes the last news of an ended router for a sign of its life (LOST).
func TestEndedRoutersAreRemembered(t *testing.T) {
	const down, asked = 10 * time.Second, 50 * time.Second
	n := newNet(3, 3, 8)
	n.run(0, down)
	n.down["c1-1"], n.down["c2-2"] = true, true
	n.run(down, asked)
	for address, f := range n.fleets {
		if n.down[address] {
			continue
		}
		if live := f.Live(asked); slices.Contains(live, "c1-1") || len(live) != 6 {
			t.Fatalf("%s: live routers are %v, want 6", address, live)
		}
		for window, want := range map[time.Duration]bool{time.Minute: true, 30 * time.Second: false} {
			if got := slices.Contains(f.SeenWithin(asked, window), "c1-1"); got != want {
				t.Errorf("%s: knows the router that ended 40 s ago within %v: %t, want %t", address, window, got, want)
			}
		}
		if !f.LostSince(asked, down-time.Second) {
			t.Errorf("%s: lost sight of no router since before the end of two", address)
		}
		if f.LostSince(asked, down+f.SpreadTime()) {
			t.Errorf("%s: lost sight of a router, long after the end of the only ones", address)
		}
	}
	n.down["c1-1"] = false
	n.run(asked, asked+5*time.Second)
	if got := n.fleets["c0-0"].SeenWithin(asked+5*time.Second, time.Minute); len(slices.Compact(slices.Sorted(slices.Values(got)))) != len(got) || len(got) != 8 {
		t.Errorf("routers seen after the return of one: %v, want 8", got)
	}
}
