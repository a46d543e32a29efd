package keys

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// handoverBody is the longest answer's body that is handed over, in bytes.
const handoverBody = 64 << 10

// Handover is what a former home knows of a slot.
type Handover struct {
	Since   time.Time // of a key that was run after it there is a record
	Records []fleet.KeyRecord
}

// HandOver gives what this home knows of a slot that it has ceased to hold; false while it holds it or never did.
func (h *Home) HandOver(now time.Duration, number int) (Handover, bool) {
	h.init()
	s := &h.slots[number]
	if s.holds || s.since.IsZero() {
		return Handover{}, false
	}
	return Handover{Since: s.since, Records: h.Known(now, number)}, true
}

// Known gives all records of a slot, those of former homes and copies included.
func (h *Home) Known(now time.Duration, number int) []fleet.KeyRecord {
	var known []fleet.KeyRecord
	for _, r := range h.order {
		if r.slot != number || r.freed {
			continue
		}
		answer := r.answer
		if len(answer.Body) > handoverBody {
			answer.Body, answer.Truncated = nil, true
		}
		known = append(known, fleet.KeyRecord{
			Team: r.key.team, Key: r.key.key, Router: r.router, Ticket: r.ticket, Digest: r.digest,
			Verdict: r.verdict, Age: (now - r.begun).Milliseconds(), Answer: answer,
		})
	}
	return known
}

// Wait makes the home answer nothing for a slot that it has just begun to hold, until a handover comes or a time has passed.
func (h *Home) Wait(now time.Duration, number int, until time.Duration) {
	h.init()
	if s := &h.slots[number]; s.holds && s.begun == now {
		s.waits = until
	}
}

// Waits reports whether a slot is held and a handover may still come.
func (h *Home) Waits(now time.Duration, number int) bool {
	s := &h.slots[number]
	return s.holds && now < s.waits
}

// Inherit takes a slot's handover from the router that held it just before this one, so that no guard is needed; without a wait it
// does nothing, as a key may have been run since. The caller has checked that no third router held the slot between.
func (h *Home) Inherit(now time.Duration, number int, o Handover) bool {
	if !h.Waits(now, number) {
		return false
	}
	s := &h.slots[number]
	s.waits, s.since, s.inherited = 0, o.Since, true
	for i := range o.Records {
		if r := &o.Records[i]; Slot(r.Team, r.Key) == number {
			h.adopt(now, number, r)
		}
	}
	slices.SortStableFunc(h.order, func(a, b *record) int { return int(a.begun - b.begun) })
	return true
}

// adopt puts a former home's record in the place of an own one, which is older unless it is of the same try and ended.
func (h *Home) adopt(now time.Duration, number int, k *fleet.KeyRecord) {
	key := recordKey{k.Team, strings.ToLower(k.Key)}
	if own := h.records[key]; own != nil {
		if own.router == k.Router && own.ticket == k.Ticket && own.verdict != fleet.KeyInProgress {
			return
		}
		h.free(own)
	}
	r := &record{
		key: key, slot: number, router: k.Router, ticket: k.Ticket, digest: k.Digest, verdict: k.Verdict,
		begun: now - time.Duration(k.Age)*time.Millisecond,
	}
	h.records[key] = r
	h.order = append(h.order, r)
	h.bytes += r.size()
	if k.Verdict == fleet.KeyAnswered {
		h.keep(r, k.Answer)
	}
}
