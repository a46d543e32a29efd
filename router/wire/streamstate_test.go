package wire

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"mangolug.org/core/fleet"
)

// TestSaid checks that a repeated value is sent only once and is restored in each envelope.
func TestSaid(t *testing.T) {
	heartbeat := func(incarnation, echoed uint32, view ...uint32) *fleet.Message {
		return &fleet.Message{Incarnation: incarnation, Stamp: 100, Echo: 90, Echoed: echoed, Heartbeat: &fleet.Heartbeat{View: view}}
	}
	demand := func(team string) *fleet.Message {
		return &fleet.Message{Stamp: 100, Demand: &fleet.Demand{Cell: fleet.Cell{Product: "stain"}, Waiting: []fleet.TeamDemand{{Team: team}}}}
	}
	grant := &fleet.Message{Stamp: 100, Grants: &fleet.Grants{Cell: fleet.Cell{Product: "stain"}, Grants: []fleet.Grant{
		{Team: "oak", Server: "stain-1", Address: "10.1.0.4:9001"},
	}}}
	bare := proto.Size(Encode(&fleet.Message{Stamp: 100, Echo: 90, Heartbeat: &fleet.Heartbeat{}}))
	cases := map[string]struct {
		messages []*fleet.Message
		bytes    int // size of the last envelope beyond that of an empty heartbeat
		full     int // number of messages at the start that are sent in full
	}{
		"first":                  {[]*fleet.Message{heartbeat(7, 3, 1, 5)}, 5 + 5 + 10, 0},
		"the same again":         {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 3, 1, 5)}, 2, 0},
		"after another kind":     {[]*fleet.Message{heartbeat(7, 3, 1, 5), {Incarnation: 7, ConfigAsk: &fleet.ConfigAsk{After: 4}}, heartbeat(7, 3, 1, 5)}, 2, 0},
		"another view":           {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 3, 1)}, 2 + 6, 0},
		"the view before that":   {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 3, 1), heartbeat(7, 3, 1, 5)}, 2 + 10, 0},
		"the peer restarted":     {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 4, 1, 5)}, 2 + 5, 0},
		"nothing to repeat":      {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 0)}, 2, 0},
		"repeated after a gap":   {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 0), heartbeat(7, 3, 1, 5)}, 2, 0},
		"demand":                 {[]*fleet.Message{demand("oak")}, 14, 0},
		"demand again":           {[]*fleet.Message{demand("oak"), demand("oak")}, 6, 0},
		"demand of another team": {[]*fleet.Message{demand("oak"), demand("elm"), demand("oak"), demand("elm")}, 6, 0},
		"grant":                  {[]*fleet.Message{grant}, 38, 0},
		"grant again":            {[]*fleet.Message{grant, grant}, 10, 0},
		"grant after demand":     {[]*fleet.Message{demand("oak"), grant}, 30, 0},
		"full, then again":       {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 3, 1, 5)}, 2, 1},
		"names full at first":    {[]*fleet.Message{demand("oak"), demand("elm"), demand("oak"), demand("elm")}, 6, 3},
		"grants full at first":   {[]*fleet.Message{grant, grant, grant}, 10, 2},
		"view of the same start": {[]*fleet.Message{heartbeat(7, 3, 1, 5), heartbeat(7, 3, 1, 5, 9)}, 2 + 14, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sender, receiver StreamState
			last := 0
			for i, m := range c.messages {
				e := Encode(m)
				want := proto.CloneOf(e)
				if i < c.full {
					sender.Record(e)
				} else {
					sender.Shorten(e)
				}
				last = proto.Size(e)
				if err := receiver.Restore(e); err != nil {
					t.Fatal(err)
				}
				if d := cmp.Diff(want, e, protocmp.Transform()); d != "" {
					t.Errorf("restored envelope differs (-want +got):\n%s", d)
				}
			}
			if got := last - bare; got != c.bytes {
				t.Errorf("%d bytes more than an empty heartbeat, want %d", got, c.bytes)
			}
		})
	}
}

// TestManyNames checks that names beyond those that a stream remembers are sent in full.
func TestManyNames(t *testing.T) {
	var sender, receiver StreamState
	for round := range 2 {
		for n := range maxNames + 10 {
			team := fmt.Sprint("team-", n)
			e := Encode(&fleet.Message{Demand: &fleet.Demand{Waiting: []fleet.TeamDemand{{Team: team}}}})
			sender.Shorten(e)
			if full := e.GetDemand().Waiting[0].Team != ""; full != (round == 0 || n >= maxNames) {
				t.Errorf("round %d: %s sent in full: %v", round, team, full)
			}
			if err := receiver.Restore(e); err != nil || e.GetDemand().Waiting[0].Team != team {
				t.Errorf("%s arrived as %v, %v", team, e, err)
			}
		}
	}
}

// TestRestoreRefuses checks that invalid references are rejected, and that a repeated value that was never sent stays empty.
func TestRestoreRefuses(t *testing.T) {
	cases := map[string]struct {
		envelope *Envelope
		refused  bool
	}{
		"unknown bit":                {&Envelope{Repeats: repeatsAll + 1}, true},
		"a view without a heartbeat": {&Envelope{Repeats: repeatsView, Body: &Envelope_ConfigAsk{ConfigAsk: &ConfigAsk{}}}, true},
		"a name that was never carried": {
			&Envelope{Body: &Envelope_Demand{Demand: &Demand{Cell: &Cell{ProductNamed: 1}}}}, true,
		},
		"a name and its number": {
			&Envelope{Body: &Envelope_Demand{Demand: &Demand{Cell: &Cell{Product: "stain", ProductNamed: 1}}}}, true,
		},
		"repeats of values never sent": {&Envelope{Repeats: repeatsAll, Body: &Envelope_Heartbeat{Heartbeat: &Heartbeat{}}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s StreamState
			if err := s.Restore(c.envelope); (err != nil) != c.refused {
				t.Errorf("error %v, want an error: %v", err, c.refused)
			}
		})
	}
}
