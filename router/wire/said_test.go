package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"mangolug.org/core/fleet"
)

// What a stream says again and again is sent once, and arrives each time.
func TestSaid(t *testing.T) {
	beat := func(incarnation, echoed uint32, view ...uint32) *fleet.Message {
		return &fleet.Message{Incarnation: incarnation, Stamp: 100, Echo: 90, Echoed: echoed, Heartbeat: &fleet.Heartbeat{View: view}}
	}
	bare := proto.Size(Encode(&fleet.Message{Stamp: 100, Echo: 90, Heartbeat: &fleet.Heartbeat{}}))
	cases := map[string]struct {
		messages []*fleet.Message
		bytes    int // of the last envelope beyond a bare one
	}{
		"first":                  {[]*fleet.Message{beat(7, 3, 1, 5)}, 5 + 5 + 10},
		"the same again":         {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 3, 1, 5)}, 2},
		"after another kind":     {[]*fleet.Message{beat(7, 3, 1, 5), {Incarnation: 7, ConfigAsk: &fleet.ConfigAsk{After: 4}}, beat(7, 3, 1, 5)}, 2},
		"another view":           {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 3, 1)}, 2 + 6},
		"the view before that":   {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 3, 1), beat(7, 3, 1, 5)}, 2 + 10},
		"the peer started anew":  {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 4, 1, 5)}, 2 + 5},
		"nothing to say after":   {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 0)}, 2},
		"said again after it":    {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 0), beat(7, 3, 1, 5)}, 2},
		"view of the same start": {[]*fleet.Message{beat(7, 3, 1, 5), beat(7, 3, 1, 5, 9)}, 2 + 14},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sender, receiver Said
			last := 0
			for _, m := range c.messages {
				e := Encode(m)
				want := proto.CloneOf(e)
				sender.Shorten(e)
				last = proto.Size(e)
				if err := receiver.Restore(e); err != nil {
					t.Fatal(err)
				}
				if d := cmp.Diff(want, e, protocmp.Transform()); d != "" {
					t.Errorf("arrived otherwise:\n%s", d)
				}
			}
			if got := last - bare; got != c.bytes {
				t.Errorf("%d bytes beyond a bare heartbeat, want %d", got, c.bytes)
			}
		})
	}
}

// A peer's nonsense is refused, and what was never said stays empty.
func TestRestoreRefuses(t *testing.T) {
	cases := map[string]struct {
		envelope *Envelope
		refused  bool
	}{
		"unknown bit":                  {&Envelope{Repeats: repeatsAll + 1}, true},
		"a view without a heartbeat":   {&Envelope{Repeats: repeatsView, Body: &Envelope_ConfigAsk{ConfigAsk: &ConfigAsk{}}}, true},
		"repeats of what was not said": {&Envelope{Repeats: repeatsAll, Body: &Envelope_Heartbeat{Heartbeat: &Heartbeat{}}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Said
			if err := s.Restore(c.envelope); (err != nil) != c.refused {
				t.Errorf("error %v, want one: %v", err, c.refused)
			}
		})
	}
}
