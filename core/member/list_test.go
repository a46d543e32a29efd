package member

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"mangolug.org/core/fleet"
)

// TestOneHolderWhileListsDiffer changes the list by several routers at once, and each router sees it at another time.
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
			late := slices.Clone(d.nodes)
			d.r.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
			for _, n := range late {
				n.members.List(d.clock(n), d.vms(shuffled...))
				d.run(time.Duration(d.r.Int64N(int64(600 * time.Millisecond))))
			}
		}
		d.mustHold()
		for _, n := range d.nodes {
			n.members.List(d.clock(n), d.vms(d.names()...))
		}
		d.heal()
		d.await("settled", 20*time.Second, d.settled)
	}
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
				m.List(now, l)
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
	d.await("settled", 3*time.Second, d.settled)
	lost := d.holder(duties[0])
	vms := d.vms(d.names()...)
	for i := range vms {
		if vms[i].Name == lost {
			vms[i].State = fleet.VMLeaving
		}
	}
	for _, n := range d.nodes {
		n.members.List(d.clock(n), vms)
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
	d.await("settled", 3*time.Second, d.settled)
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
	d.node(first[0]).dead = true
	d.await("replaced", 2*time.Second, func() bool { return len(readers()) == ReadersPerDataCentre })
}
