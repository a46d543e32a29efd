package wire

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"mangolug.org/core/fleet"
)

// samples holds one message of each kind with all fields set.
func samples() map[string]*fleet.Message {
	cell := fleet.Cell{Product: "stain-llm", Part: 2}
	limits := &fleet.Limits{Term: 9, Version: 2, Since: 1, Servers: []fleet.ServerLimit{{Server: "stain-1", Epoch: 5, Limit: 8}}}
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
			Limits:  limits,
		}},
		"grants": {Grants: &fleet.Grants{Cell: cell, Term: 9, Basis: 88, TellAll: true, Grants: []fleet.Grant{
			{ID: 78, Team: "carpenters", Server: "stain-1", Address: "127.0.0.1:9101", Fencing: true},
		}, Limits: limits}},
		"keyOpen":   {KeyOpen: &fleet.KeyOpen{Ticket: 1, Team: "farm", Key: "k", Digest: 8}},
		"keyAnswer": {KeyAnswer: &fleet.KeyAnswer{Ticket: 1, Verdict: fleet.KeyAnswered, Reason: fleet.ReasonKeyTooOld, Answer: answer, Wait: 9}},
		"keyClose":  {KeyClose: &fleet.KeyClose{Ticket: 6, Router: "carraig-1", Team: "farm", Key: "k", Outcome: fleet.KeyAnswered, Answer: answer}},
		"keyHandover": {KeyHandover: &fleet.KeyHandover{
			Slot: 5, Number: 2, Part: 1, Parts: 3, Since: 1_800_000_000_000,
			Loans: []fleet.KeyLoan{{Router: "carraig-1", Incarnation: 3, ViewSeq: 9}},
			Records: []fleet.KeyRecord{
				{Team: "farm", Key: "k", Router: "carraig-2", Ticket: 7, Digest: 8, Verdict: fleet.KeyAnswered, Age: 20, Answer: answer},
			},
		}},
		"keyRecall":   {KeyRecall: &fleet.KeyRecall{Slot: 5, Number: 2}},
		"keyRecalled": {KeyHandover: &fleet.KeyHandover{Slot: 5, Recall: 2, Parts: 1, Since: 1_800_000_000_000}},
		"keyCopy": {KeyCopy: &fleet.KeyCopy{Done: true, Kept: true, Record: fleet.KeyRecord{
			Team: "farm", Key: "k", Router: "carraig-2", Ticket: 7, Digest: 8, Verdict: fleet.KeyAnswered, Age: 20, Answer: answer,
		}}},
		"configAsk": {ConfigAsk: &fleet.ConfigAsk{After: 4}},
		"listText": {ListText: &fleet.ListText{Ask: true, Address: "127.0.0.1:7001", Age: 9, Digest: 77, VMs: []fleet.VM{
			{Name: "r1", Address: "127.0.0.1:7001", Admin: "127.0.0.1:8001", DataCentre: "lahore", Router: true, State: fleet.VMLeaving},
		}}},
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
				t.Errorf("decoded message differs (-want +got):\n%s", d)
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
		"negative wait":   {&Envelope{Body: &Envelope_KeyAnswer{KeyAnswer: &KeyAnswer{Wait: -1}}}, "wait"},
		"negative age":    {list(&ListText{Age: -1}), "age"},
		"VM without":      {list(&ListText{Vms: []*VM{{}}}), "name"},
		"unknown state":   {list(&ListText{Vms: []*VM{{Name: "r", State: 2}}}), "state"},
		"long address":    {list(&ListText{Address: strings.Repeat("1", fleet.MaxField+1)}), "address"},
		"unknown slot":    {&Envelope{Body: &Envelope_KeyHandover{KeyHandover: &KeyHandover{Slot: 64}}}, "slot"},
		"unknown recall":  {&Envelope{Body: &Envelope_KeyRecall{KeyRecall: &KeyRecall{Slot: -1}}}, "slot"},
		"empty copy":      {&Envelope{Body: &Envelope_KeyCopy{KeyCopy: &KeyCopy{}}}, "team"},
		"no cell":         {&Envelope{Body: &Envelope_Grants{Grants: &Grants{}}}, "product"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(c.envelope)
			var fieldErr *FieldError
			switch {
			case c.field == "":
				if !errors.Is(err, ErrNoBody) {
					t.Errorf("got %v", err)
				}
			case !errors.As(err, &fieldErr) || fieldErr.Field != c.field:
				t.Errorf("got %v, want field %s rejected", err, c.field)
			}
		})
	}
}

func TestUnknownBody(t *testing.T) {
	scalar := protowire.AppendVarint(protowire.AppendTag(nil, 98, protowire.VarintType), 7)
	body := protowire.AppendBytes(protowire.AppendTag(nil, 99, protowire.BytesType), []byte("later"))
	cases := map[string]struct {
		envelope *Envelope
		unknown  []byte
		want     error
	}{
		"body":                 {&Envelope{}, body, &UnknownBodyError{Number: 99}},
		"scalar and body":      {&Envelope{}, append(scalar, body...), &UnknownBodyError{Number: 99}},
		"scalar alone":         {&Envelope{}, scalar, ErrNoBody},
		"cut short":            {&Envelope{}, body[:3], ErrNoBody},
		"beside a known body":  {Encode(&fleet.Message{ConfigAsk: &fleet.ConfigAsk{After: 3}}), body, nil},
		"beside a broken body": {demand(&TeamDemand{Waiting: 1}), body, &FieldError{Field: "team"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.envelope.ProtoReflect().SetUnknown(c.unknown)
			_, err := Decode(c.envelope)
			if fmt.Sprintf("%T %v", err, err) != fmt.Sprintf("%T %v", c.want, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func demand(w *TeamDemand) *Envelope {
	return &Envelope{Body: &Envelope_Demand{Demand: &Demand{Cell: &Cell{Product: "p"}, Waiting: []*TeamDemand{w}}}}
}

func list(w *ListText) *Envelope { return &Envelope{Body: &Envelope_ListText{ListText: w}} }

// TestLargestListFits encodes lists of the maximum size, one of few long names and one of many short names.
func TestLargestListFits(t *testing.T) {
	for name, length := range map[string]int{"long": fleet.MaxField, "short": 5} {
		t.Run(name, func(t *testing.T) {
			long := strings.Repeat("x", length)
			v := fleet.VM{Name: long, Address: long, Admin: long, DataCentre: long, Router: true, State: fleet.VMLeaving}
			l := &fleet.ListText{Age: MaxCount, Digest: 1, VMs: slices.Repeat([]fleet.VM{v}, fleet.MaxListText/(4*length+16))}
			e := Encode(&fleet.Message{Incarnation: 1, Stamp: MaxCount, Echo: MaxCount, Echoed: 1, ListText: l})
			if _, err := Decode(e); err != nil || proto.Size(e) > MaxMessage {
				t.Errorf("%d VMs in %d bytes, error %v", len(l.VMs), proto.Size(e), err)
			}
		})
	}
}

// TestListOfLaterSize logs the encoded size of a list of 470 routers and 3,200 engines, and of a message that only advertises it.
func TestListOfLaterSize(t *testing.T) {
	l := &fleet.ListText{Age: 10_000, Digest: 1}
	for i := range 470 {
		l.VMs = append(l.VMs, fleet.VM{
			Name: fmt.Sprintf("router-faisalabad-%d", i), Address: fmt.Sprintf("10.20.%d.%d:7000", i/250, i%250),
			Admin: fmt.Sprintf("10.20.%d.%d:7001", i/250, i%250), DataCentre: "faisalabad", Router: true,
		})
	}
	for i := range 3200 {
		l.VMs = append(l.VMs, fleet.VM{
			Name: fmt.Sprintf("stain-llm-faisalabad-%d", i), Address: fmt.Sprintf("10.21.%d.%d:8000", i/250, i%250), DataCentre: "faisalabad",
		})
	}
	full := proto.Size(Encode(&fleet.Message{Incarnation: 1, Stamp: 1e9, Echo: 1e9, Echoed: 1, ListText: l}))
	header := proto.Size(Encode(&fleet.Message{Incarnation: 1, Stamp: 1e9, Echo: 1e9, Echoed: 1, ListText: &fleet.ListText{
		Address: l.VMs[0].Address, Age: l.Age, Digest: l.Digest,
	}}))
	t.Logf("%d bytes in full, %d to advertise it", full, header)
	if full > MaxMessage/4 || header > 100 {
		t.Error("too large")
	}
}

// FuzzDecode checks that no input from a peer makes the router panic, and that an accepted message survives a round trip.
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
		if new(StreamState).Restore(&e) != nil {
			return
		}
		m, err := Decode(&e)
		if err != nil {
			return
		}
		if _, err := Decode(Encode(m)); err != nil {
			t.Errorf("accepted at first, but rejected after a round trip: %v", err)
		}
	})
}
