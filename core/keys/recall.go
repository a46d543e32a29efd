package keys

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// Copy records another home's permission, so that it is known when that home is lost; it fails when another try of the key is on
// record here, or when there is no room.
func (h *Home) Copy(now time.Duration, k *fleet.KeyRecord) bool {
	h.init()
	key := recordKey{k.Team, strings.ToLower(k.Key)}
	if own := h.records[key]; own != nil {
		if own.router != k.Router || own.verdict != fleet.KeyInProgress {
			return false
		}
		h.free(own)
	}
	return h.begin(now, &record{
		key: key, slot: Slot(k.Team, k.Key), router: k.Router, ticket: k.Ticket, digest: k.Digest,
	})
}

// Recalled takes what other routers know of a slot that is held; since tells after which time every key that ran is on record at
// one of them or here. The caller has checked that.
func (h *Home) Recalled(now time.Duration, number int, since time.Time, records []fleet.KeyRecord) {
	s := &h.slots[number]
	if !s.holds {
		return
	}
	if since.Before(s.since) {
		s.since = since
	}
	for i := range records {
		r := &records[i]
		if Slot(r.Team, r.Key) != number {
			continue
		}
		if own := h.records[recordKey{r.Team, strings.ToLower(r.Key)}]; own == nil || ended(r.Verdict) > ended(own.verdict) {
			h.adopt(now, number, r)
		}
	}
	slices.SortStableFunc(h.order, func(a, b *record) int { return int(a.begun - b.begun) })
}

// ended ranks what two routers know of one key: an answer says the most, and a permission of which no end is known the least.
func ended(v fleet.KeyVerdict) int {
	switch v {
	case fleet.KeyAnswered:
		return 2
	case fleet.KeyUnknown:
		return 1
	}
	return 0
}
