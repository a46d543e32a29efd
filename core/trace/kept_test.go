package trace

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/core/member"
	"mangolug.org/core/node"
)

var update = flag.Bool("update", false, "rewrite the traces in testdata from their scripts")

// script drives one of three routers and records its steps.
type script struct {
	t     *testing.T
	out   Writer
	state *node.Node
	now   time.Duration
	peers []string // peers that send heartbeats
}

// step advances the clock and passes events to the router.
func (s *script) step(after time.Duration, events ...node.Event) []node.Effect {
	s.now += after
	step := Step{Now: s.now, Wall: int64(s.wall()), Events: events}
	step.Effects = s.state.Step(s.now, time.Unix(0, step.Wall), events)
	if err := s.out.Add(&step); err != nil {
		s.t.Fatal(err)
	}
	return step.Effects
}

func (s *script) wall() time.Duration { return 1_800_000_000*time.Second + s.now }

// run advances the clock in steps of 100 ms, with heartbeats of peers that have the same view as this router.
func (s *script) run(length time.Duration) {
	for end := s.now + length; s.now < end; {
		var events []node.Event
		for _, p := range s.peers {
			h := &fleet.Heartbeat{View: s.view(), ViewAge: s.now.Milliseconds()}
			events = append(events, s.received(p, fleet.Message{Heartbeat: h, Echo: s.now.Milliseconds(), Echoed: 7}))
		}
		s.step(100*time.Millisecond, events...)
	}
}

func (s *script) view() []uint32 {
	view := []uint32{member.Hash("r1")}
	for _, p := range s.peers {
		view = append(view, member.Hash(p))
	}
	for i := range view { // ascending
		for j := i + 1; j < len(view); j++ {
			if view[j] < view[i] {
				view[i], view[j] = view[j], view[i]
			}
		}
	}
	return view
}

func (s *script) received(from string, m fleet.Message) node.Event {
	m.Incarnation, m.Stamp = 9, s.now.Milliseconds()+1
	return node.Event{Received: &node.Received{From: from, Message: m}}
}

// key returns a new key of the team joiners whose home is this router.
func (s *script) key() string {
	for i := byte(0); ; i++ {
		id := uuid.UUID{}
		ms := s.wall().Milliseconds()
		for b := range 6 {
			id[b] = byte(ms >> (8 * (5 - b)))
		}
		id[6], id[8], id[15] = 0x70, 0x80, i
		holder, _ := member.Winner(s.view(), keys.Duty(keys.Slot("joiners", id.String())))
		if holder == member.Hash("r1") {
			return id.String()
		}
	}
}

var scripts = map[string]struct {
	outcome string
	peers   []string
	play    func(s *script)
}{
	"heldPastTheStamp": {
		outcome: "a request that arrives before any router lends itself is granted once this one lends itself",
		play: func(s *script) {
			s.step(100*time.Millisecond, node.Event{Admit: &entry.Request{
				ID: "a", Team: "joiners", Product: "stain-llm", Estimate: 10, Deadline: time.Minute,
			}})
			s.run(4 * time.Second)
		},
	},
	"closeOfAnother": {
		outcome: "a router that asked in vain and takes its question back does not free the key for a second run",
		peers:   []string{"r2", "r3"},
		play: func(s *script) {
			s.run(8 * time.Second)
			key := s.key()
			ask := func(from string, ticket uint64) {
				s.step(time.Millisecond, s.received(from, fleet.Message{KeyOpen: &fleet.KeyOpen{
					Ticket: ticket, Team: "joiners", Key: key, Digest: 1,
				}}))
			}
			ask("r2", 1)
			ask("r3", 2)
			s.step(time.Millisecond, s.received("r3", fleet.Message{KeyClose: &fleet.KeyClose{
				Ticket: 2, Team: "joiners", Key: key, Outcome: fleet.KeyRefused,
			}}))
			ask("r3", 3)
		},
	},
}

func play(t *testing.T, name string) []byte {
	t.Helper()
	var out bytes.Buffer
	c := scripts[name]
	start := node.Start{Self: "r1", DataCentre: "lahore", Incarnation: 7}
	s := &script{t: t, out: Writer{Out: &out}, state: &node.Node{Start: start}, now: time.Millisecond, peers: c.peers}
	if err := s.out.Begin(Header{Start: start, Outcome: c.outcome, Compare: CompareOutcomes}); err != nil {
		t.Fatal(err)
	}
	var vms []fleet.VM
	for _, name := range []string{"r1", "r2", "r3"} {
		vms = append(vms, fleet.VM{Name: name, Address: "127.0.0.1:1", DataCentre: "lahore", Router: true})
	}
	s.step(time.Millisecond, node.Event{VMList: &node.VMList{VMs: vms}},
		node.Event{Offer: &node.Offer{Version: 1, Text: []byte(rules)}}, node.Event{ConfigPolled: &node.ConfigPolled{}})
	c.play(s)
	return out.Bytes()
}

// TestKeptTraces replays a trace for each fixed fault, and checks that its outcomes have not changed.
func TestKeptTraces(t *testing.T) {
	for name := range scripts {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", name+".trace")
			if *update {
				if err := os.WriteFile(path, play(t, name), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			result, err := Replay(bytes.NewReader(data))
			if err != nil {
				t.Errorf("%s: %v", result.Header.Outcome, err)
			}
		})
	}
}
