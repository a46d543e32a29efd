package keys

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// RecordCopy stores a copy of another home's permission, so that it survives the loss of that home. It returns
// false if another attempt of the key is recorded here, or if there is no room.
func (h *Home) RecordCopy(now time.Duration, k *fleet.KeyRecord) bool {
	h.init()
	key := recordKey{k.Team, strings.ToLower(k.Key)}
	if own := h.records[key]; own != nil {
		if own.router != k.Router || own.verdict != fleet.KeyInProgress {
			return false
		}
		h.remove(own)
	}
	return h.start(now, &record{
		key: key, slot: Slot(k.Team, k.Key), router: k.Router, ticket: k.Ticket, digest: k.Digest,
	})
}

// MergeRecall merges the records of other routers into a held slot. The caller has checked that every key run
// after since is recorded by one of them or here.
func (h *Home) MergeRecall(now time.Duration, slot int, since time.Time, records []fleet.KeyRecord) {
	s := &h.slots[slot]
	if !s.held {
		return
	}
	if since.Before(s.recordedSince) {
		s.recordedSince = since
	}
	for i := range records {
		r := &records[i]
		if Slot(r.Team, r.Key) != slot {
			continue
		}
		if own := h.records[recordKey{r.Team, strings.ToLower(r.Key)}]; own == nil || certainty(r.Verdict) > certainty(own.verdict) {
			h.adopt(now, slot, r)
		}
	}
	slices.SortStableFunc(h.byStart, func(a, b *record) int { return int(a.started - b.started) })
}

// certainty ranks the verdicts that two routers may have recorded for one key: an answer ranks highest, a
// permission without a known end lowest.
func certainty(v fleet.KeyVerdict) int {
	switch v {
	case fleet.KeyAnswered:
		return 2
	case fleet.KeyUnknown:
		return 1
	}
	return 0
}
