package even

import (
	"math"
	"testing"
	"time"
)

const hold = 800 * time.Millisecond

// TestSlotWait guards against waits for a slot that a yes or no by counts doesn't see.
func TestSlotWait(t *testing.T) {
	turn := hold / 12
	for name, c := range map[string]struct {
		view        View
		least, most time.Duration
	}{
		"zero value":                   {},
		"slots unknown":                {view: View{Others: 100, Hold: hold}},
		"hold time unknown":            {view: View{Others: 100, Slots: 12}},
		"idle":                         {view: View{Others: 0, Slots: 12, Hold: hold, Age: time.Second}},
		"one slot free, fresh":         {view: View{Own: 11, Slots: 12, Hold: hold}},
		"all slots taken, fresh":       {view: View{Own: 12, Slots: 12, Hold: hold}, least: turn, most: turn},
		"one slot free, old news":      {view: View{Others: 11, Slots: 12, Hold: hold, Age: 200 * time.Millisecond}, least: turn / 2, most: 2 * turn},
		"most slots free, old news":    {view: View{Others: 3, Slots: 12, Hold: hold, Age: 200 * time.Millisecond}, most: turn / 50},
		"nonsense: billions":           {view: View{Others: math.MaxInt64, Slots: 12, Hold: hold, Age: time.Second}, least: hold, most: 2 * hold},
		"nonsense: negative":           {view: View{Own: -5, Others: math.MinInt64, Slots: 12, Hold: hold, Age: -time.Second}},
		"nothing known of the others":  {view: View{Blind: true, Own: 3, Slots: 12, Hold: hold, Age: time.Hour}},
		"nonsense: slots are negative": {view: View{Own: 3, Slots: -1, Hold: hold}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.view.SlotWait(); got < c.least || got > c.most {
				t.Errorf("wait %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

// TestSpread guards against routers that all choose the same server by the same old news, and against a spread without
// uncertainty, which would only move requests away from their homes.
func TestSpread(t *testing.T) {
	for name, c := range map[string]struct {
		view        View
		least, most time.Duration
	}{
		"zero value":               {},
		"alone":                    {view: View{Own: 10, Slots: 12, Hold: hold}},
		"no requests of others":    {view: View{Slots: 12, Hold: hold, Age: time.Second}},
		"five requests, old news":  {view: View{Others: 5, Slots: 12, Hold: hold, Age: 250 * time.Millisecond}, least: 30 * time.Millisecond, most: 90 * time.Millisecond},
		"nothing known":            {view: View{Blind: true, Slots: 12, Hold: hold}, least: 90 * time.Millisecond, most: 250 * time.Millisecond},
		"nonsense is bounded":      {view: View{Others: math.MaxInt64, Slots: 12, Hold: hold, Age: time.Hour}, least: 90 * time.Millisecond, most: 250 * time.Millisecond},
		"many slots, small spread": {view: View{Others: 20, Slots: 64, Hold: hold, Age: 250 * time.Millisecond}, most: 35 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.view.Spread(0.999); got < c.least || got > c.most {
				t.Errorf("spread %v, want %v to %v", got, c.least, c.most)
			}
			if got := c.view.Spread(0); got != 0 {
				t.Errorf("least spread %v, want 0", got)
			}
		})
	}
}

// TestMayHaveRoom guards against queues at servers, where requests can be neither reordered nor refused.
func TestMayHaveRoom(t *testing.T) {
	for name, c := range map[string]struct {
		view View
		want bool
	}{
		"slots unknown":     {view: View{Own: 1000, Hold: hold}, want: true},
		"free":              {view: View{Own: 11, Slots: 12}, want: true},
		"hold time unknown": {view: View{Own: 12, Slots: 12}},
		"few wait":          {view: View{Own: 17, Slots: 12, Hold: hold}, want: true},
		"many wait":         {view: View{Own: 18, Slots: 12, Hold: hold}},
		"billions":          {view: View{Own: 1, Others: math.MaxInt64, Slots: 12, Hold: hold}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.view.MayHaveRoom(); got != c.want {
				t.Errorf("room %v, want %v", got, c.want)
			}
		})
	}
}

// TestHoldTime guards against single requests that hang, and clocks that go back, which must not spoil the mean.
func TestHoldTime(t *testing.T) {
	var h HoldTime
	if h.Mean() != 0 {
		t.Errorf("mean %v of nothing", h.Mean())
	}
	for range 200 {
		h.Observe(hold)
	}
	h.Observe(-time.Hour)
	h.Observe(0)
	if h.Mean() != hold {
		t.Errorf("mean %v, want %v", h.Mean(), hold)
	}
	h.Observe(1000 * time.Hour)
	if got := h.Mean(); got > 3*time.Second {
		t.Errorf("mean %v after one request that hung", got)
	}
}

func TestMeasure(t *testing.T) {
	idle := Load{Server: "b", Requests: 1, Slots: 12}
	for name, c := range map[string]struct {
		loads    []Load
		percent  int64
		overload bool
	}{
		"no servers":                    {},
		"no requests":                   {loads: []Load{{Slots: 12}, {Slots: 12}}},
		"even":                          {loads: []Load{{Requests: 6, Slots: 12}, {Requests: 6, Slots: 12}}, percent: 100},
		"overload":                      {loads: []Load{{Requests: 12, Slots: 12}, idle, idle}, percent: 257, overload: true},
		"over twice, slots free":        {loads: []Load{{Requests: 6, Slots: 12}, idle, idle, idle}, percent: 266},
		"nonsense of a router":          {loads: []Load{{Requests: math.MaxInt64, Slots: 12}, idle, {Requests: math.MinInt64, Slots: 12}}, percent: 300, overload: true},
		"all busy, one more than twice": {loads: []Load{{Requests: 40, Slots: 12}, {Requests: 7, Slots: 12}, {Requests: 7, Slots: 12}}, percent: 222},
	} {
		t.Run(name, func(t *testing.T) {
			m := Measure(c.loads)
			if m.Percent != c.percent || m.Overload != c.overload {
				t.Errorf("%+v, want %d %%, overload %v", m, c.percent, c.overload)
			}
		})
	}
}

// BenchmarkView measures the estimates for one server whose slots are nearly all taken, which is the dearest case.
func BenchmarkView(b *testing.B) {
	v := View{Own: 1, Others: 10, Slots: 12, Hold: hold, Age: 250 * time.Millisecond}
	for b.Loop() {
		_ = v.SlotWait() + v.Spread(0.5)
	}
}
