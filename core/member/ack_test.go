package member

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// TestViewAgeAfterAcks changes one router's view and checks when its heartbeats start to report that no peer acts on the earlier view.
func TestViewAgeAfterAcks(t *testing.T) {
	const ms = time.Millisecond
	type ack struct {
		from        string
		incarnation uint64
		oldViewOnly bool // echoes only the stamp of the heartbeat that ends the old view
	}
	tests := map[string]struct {
		uptime time.Duration // before the change; 0 means 10 s
		acks   []ack
		woke   bool          // just after the acknowledgements
		after  time.Duration // from the change to the check
		want   bool
	}{
		"nobody answered":             {after: 100 * ms},
		"all answered":                {acks: []ack{{from: "a", incarnation: 1}, {from: "b", incarnation: 1}}, after: 100 * ms, want: true},
		"one is missing":              {acks: []ack{{from: "a", incarnation: 1}}, after: 100 * ms},
		"one knows the old view only": {acks: []ack{{from: "a", incarnation: 1}, {from: "b", incarnation: 1, oldViewOnly: true}}, after: 100 * ms},
		"one has restarted":           {acks: []ack{{from: "a", incarnation: 1}, {from: "b", incarnation: 2}}, after: 100 * ms},
		"woke after the answers":      {acks: []ack{{from: "a", incarnation: 1}, {from: "b", incarnation: 1}}, woke: true, after: 100 * ms},
		"young router":                {uptime: 600 * ms, acks: []ack{{from: "a", incarnation: 1}, {from: "b", incarnation: 1}}, after: 100 * ms},
		"a lease later":               {after: 850 * ms, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := Members{Self: "self", Incarnation: 1}
			m.UpdateList(0, []fleet.VM{{Name: "self", Router: true}, {Name: "a", Router: true}, {Name: "b", Router: true}})
			now, uptime := time.Duration(0), tt.uptime
			if uptime == 0 {
				uptime = 10 * time.Second
			}
			hear := func(from string, incarnation uint64, echo int64, draining bool) {
				m.Receive(now, from, incarnation, now.Milliseconds(), echo, fleet.Heartbeat{Draining: draining})
			}
			for now = ms; now < uptime; now += 10 * ms {
				m.Tick(now)
				hear("a", 1, now.Milliseconds(), false)
				hear("b", 1, now.Milliseconds(), false)
			}
			hear("b", 1, now.Milliseconds()-1, true)
			begin := m.Clock(now)
			beats := m.Tick(now)
			if n := len(beats); n != 4 || beats[0].Stamp >= beats[1].Stamp || beats[1].Heartbeat.ViewAge != 0 {
				t.Fatalf("heartbeats after the view change: %+v", beats)
			}
			changed := now
			now += 10 * ms
			for _, k := range tt.acks {
				echo := begin
				if k.oldViewOnly {
					echo--
				}
				hear(k.from, k.incarnation, echo, k.from == "b")
			}
			if tt.woke {
				m.ObserveWake(now)
			}
			for ; now < changed+tt.after; now += 10 * ms {
				m.Tick(now)
				hear("a", 1, begin-1, false)
			}
			m.Tick(now)
			if age := m.heartbeat(now).ViewAge; (age >= lendAge.Milliseconds()) != tt.want {
				t.Errorf("advertised view age is %d ms at %v after the change", age, now-changed)
			}
		})
	}
}

// TestViewChangeHasItsOwnStamp requires that no heartbeat with the old view carries the stamp whose echo proves receipt of the new view.
func TestViewChangeHasItsOwnStamp(t *testing.T) {
	m := Members{Self: "self", Incarnation: 1}
	m.UpdateList(0, []fleet.VM{{Name: "self", Router: true}, {Name: "a", Router: true}})
	now := 300 * time.Millisecond
	first := m.Tick(now)
	m.Receive(now, "a", 1, 1, now.Milliseconds(), fleet.Heartbeat{})
	if again := m.Tick(now + time.Microsecond); len(first) != 1 || len(again) != 0 && len(again[0].Heartbeat.View) != 1 {
		t.Fatalf("sent %+v, then in the same millisecond %+v", first, again)
	}
	later := m.Tick(now + time.Millisecond)
	if n := len(later); n == 0 || len(later[n-1].Heartbeat.View) != 2 || later[n-1].Stamp <= first[0].Stamp {
		t.Fatalf("sent %+v, then %+v", first, later)
	}
}

// BenchmarkLenders measures Lenders for one duty in fleets of the current size and of planned larger sizes.
func BenchmarkLenders(b *testing.B) {
	for _, count := range []int{9, 50, 150, 470} {
		b.Run(fmt.Sprintf("routers=%d", count), func(b *testing.B) {
			m := Members{Self: "r0", Incarnation: 1}
			var vms []fleet.VM
			for i := range count {
				vms = append(vms, fleet.VM{Name: fmt.Sprintf("r%d", i), Router: true})
			}
			m.UpdateList(0, vms)
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
