package member

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"mangolug.org/core/fleet"
)

// TestOneHolderWhileListsDiffer changes several routers on the list at once. Each router receives the new list at a different time.
func TestOneHolderWhileListsDiffer(t *testing.T) {
	for seed := range uint64(6) {
		d := newDriver(t, seed, 7)
		d.run(3 * time.Second)
		for range 30 {
			shuffled := d.names()
			d.r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			shuffled = shuffled[:2+d.r.IntN(len(shuffled)-1)]
			if d.r.IntN(2) == 0 {
				d.partition(d.cut)
			} else {
				clear(d.cut)
			}
			receivers := slices.Clone(d.nodes)
			d.r.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
			for _, n := range receivers {
				n.members.UpdateList(d.clock(n), d.vms(shuffled...))
				d.run(time.Duration(d.r.Int64N(int64(600 * time.Millisecond))))
			}
		}
		d.requireNoViolation()
		for _, n := range d.nodes {
			n.members.UpdateList(d.clock(n), d.vms(d.names()...))
		}
		d.heal()
		d.await("converged", 20*time.Second, d.converged)
	}
}

// TestCarriedListsThatDiffer starts some routers with empty state and a newer list than the others have, for every possible
// partition. At most one holder is guaranteed while the lists differ by one router; with larger differences two are possible.
func TestCarriedListsThatDiffer(t *testing.T) {
	all := []string{"r1", "r2", "r3", "r4", "r5", "r6"}
	tests := map[string]struct {
		older, newer []string
		unsafe       bool // some partition has two holders
	}{
		"same":                  {older: all, newer: all},
		"one more":              {older: all[:5], newer: all},
		"one less":              {older: all, newer: all[:5]},
		"one more, even":        {older: all[:4], newer: all[:5]},
		"one less, even":        {older: all[:5], newer: all[1:5]},
		"one replaced":          {older: all[:5], newer: all[1:], unsafe: true},
		"two replaced":          {older: all[:4], newer: all[2:], unsafe: true},
		"two more at both ends": {older: all[1:5], newer: all},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			faults := 0
			for split := range 1 << len(all) {
				if d := startSplit(t, split, tt.older, tt.newer); d.violation != "" {
					faults++
					if !tt.unsafe {
						t.Errorf("split %06b: %s", split, d.violation)
					}
				}
			}
			if tt.unsafe && faults == 0 {
				t.Error("no partition has two holders, so the test cannot detect them for the lists that are expected to be safe")
			}
		})
	}
}

// startSplit partitions the fleet. Routers whose bit is set in split start with empty state and the newer list.
func startSplit(t *testing.T, split int, older, newer []string) *driver {
	d := newDriver(t, uint64(split), 6)
	in := func(i int) bool { return split&(1<<i) != 0 }
	for i, n := range d.nodes {
		n.members = &Members{Self: n.name, DataCentre: "lahore", Incarnation: n.incarnation}
		list := older
		if in(i) {
			list = newer
		}
		n.members.UpdateList(0, d.vms(list...))
		for j, o := range d.nodes {
			if in(i) != in(j) {
				d.cut[[2]string{n.name, o.name}] = true
			}
		}
	}
	d.run(1500 * time.Millisecond)
	return d
}

func TestList(t *testing.T) {
	router := func(name string) fleet.VM { return fleet.VM{Name: name, Router: true, DataCentre: "clew"} }
	tests := map[string]struct {
		lists    [][]fleet.VM
		after    time.Duration
		want     []string
		listed   int
		majority bool
	}{
		"none yet":                  {},
		"alone":                     {lists: [][]fleet.VM{{router("a")}}, want: []string{"a"}, listed: 1, majority: true},
		"twice on the list":         {lists: [][]fleet.VM{{router("a"), router("a")}}, want: []string{"a"}, listed: 1, majority: true},
		"not on the list":           {lists: [][]fleet.VM{{router("b")}}, listed: 1},
		"backend servers only":      {lists: [][]fleet.VM{{router("a")}, {{Name: "stain-1"}}}, want: []string{"a"}, listed: 1, majority: true},
		"short list not yet in use": {lists: [][]fleet.VM{{router("a"), router("b")}, {router("a")}}, want: []string{"a"}, listed: 2},
		"short list in use": {
			lists: [][]fleet.VM{{router("a"), router("b")}, {router("a")}}, after: DefaultListLag + time.Second,
			want: []string{"a"}, listed: 1, majority: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := Members{Self: "a", DataCentre: "clew"}
			now := time.Second
			for _, l := range tt.lists {
				m.UpdateList(now, l)
				now += time.Millisecond
			}
			now += tt.after
			m.Tick(now)
			_, listed := m.Lenders(now, "x/0")
			if diff := cmp.Diff(tt.want, m.Live()); diff != "" || listed != tt.listed || m.Majority(now) != tt.majority {
				t.Errorf("listed %d, majority %v, live: %s", listed, m.Majority(now), diff)
			}
		})
	}
}

func TestLeavingRouterLendsButHoldsNothing(t *testing.T) {
	d := newDriver(t, 1, 5)
	d.await("converged", 3*time.Second, d.converged)
	lost := d.holder(duties[0])
	vms := d.vms(d.names()...)
	for i := range vms {
		if vms[i].Name == lost {
			vms[i].State = fleet.VMLeaving
		}
	}
	for _, n := range d.nodes {
		n.members.UpdateList(d.clock(n), vms)
	}
	d.await("taken over", 2*time.Second, func() bool { return d.holder(duties[0]) != "" && d.holder(duties[0]) != lost })
	d.run(2 * time.Second)
	holder := d.node(d.holder(duties[0]))
	lenders, listed := holder.members.Lenders(d.clock(holder), duties[0])
	if len(lenders) != 5 || listed != 5 {
		t.Errorf("lenders %v of %d, want all 5", lenders, listed)
	}
}

func TestReaders(t *testing.T) {
	d := newDriver(t, 2, 5)
	d.await("converged", 3*time.Second, d.converged)
	readers := func() []string {
		var names []string
		for _, n := range d.nodes {
			if !n.dead && n.members.Reader(d.clock(n)) {
				names = append(names, n.name)
			}
		}
		return names
	}
	first := readers()
	if len(first) != ReadersPerDataCentre {
		t.Fatalf("readers %v", first)
	}
	for _, n := range d.nodes {
		want := slices.DeleteFunc(slices.Clone(first), func(name string) bool { return name == n.name })
		if got := slices.Sorted(slices.Values(n.members.Readers(d.clock(n)))); !slices.Equal(got, want) {
			t.Errorf("%s returns the readers %v, want %v", n.name, got, want)
		}
	}
	d.node(first[0]).dead = true
	d.await("replaced", 2*time.Second, func() bool { return len(readers()) == ReadersPerDataCentre })
}
