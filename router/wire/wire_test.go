package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangolug.org/core/fleet"
)

// samples holds one message of each kind with all fields set.
func samples() map[string]*fleet.Message {
	cell := fleet.Cell{Product: "stain-llm", Part: 2}
	answer := fleet.Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"ok":true}`), Truncated: true}
	return map[string]*fleet.Message{
		"heartbeat": {Incarnation: 7, Stamp: 100, Echo: 90, Echoed: 3, Heartbeat: &fleet.Heartbeat{
			View: []uint32{1, 5, 9}, ViewAge: 20, ViewSeq: 4, ConfigVersion: 11, Draining: true,
		}},
		"demand": {Demand: &fleet.Demand{
			Cell: cell, Seq: 3, Full: true, SeenTerm: 9, Seen: 77,
			Waiting: []fleet.TeamDemand{{Team: "carpenters", Waiting: 4, Estimate: 300, OldestWait: 12, Prefix: 99}},
			Done:    []fleet.Done{{Grant: 5, Outcome: fleet.OutcomeFailed, Cost: 10, FirstByte: 200, Service: 900}},
			Running: []fleet.Running{{Grant: 6, Team: "carpenters", Server: "stain-1", Cost: 40}},
		}},
		"grants": {Grants: &fleet.Grants{Cell: cell, Term: 9, Basis: 88, TellAll: true, Grants: []fleet.Grant{
			{ID: 78, Team: "carpenters", Server: "stain-1", Address: "127.0.0.1:9101", Fencing: true},
		}}},
		"keyOpen":   {KeyOpen: &fleet.KeyOpen{Ticket: 1, Team: "farm", Key: "k", Digest: 8}},
		"keyAnswer": {KeyAnswer: &fleet.KeyAnswer{Ticket: 1, Verdict: fleet.KeyAnswered, Reason: fleet.ReasonKeyTooOld, Answer: answer}},
		"keyClose":  {KeyClose: &fleet.KeyClose{Ticket: 6, Router: "carraig-1", Team: "farm", Key: "k", Outcome: fleet.KeyAnswered, Answer: answer}},
		"keyHandover": {KeyHandover: &fleet.KeyHandover{
			Slot: 5, Number: 2, Part: 1, Parts: 3, Since: 1_800_000_000_000,
			Loans: []fleet.KeyLoan{{Router: "carraig-1", Incarnation: 3, ViewSeq: 9}},
			Records: []fleet.KeyRecord{
				{Team: "farm", Key: "k", Router: "carraig-2", Ticket: 7, Digest: 8, Verdict: fleet.KeyAnswered, Age: 20, Answer: answer},
			},
		}},
		"configAsk":  {ConfigAsk: &fleet.ConfigAsk{After: 4}},
		"configText": {ConfigText: &fleet.ConfigText{Version: 5, Text: []byte("text")}},
	}
}

func TestRoundTrip(t *testing.T) {
	for name, m := range samples() {
		t.Run(name, func(t *testing.T) {
			bytes, err := proto.Marshal(Encode(m))
			if err != nil {
				t.Fatal(err)
			}
			var e Envelope
			if err := proto.Unmarshal(bytes, &e); err != nil {
				t.Fatal(err)
			}
			back, err := Decode(&e)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(m, back); d != "" {
				t.Errorf("came back otherwise:\n%s", d)
			}
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	cases := map[string]struct {
		envelope *Envelope
		field    string // empty for ErrNoBody
	}{
		"no body":         {&Envelope{}, ""},
		"negative count":  {demand(&TeamDemand{Team: "t", Waiting: -1}), "waiting"},
		"huge cost":       {demand(&TeamDemand{Team: "t", Estimate: MaxCount + 1}), "estimate"},
		"team without":    {demand(&TeamDemand{Waiting: 1}), "team"},
		"unknown verdict": {&Envelope{Body: &Envelope_KeyAnswer{KeyAnswer: &KeyAnswer{Verdict: 99}}}, "verdict"},
		"unknown slot":    {&Envelope{Body: &Envelope_KeyHandover{KeyHandover: &KeyHandover{Slot: 64}}}, "slot"},
		"no cell":         {&Envelope{Body: &Envelope_Grants{Grants: &Grants{}}}, "product"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(c.envelope)
			var wrong *FieldError
			switch {
			case c.field == "":
				if !errors.Is(err, ErrNoBody) {
					t.Errorf("got %v", err)
				}
			case !errors.As(err, &wrong) || wrong.Field != c.field:
				t.Errorf("got %v, want field %s refused", err, c.field)
			}
		})
	}
}

func demand(w *TeamDemand) *Envelope {
	return &Envelope{Body: &Envelope_Demand{Demand: &Demand{Cell: &Cell{Product: "p"}, Waiting: []*TeamDemand{w}}}}
}

// FuzzDecode checks that no bytes of a peer make the router fail, and that what is accepted survives a round trip.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		bytes, err := proto.Marshal(Encode(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes)
	}
	f.Fuzz(func(t *testing.T, bytes []byte) {
		var e Envelope
		if proto.Unmarshal(bytes, &e) != nil {
			return
		}
		m, err := Decode(&e)
		if err != nil {
			return
		}
		if _, err := Decode(Encode(m)); err != nil {
			t.Errorf("accepted once, then refused: %v", err)
		}
	})
}
