package member

import (
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// TestLend passes hand-made heartbeats of one router to another and checks whether the receiver may count the sender as a lender.
func TestLend(t *testing.T) {
	const ms = time.Millisecond
	with, without := duelViews(t)
	old := (10 * time.Second).Milliseconds()
	type heard struct {
		at          time.Duration
		incarnation uint64
		stamp, echo int64
		view        []uint32
		age         int64
	}
	first := heard{at: 20000 * ms, incarnation: 5, stamp: 70000, echo: 19990, view: with, age: old}
	tests := map[string]struct {
		heard []heard
		woke  time.Duration
		at    time.Duration
		want  bool
	}{
		"old view, fresh echo":       {heard: []heard{first}, at: 20010 * ms, want: true},
		"just before the lease ends": {heard: []heard{first}, at: 20789 * ms, want: true},
		"lease over":                 {heard: []heard{first}, at: 20790 * ms},
		"no echo":                    {heard: []heard{{at: 20000 * ms, incarnation: 5, stamp: 70000, view: with, age: old}}, at: 20010 * ms},
		"echo from the future":       {heard: []heard{{at: 20000 * ms, incarnation: 5, stamp: 70000, echo: 20001, view: with, age: old}}, at: 20010 * ms},
		"names another":              {heard: []heard{{at: 20000 * ms, incarnation: 5, stamp: 70000, echo: 19990, view: without, age: old}}, at: 20010 * ms},
		"young view":                 {heard: []heard{{at: 20000 * ms, incarnation: 5, stamp: 70000, echo: 19990, view: with, age: 800}}, at: 20010 * ms},
		"young view grown old":       {heard: []heard{{at: 20000 * ms, incarnation: 5, stamp: 70000, echo: 19990, view: with, age: 800}}, at: 20050 * ms, want: true},
		"view changed, its end received": {
			heard: []heard{first, {at: 20300 * ms, incarnation: 5, stamp: 70300, echo: 20290, view: with, age: old + 300}, {at: 20300 * ms, incarnation: 5, stamp: 70300, echo: 20290, view: with[:1], age: 0}},
			at:    20310 * ms, want: true,
		},
		"view changed, its end not received": {
			heard: []heard{first, {at: 20300 * ms, incarnation: 5, stamp: 70300, echo: 20290, view: with[:1], age: 0}}, at: 20310 * ms,
		},
		"same view again after a gap": {
			heard: []heard{first, {at: 20300 * ms, incarnation: 5, stamp: 70300, echo: 20290, view: with, age: 20}}, at: 20310 * ms,
		},
		"peer restarted": {
			heard: []heard{first, {at: 20300 * ms, incarnation: 6, stamp: 70010, echo: 20290, view: with, age: 0}}, at: 20310 * ms,
		},
		"late message of the incarnation before": {
			heard: []heard{{at: 19900 * ms, incarnation: 6, stamp: 10, echo: 19890, view: without, age: old}, first}, at: 20010 * ms,
		},
		"message out of order": {
			heard: []heard{{at: 19900 * ms, incarnation: 5, stamp: 70001, echo: 19890, view: without, age: 0}, first}, at: 20010 * ms,
		},
		"woke after the echoed stamp":     {heard: []heard{first}, woke: 20005 * ms, at: 20010 * ms},
		"echo of a stamp before the wake": {heard: []heard{first}, woke: 19995 * ms, at: 20010 * ms},
		"woke before the echoed stamp":    {heard: []heard{first}, woke: 19980 * ms, at: 20010 * ms, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := Members{Self: "self", Incarnation: 1}
			m.UpdateList(0, []fleet.VM{{Name: "self", Router: true}, {Name: "other", Router: true}})
			woken := tt.woke == 0
			for _, h := range tt.heard {
				if !woken && tt.woke < h.at {
					m.ObserveWake(tt.woke)
					woken = true
				}
				m.Receive(h.at, "other", h.incarnation, h.stamp, h.echo, fleet.Heartbeat{View: h.view, ViewAge: h.age})
			}
			if !woken {
				m.ObserveWake(tt.woke)
			}
			if lenders, _ := m.Lenders(tt.at, "duel/0"); (len(lenders) == 1) != tt.want {
				t.Errorf("lenders %v, want the other's loan: %v", lenders, tt.want)
			}
		})
	}
}

// duelViews returns two views that begin with self: one that names self for the duty "duel/0" and one that names another router.
func duelViews(t *testing.T) (with, without []uint32) {
	t.Helper()
	self := Hash("self")
	for h := uint32(1); h < 1000 && (with == nil || without == nil); h++ {
		if w, _ := Winner([]uint32{self, h}, "duel/0"); w == self {
			with = []uint32{self, h}
		} else {
			without = []uint32{self, h}
		}
	}
	if with == nil || without == nil {
		t.Fatal("no such views")
	}
	return with, without
}

func TestWinnerSpreadsAndMovesLittle(t *testing.T) {
	var view []uint32
	for i := range 9 {
		view = append(view, Hash(string(rune('a'+i))))
	}
	const count = 9000
	got := map[uint32]int{}
	moved := 0
	for i := range count {
		duty := "keys/" + time.Duration(i).String()
		w, _ := Winner(view, duty)
		got[w]++
		if v, _ := Winner(view[1:], duty); v != w && w != view[0] {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("%d duties moved although their holder remained in the view", moved)
	}
	for h, n := range got {
		if n < count/9*8/10 || n > count/9*12/10 {
			t.Errorf("router %d holds %d of %d duties", h, n, count)
		}
	}
}

func TestFlappingPeerWaitsLonger(t *testing.T) {
	var p peer
	now := time.Second
	var waits []time.Duration
	for range 4 {
		begin := now
		for p.live = false; !p.live; now += 10 * time.Millisecond {
			p.lastHeard, p.lastConfirmed, p.everHeard = now, now, true
			p.updateLiveness(now)
		}
		waits = append(waits, now-begin)
		now += fleet.PeerTimeout * 2
		p.updateLiveness(now)
	}
	for i := 1; i < len(waits); i++ {
		if waits[i] <= waits[i-1] {
			t.Fatalf("waits before the peer is live again: %v, want each longer than the one before", waits)
		}
	}
}
