package digest

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// timedNet is a net of routers with evidence on the speeds of servers.
type timedNet struct {
	*net
	older map[string]bool              // routers of the previous version, which know no timings
	known map[string]map[uint32]Timing // by router: the newest timings of the others
	sends map[string]map[string]int    // by sender and receiver: number of messages with timings
	first map[string]time.Duration     // when a router first knew any
}

func newTimedNet(perCentre, centres int) *timedNet {
	n := &timedNet{
		net: newNet(perCentre, centres, 3), older: map[string]bool{}, known: map[string]map[uint32]Timing{},
		sends: map[string]map[string]int{}, first: map[string]time.Duration{},
	}
	id := int64(0)
	for _, address := range slices.Sorted(maps.Keys(n.own)) {
		id++
		own := n.own[address]
		own.Timings = map[uint32]Timing{1: {Expected: id, Measured: 2 * id}, uint32(100 + id): {Expected: 7, Measured: 9}}
		n.own[address] = own
		n.sends[address] = map[string]int{}
	}
	return n
}

func (n *timedNet) run(from, to time.Duration) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for _, address := range slices.Sorted(maps.Keys(n.fleets)) {
			f := n.fleets[address]
			if n.down[address] || now < n.next[address] {
				continue
			}
			own := n.own[address]
			if n.older[address] {
				own = own.withoutTimings()
			}
			n.post(now, address, f.Tick(now, own))
			if others, known := f.Others(now); known && len(others.Timings) > 0 {
				n.known[address] = others.Timings
				if n.first[address] == 0 {
					n.first[address] = now
				}
			}
			n.next[address] = now + f.Period(now)
		}
	}
}

func (n *timedNet) post(now time.Duration, from string, out []Outgoing) {
	for _, o := range out {
		for _, s := range []**Sum{&o.Message.Part, &o.Message.Centre, &o.Message.Others} {
			if *s == nil {
				continue
			}
			if len((*s).Timings) > 0 {
				n.sends[from][o.To]++
			}
			if n.older[from] || n.older[o.To] {
				stripped := (*s).withoutTimings()
				*s = &stripped
			}
		}
		if t := n.fleets[o.To]; t != nil && !n.down[o.To] {
			n.post(now, o.To, t.Receive(now, o.Message))
		}
	}
}

// knowsAll reports whether a router knows the timings of all others.
func (n *timedNet) knowsAll(t *testing.T, address string) {
	t.Helper()
	var want Sum
	for other, own := range n.own {
		if other != address {
			want.Add(own)
		}
	}
	got := maps.Clone(n.known[address])
	maps.DeleteFunc(got, func(_ uint32, e Timing) bool { return e == Timing{} })
	if d := cmp.Diff(want.Timings, got); d != "" {
		t.Errorf("%s: %s", address, d)
	}
}

// TestTimingsReachAll guards against evidence on speeds that is lost or counted twice on its way, and against messages that carry it each
// period.
func TestTimingsReachAll(t *testing.T) {
	for name, size := range map[string]struct{ near, centres int }{"nine": {3, 3}, "one data centre": {9, 1}, "88": {22, 4}} {
		t.Run(name, func(t *testing.T) {
			n := newTimedNet(size.near, size.centres)
			n.run(0, 10*time.Second)
			for address := range n.fleets {
				n.knowsAll(t, address)
				clear(n.sends[address])
			}
			const seconds = 10
			n.run(10*time.Second, (10+seconds)*time.Second)
			for from, sends := range n.sends {
				for to, k := range sends {
					if k > seconds+1 {
						t.Errorf("%s sent %s %d messages with timings in %d s", from, to, k, seconds)
					}
				}
			}
		})
	}
}

// TestRestartLearnsTimings guards against a restarted router that takes all servers for equally fast for long.
func TestRestartLearnsTimings(t *testing.T) {
	for _, address := range []string{"c2-1", "c0-0"} { // the second is a relay
		n := newTimedNet(9, 3)
		n.run(0, 10*time.Second)
		delete(n.first, address)
		n.restart(10*time.Second, []string{address})
		n.run(10*time.Second, 14*time.Second)
		if at := n.first[address]; at == 0 || at > 12500*time.Millisecond {
			t.Errorf("%s, restarted at 10 s, first knows timings at %v", address, at)
		}
		n.knowsAll(t, address)
	}
}

// TestTimingsBesideOlderRouters guards against loads that are lost when a relay of the previous version ignores the timings, and against
// timings that outlive their source.
func TestTimingsBesideOlderRouters(t *testing.T) {
	n := newTimedNet(3, 3)
	n.run(0, 10*time.Second)
	n.older["c0-0"] = true
	for address := range n.own {
		n.own[address] = n.own[address].withoutTimings()
	}
	n.run(10*time.Second, 25*time.Second)
	n.check(t, 25*time.Second)
	clear(n.known)
	n.run(25*time.Second, 30*time.Second)
	if len(n.known) > 0 {
		t.Errorf("%d routers still tell of timings of 15 s ago", len(n.known))
	}
}
