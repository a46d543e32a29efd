package wire

import (
	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

// ErrNoBody is returned for an envelope without a known body.
var ErrNoBody = errors.New("envelope without a known body")

// Encode returns the protobuf form of a message.
func Encode(m *fleet.Message) *Envelope {
	e := &Envelope{Incarnation: m.Incarnation, Stamp: m.Stamp, Echo: m.Echo, Echoed: m.Echoed}
	switch {
	case m.Heartbeat != nil:
		e.Body = &Envelope_Heartbeat{Heartbeat: encodeHeartbeat(m.Heartbeat)}
	case m.Demand != nil:
		e.Body = &Envelope_Demand{Demand: encodeDemand(m.Demand)}
	case m.Grants != nil:
		e.Body = &Envelope_Grants{Grants: encodeGrants(m.Grants)}
	case m.KeyOpen != nil:
		k := m.KeyOpen
		e.Body = &Envelope_KeyOpen{KeyOpen: &KeyOpen{Ticket: k.Ticket, Team: k.Team, Key: k.Key, Digest: k.Digest}}
	case m.KeyAnswer != nil:
		k := m.KeyAnswer
		e.Body = &Envelope_KeyAnswer{KeyAnswer: &KeyAnswer{
			Ticket: k.Ticket, Verdict: int64(k.Verdict), Reason: int64(k.Reason), Answer: encodeAnswer(k.Answer), Wait: k.Wait,
		}}
	case m.KeyClose != nil:
		k := m.KeyClose
		e.Body = &Envelope_KeyClose{KeyClose: &KeyClose{
			Ticket: k.Ticket, Team: k.Team, Key: k.Key, Outcome: int64(k.Outcome), Answer: encodeAnswer(k.Answer),
			Router: k.Router,
		}}
	case m.KeyHandover != nil:
		e.Body = &Envelope_KeyHandover{KeyHandover: encodeHandover(m.KeyHandover)}
	case m.KeyRecall != nil:
		e.Body = &Envelope_KeyRecall{KeyRecall: &KeyRecall{Slot: int64(m.KeyRecall.Slot), Number: m.KeyRecall.Number}}
	case m.KeyCopy != nil:
		k := m.KeyCopy
		e.Body = &Envelope_KeyCopy{KeyCopy: &KeyCopy{Record: encodeRecord(&k.Record), Done: k.Done, Kept: k.Kept}}
	case m.ConfigAsk != nil:
		e.Body = &Envelope_ConfigAsk{ConfigAsk: &ConfigAsk{After: m.ConfigAsk.After}}
	case m.ConfigText != nil:
		e.Body = &Envelope_ConfigText{ConfigText: &ConfigText{Version: m.ConfigText.Version, Text: m.ConfigText.Text}}
	case m.ListText != nil:
		e.Body = &Envelope_ListText{ListText: encodeList(m.ListText)}
	}
	return e
}

// Decode returns the message in an envelope, in the core's types. The error is ErrNoBody, an *UnknownBodyError or a *FieldError.
func Decode(e *Envelope) (*fleet.Message, error) {
	m := &fleet.Message{Incarnation: e.GetIncarnation(), Stamp: e.GetStamp(), Echo: e.GetEcho(), Echoed: e.GetEchoed()}
	var c checker
	switch b := e.GetBody().(type) {
	case *Envelope_Heartbeat:
		m.Heartbeat = decodeHeartbeat(b.Heartbeat, &c)
	case *Envelope_Demand:
		m.Demand = decodeDemand(b.Demand, &c)
	case *Envelope_Grants:
		m.Grants = decodeGrants(b.Grants, &c)
	case *Envelope_KeyOpen:
		k := b.KeyOpen
		m.KeyOpen = &fleet.KeyOpen{
			Ticket: k.GetTicket(), Team: c.name("team", k.GetTeam()), Key: c.name("key", k.GetKey()), Digest: k.GetDigest(),
		}
	case *Envelope_KeyAnswer:
		k := b.KeyAnswer
		m.KeyAnswer = &fleet.KeyAnswer{
			Ticket:  k.GetTicket(),
			Verdict: fleet.KeyVerdict(c.enum("verdict", k.GetVerdict(), int64(fleet.KeyUnknown))),
			Reason:  fleet.Reason(c.enum("reason", k.GetReason(), int64(fleet.ReasonServersRest))),
			Answer:  decodeAnswer(k.GetAnswer(), &c),
			Wait:    c.count("wait", k.GetWait()),
		}
	case *Envelope_KeyClose:
		k := b.KeyClose
		m.KeyClose = &fleet.KeyClose{
			Ticket: k.GetTicket(), Team: c.name("team", k.GetTeam()), Key: c.name("key", k.GetKey()),
			Outcome: fleet.KeyVerdict(c.enum("outcome", k.GetOutcome(), int64(fleet.KeyUnknown))),
			Answer:  decodeAnswer(k.GetAnswer(), &c),
		}
		if k.GetRouter() != "" {
			m.KeyClose.Router = c.name("router", k.GetRouter())
		}
	case *Envelope_KeyHandover:
		m.KeyHandover = decodeHandover(b.KeyHandover, &c)
	case *Envelope_KeyRecall:
		m.KeyRecall = &fleet.KeyRecall{
			Slot: int(c.enum("slot", b.KeyRecall.GetSlot(), keys.Slots-1)), Number: b.KeyRecall.GetNumber(),
		}
	case *Envelope_KeyCopy:
		k := b.KeyCopy
		m.KeyCopy = &fleet.KeyCopy{Record: decodeRecord(k.GetRecord(), &c), Done: k.GetDone(), Kept: k.GetKept()}
	case *Envelope_ConfigAsk:
		m.ConfigAsk = &fleet.ConfigAsk{After: b.ConfigAsk.GetAfter()}
	case *Envelope_ConfigText:
		m.ConfigText = &fleet.ConfigText{Version: b.ConfigText.GetVersion(), Text: b.ConfigText.GetText()}
	case *Envelope_ListText:
		m.ListText = decodeList(b.ListText, &c)
	default:
		return nil, missingBody(e)
	}
	if c.err != nil {
		return nil, c.err
	}
	return m, nil
}
