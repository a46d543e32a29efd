package keys

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// maxHandoverBody is the largest answer body that is included in a handover, in bytes.
const maxHandoverBody = 64 << 10

// Handover is the state of a slot that a former home passes to the next one.
type Handover struct {
	Since   time.Time // every key run after this time has a record
	Records []fleet.KeyRecord
}

// HandOver returns the state of a slot that this home no longer holds. It returns false while the slot is held,
// and if it never was.
func (h *Home) HandOver(now time.Duration, slot int) (Handover, bool) {
	h.init()
	s := &h.slots[slot]
	if s.held || s.recordedSince.IsZero() {
		return Handover{}, false
	}
	return Handover{Since: s.recordedSince, Records: h.SlotRecords(now, slot)}, true
}

// SlotRecords returns all records of a slot, including those inherited from former homes and copies.
func (h *Home) SlotRecords(now time.Duration, slot int) []fleet.KeyRecord {
	var records []fleet.KeyRecord
	for _, r := range h.byStart {
		if r.slot != slot || r.removed {
			continue
		}
		answer := r.answer
		if len(answer.Body) > maxHandoverBody {
			answer.Body, answer.Truncated = nil, true
		}
		records = append(records, fleet.KeyRecord{
			Team: r.key.team, Key: r.key.key, Router: r.router, Ticket: r.ticket, Digest: r.digest,
			Verdict: r.verdict, Age: (now - r.started).Milliseconds(), Answer: answer,
		})
	}
	return records
}

// AwaitHandover makes the home answer nothing for a slot that it has just begun to hold, until a handover
// arrives or the given time is reached.
func (h *Home) AwaitHandover(now time.Duration, slot int, until time.Duration) {
	h.init()
	if s := &h.slots[slot]; s.held && s.heldSince == now {
		s.waitUntil = until
	}
}

// AwaitsHandover reports whether a slot is held and may still receive a handover.
func (h *Home) AwaitsHandover(now time.Duration, slot int) bool {
	s := &h.slots[slot]
	return s.held && now < s.waitUntil
}

// Inherit applies a handover from the router that held the slot just before this one, so that no guard time is
// needed. It returns false and does nothing unless the slot awaits a handover, as a key may have been run since.
// The caller has checked that no third router held the slot in between.
func (h *Home) Inherit(now time.Duration, slot int, o Handover) bool {
	if !h.AwaitsHandover(now, slot) {
		return false
	}
	s := &h.slots[slot]
	s.waitUntil, s.recordedSince, s.inherited = 0, o.Since, true
	for i := range o.Records {
		if r := &o.Records[i]; Slot(r.Team, r.Key) == slot {
			h.adopt(now, slot, r)
		}
	}
	slices.SortStableFunc(h.byStart, func(a, b *record) int { return int(a.started - b.started) })
	return true
}

// adopt replaces this home's record of a key by that of another router. A record of the same attempt that has
// ended here is kept.
func (h *Home) adopt(now time.Duration, slot int, k *fleet.KeyRecord) {
	key := recordKey{k.Team, strings.ToLower(k.Key)}
	if own := h.records[key]; own != nil {
		if own.router == k.Router && own.ticket == k.Ticket && own.verdict != fleet.KeyInProgress {
			return
		}
		h.remove(own)
	}
	r := &record{
		key: key, slot: slot, router: k.Router, ticket: k.Ticket, digest: k.Digest, verdict: k.Verdict,
		started: now - time.Duration(k.Age)*time.Millisecond,
	}
	h.records[key] = r
	h.byStart = append(h.byStart, r)
	h.bytes += r.size()
	if k.Verdict == fleet.KeyAnswered {
		h.storeAnswer(r, k.Answer)
	}
}
