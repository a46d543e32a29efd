package wire

import (
	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

func encodeHandover(h *fleet.KeyHandover) *KeyHandover {
	w := &KeyHandover{Slot: int64(h.Slot), Number: h.Number, Part: int64(h.Part), Parts: int64(h.Parts), Since: h.Since, Recall: h.Recall}
	for _, l := range h.Loans {
		w.Loans = append(w.Loans, &KeyLoan{Router: l.Router, Incarnation: l.Incarnation, ViewSeq: l.ViewSeq})
	}
	for _, r := range h.Records {
		w.Records = append(w.Records, encodeRecord(&r))
	}
	return w
}

func encodeRecord(r *fleet.KeyRecord) *KeyRecord {
	return &KeyRecord{
		Team: r.Team, Key: r.Key, Router: r.Router, Ticket: r.Ticket, Digest: r.Digest,
		Verdict: int64(r.Verdict), Age: r.Age, Answer: encodeAnswer(r.Answer),
	}
}

func decodeRecord(r *KeyRecord, c *checker) fleet.KeyRecord {
	return fleet.KeyRecord{
		Team: c.name("team", r.GetTeam()), Key: c.name("key", r.GetKey()), Router: c.name("router", r.GetRouter()),
		Ticket: r.GetTicket(), Digest: r.GetDigest(),
		Verdict: fleet.KeyVerdict(c.enum("verdict", r.GetVerdict(), int64(fleet.KeyUnknown))),
		Age:     c.count("age", r.GetAge()), Answer: decodeAnswer(r.GetAnswer(), c),
	}
}

func decodeHandover(w *KeyHandover, c *checker) *fleet.KeyHandover {
	c.items("loans", len(w.GetLoans()))
	c.items("records", len(w.GetRecords()))
	h := &fleet.KeyHandover{
		Slot: int(c.enum("slot", w.GetSlot(), keys.Slots-1)), Number: w.GetNumber(),
		Part: int(c.count("part", w.GetPart())), Parts: int(c.count("parts", w.GetParts())),
		Since: w.GetSince(), Recall: w.GetRecall(),
	}
	for _, l := range w.GetLoans() {
		h.Loans = append(h.Loans, fleet.KeyLoan{
			Router: c.name("router", l.GetRouter()), Incarnation: l.GetIncarnation(), ViewSeq: l.GetViewSeq(),
		})
	}
	for _, r := range w.GetRecords() {
		h.Records = append(h.Records, decodeRecord(r, c))
	}
	return h
}
