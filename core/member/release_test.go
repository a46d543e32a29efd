package member

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// TestRelease drains the router that another's view named before, and asks whether the next holder may count that view at once.
func TestRelease(t *testing.T) {
	const ms = time.Millisecond
	self, gone, other := Hash("self"), Hash("gone"), Hash("other")
	duty := dutyFor(t, gone, self, other)
	all, rest := []uint32{self, gone, other}, []uint32{self, other}
	tests := map[string]struct {
		drained fleet.Heartbeat
		at      time.Duration
		later   int64 // milliseconds from the release to the heartbeat with the other's new view
		want    bool
	}{
		"released":            {drained: fleet.Heartbeat{Draining: true, View: rest}, want: true},
		"released long ago":   {drained: fleet.Heartbeat{Draining: true, View: rest}, later: 900},
		"drains but may act":  {drained: fleet.Heartbeat{Draining: true, View: all}},
		"sees none":           {drained: fleet.Heartbeat{Draining: true}},
		"does not drain":      {drained: fleet.Heartbeat{View: rest}},
		"lease of other over": {drained: fleet.Heartbeat{Draining: true, View: rest}, at: 800 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := Members{Self: "self", Incarnation: 1}
			m.List(0, []fleet.VM{{Name: "self", Router: true}, {Name: "gone", Router: true}, {Name: "other", Router: true}})
			now := 20000 * ms
			m.Receive(now, "gone", 1, 5000, now.Milliseconds(), tt.drained)
			now += time.Duration(tt.later) * ms
			stamp := now.Milliseconds()
			m.Receive(now, "other", 1, stamp, stamp, fleet.Heartbeat{View: all, ViewAge: 15000})
			m.Receive(now, "other", 1, stamp, stamp, fleet.Heartbeat{View: rest})
			if lenders, _ := m.Lenders(now+tt.at, duty); (len(lenders) == 1) != tt.want {
				t.Errorf("lenders %v, want other's loan: %v", lenders, tt.want)
			}
		})
	}
}

// dutyFor finds a duty that the routers rank in this order.
func dutyFor(t *testing.T, first, second, third uint32) string {
	t.Helper()
	for i := range 1000 {
		duty := fmt.Sprintf("duty/%d", i)
		a, _ := Winner([]uint32{third, first, second}, duty)
		b, _ := Winner([]uint32{third, second}, duty)
		if a == first && b == second {
			return duty
		}
	}
	t.Fatal("no such duty")
	return ""
}

// TestNoDutyAtStart requires a lease's wait after the start, for an earlier incarnation may have released its duties to another.
func TestNoDutyAtStart(t *testing.T) {
	m := Members{Self: "self", Incarnation: 2}
	m.List(0, []fleet.VM{{Name: "self", Router: true}, {Name: "other", Router: true}})
	with, _ := duelViews(t)
	for now := 10 * time.Millisecond; now < 2*time.Second; now += 10 * time.Millisecond {
		m.Tick(now)
		m.Receive(now, "other", 1, now.Milliseconds(), now.Milliseconds(), fleet.Heartbeat{View: with, ViewAge: 9000})
		lenders, _ := m.Lenders(now, "duel/0")
		if got, want := len(lenders) > 0, now >= lendAge; got != want {
			t.Fatalf("at %v lenders %v", now, lenders)
		}
	}
}

// BenchmarkLenders asks for one duty's lenders in fleets of today's and of the later size.
func BenchmarkLenders(b *testing.B) {
	for _, count := range []int{9, 50, 150, 470} {
		b.Run(fmt.Sprintf("routers=%d", count), func(b *testing.B) {
			m := Members{Self: "r0", Incarnation: 1}
			var vms []fleet.VM
			for i := range count {
				vms = append(vms, fleet.VM{Name: fmt.Sprintf("r%d", i), Router: true})
			}
			m.List(0, vms)
			now := 20 * time.Second
			for range 2 {
				for _, v := range vms[1:] {
					stamp := now.Milliseconds()
					m.Receive(now, v.Name, 1, stamp, stamp, fleet.Heartbeat{View: m.views.latest(), ViewAge: 9000})
				}
				m.Tick(now)
				now += time.Millisecond
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Lenders(now, "stain-llm/0")
			}
		})
	}
}
