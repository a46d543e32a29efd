package growth

import (
	"fmt"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

// keyHome is a home of all slots, driven in virtual time.
type keyHome struct {
	home *keys.Home
	now  time.Duration
	wall time.Time
	made uint64
}

func newKeyHome() *keyHome {
	h := &keyHome{home: &keys.Home{}, wall: time.Unix(1_800_000_000, 0)}
	h.hold()
	h.pass(time.Minute)
	return h
}

func (h *keyHome) pass(d time.Duration) {
	h.now += d
	h.wall = h.wall.Add(d)
	h.hold()
}

func (h *keyHome) hold() {
	for slot := range keys.Slots {
		h.home.SetHeld(h.now, slot, true, h.wall)
	}
}

// key gives a UUIDv7 minted now.
func (h *keyHome) key() string {
	h.made++
	millis := uint64(h.wall.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", millis>>16, millis&0xffff, h.made>>36&0xfff, h.made>>24&0xfff, h.made)
}

// run opens and closes keys, each with a short answer to record; it gives how many were let run.
func (h *keyHome) run(requests int) int {
	allowed := 0
	for range requests {
		key := h.key()
		a := h.home.Open(h.now, h.wall, "router-1", fleet.KeyOpen{Ticket: h.made, Team: "skippers", Key: key, Digest: h.made})
		if a.Verdict == fleet.KeyRun {
			allowed++
		}
		h.home.Close(h.now, "router-1", fleet.KeyClose{
			Ticket: h.made, Team: "skippers", Key: key, Outcome: fleet.KeyAnswered,
			Answer: fleet.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
		})
	}
	return allowed
}

// Keys measures the home of idempotency keys.
func Keys() []Series {
	const role = "home of keys"
	sizes := []int{500, 2000, 5000, 10000}
	return []Series{
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "keys recorded", Fixed: "answers of 200 bytes"}, sizes, func(n int) float64 {
			return heap(func() held {
				h := newKeyHome()
				h.run(n)
				return held{keys: h}
			})
		}),
		vary(Series{Role: role, Quantity: "ns a key", Factor: "keys recorded", Fixed: "answers of 200 bytes"}, sizes, func(n int) float64 {
			h := newKeyHome()
			h.run(n)
			return nanos(1000, func(events int) { h.run(events) })
		}),
	}
}
