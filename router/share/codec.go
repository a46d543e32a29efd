package share

import (
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"mangolug.org/core/digest"
)

// Units of the amounts on the wire. Rounding to them is too small to affect decisions.
const (
	prefillUnit = 16 // tokens
	memoryUnit  = 64 // tokens
	rateUnit    = 16 // tokens per second
)

// Encode returns the datagram for a message. It returns an error if a member's address is not a valid ip:port.
func Encode(m *digest.Message) ([]byte, error) {
	d := &Datagram{From: m.From, Revision: m.Position.Revision, Era: m.Position.Era, Part: encodeTotals(m.Part), Centre: encodeTotals(m.Centre), Others: encodeTotals(m.Others), News: encodeUpdate(m.Update), Leaves: m.Leave, Suspects: encodeSuspects(m.Suspects), Limits: encodeLimits(m.Limits), Streams: encodeStreams(m.Streams), Want: encodeWant(m.Want)}
	if len(m.Members) > 0 {
		members, err := encodeMembers(m.Members)
		if err != nil {
			return nil, err
		}
		d.Members = members
	}
	return proto.Marshal(d)
}

// Decode parses a datagram. It returns an error if the columns of a list differ in length or a member is invalid.
func Decode(text []byte) (digest.Message, error) {
	var d Datagram
	if err := proto.Unmarshal(text, &d); err != nil {
		return digest.Message{}, err
	}
	m := digest.Message{From: d.From, Position: digest.Position{Era: d.Era, Revision: d.Revision}, Update: decodeUpdate(d.News), Leave: d.Leaves, Want: decodeWant(d.Want)}
	members, err := decodeMembers(d.Members)
	if err != nil {
		return m, err
	}
	m.Members = members
	if m.Suspects, err = decodeSuspects(d.Suspects); err != nil {
		return m, err
	}
	if m.Limits, err = decodeLimits(d.Limits); err != nil {
		return m, err
	}
	if m.Streams, err = decodeStreams(d.Streams); err != nil {
		return m, err
	}
	for _, t := range []struct {
		from *Totals
		to   **digest.Sum
	}{{d.Part, &m.Part}, {d.Centre, &m.Centre}, {d.Others, &m.Others}} {
		sum, err := decodeTotals(t.from)
		if err != nil {
			return m, err
		}
		*t.to = sum
	}
	return m, nil
}

func encodeTotals(s *digest.Sum) *Totals {
	if s == nil {
		return nil
	}
	t := &Totals{Routers: toUnits(s.Routers, 1)}
	for id, u := range s.Servers {
		if u == (digest.Use{}) {
			continue
		}
		t.Servers = append(t.Servers, id)
		t.Requests = append(t.Requests, toUnits(u.Requests, 1))
		t.Prefill = append(t.Prefill, toUnits(u.Prefill, prefillUnit))
		t.Memory = append(t.Memory, toUnits(u.Memory, memoryUnit))
	}
	for id, r := range s.Teams {
		if r != (digest.Rates{}) {
			t.Teams = append(t.Teams, id)
			t.Asked = append(t.Asked, toUnits(r.Demand, rateUnit))
			t.Served = append(t.Served, toUnits(r.Served, rateUnit))
			t.Held = append(t.Held, toUnits(r.Held, rateUnit))
		}
	}
	if len(t.Held) > 0 && slices.Max(t.Held) == 0 {
		t.Held = nil
	}
	encodeTimings(t, s.Timings)
	return t
}

func toUnits(amount, unit int64) uint32 {
	return uint32(min((max(0, amount)+unit/2)/unit, math.MaxUint32))
}

func decodeTotals(t *Totals) (*digest.Sum, error) {
	if t == nil {
		return nil, nil
	}
	n := len(t.Servers)
	if len(t.Requests) != n || len(t.Prefill) != n || len(t.Memory) != n || len(t.Teams) != len(t.Asked) || len(t.Teams) != len(t.Served) {
		return nil, fmt.Errorf("columns of unequal length: %d servers, %d requests, %d prefill, %d memory, %d teams, %d asked, %d served",
			n, len(t.Requests), len(t.Prefill), len(t.Memory), len(t.Teams), len(t.Asked), len(t.Served))
	}
	s := &digest.Sum{Routers: int64(t.Routers), Servers: make(map[uint32]digest.Use, n), Teams: make(map[uint32]digest.Rates, len(t.Teams)), Timings: decodeTimings(t)}
	for i, id := range t.Servers {
		s.Servers[id] = digest.Use{
			Requests: int64(t.Requests[i]), Prefill: int64(t.Prefill[i]) * prefillUnit, Memory: int64(t.Memory[i]) * memoryUnit,
		}
	}
	for i, id := range t.Teams {
		r := digest.Rates{Demand: int64(t.Asked[i]) * rateUnit, Served: int64(t.Served[i]) * rateUnit}
		if len(t.Held) == len(t.Teams) {
			r.Held = int64(t.Held[i]) * rateUnit
		}
		s.Teams[id] = r
	}
	return s, nil
}
