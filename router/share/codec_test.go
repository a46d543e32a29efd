package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/digest"
)

func message(servers, teams int) *digest.Message {
	s := &digest.Sum{Routers: 82, Servers: map[uint32]digest.Use{}, Teams: map[uint32]digest.Rates{}}
	for i := range servers {
		s.Servers[uint32(i)*2654435761] = digest.Use{Requests: int64(i%60) + 1, Prefill: 16 * int64(i%900), Memory: 64 * int64(i%3000)}
	}
	for i := range teams {
		s.Teams[uint32(i)*2246822519] = digest.Rates{Demand: 16 * int64(i+1), Served: 16 * int64(i), Held: 16 * int64(i%3)}
	}
	return &digest.Message{From: "10.0.0.1:7000", Position: digest.Position{Era: 2, Revision: 99}, Others: s}
}

func at(revision int64) digest.Position { return digest.Position{Era: 2, Revision: revision} }

func TestRoundTrip(t *testing.T) {
	want := message(144, 30)
	want.Part, want.Centre = want.Others, want.Others
	want.Leave = true
	want.Update = &digest.Update{
		Position: at(9), Age: 120 * time.Millisecond, From: at(3), To: at(8),
		Changes: []digest.Change{{Key: "a", Value: []byte("x"), Revision: 4}, {Key: "b", Revision: 8, Deleted: true}},
		Part:    &digest.Part{Key: "c", Revision: 9, Offset: 2, Size: 5, Bytes: []byte("yz")},
	}
	want.Want = &digest.Want{After: at(9), Offset: 7}
	want.Members = []digest.Member{{Address: "10.0.0.1:7000", DataCentre: "east", Beat: 1 << 40}, {Address: "[::1]:9", DataCentre: "west", Beat: 3}}
	want.Suspects = []digest.Suspect{{
		Service: 7, ID: 1 << 60, Crashes: []digest.Crash{{Server: 9, Age: 1500 * time.Millisecond, Answered: true}, {Server: 8, Age: time.Millisecond}},
		Cleared: true, ClearedAge: time.Minute, Trials: 2, TriedAge: time.Second,
	}}
	want.Streams = &digest.Streams{
		Told:    []digest.StreamVersion{{Attempt: 1 << 63, Version: 5}, {Attempt: 7, Version: 6, Sole: true}},
		Asked:   []digest.StreamQuestion{{Attempt: 9, Service: 3, Window: 30 * time.Second}},
		Unknown: []uint64{11},
		Several: []digest.SeveralVersions{{Attempt: 12}, {Attempt: 13, Earlier: 9}},
	}
	want.Limits = []digest.RateLimit{{Server: 5, Rate: 6.25, Age: time.Second}, {Server: 6, Age: 2 * time.Second}}
	text, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(*want, got); d != "" {
		t.Error(d)
	}
}

func FuzzDecode(f *testing.F) {
	text, err := Encode(message(3, 2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err != nil {
			return
		}
		if _, err := Encode(&m); err != nil {
			t.Errorf("decoded %q, which cannot be encoded again: %v", text, err)
		}
	})
}

// BenchmarkOthers measures the size and the encoding time of the message from a relay to one router.
func BenchmarkOthers(b *testing.B) {
	for _, size := range []struct{ servers, teams int }{{12, 16}, {144, 30}, {3200, 4900}} {
		b.Run(fmt.Sprintf("%d servers, %d teams", size.servers, size.teams), func(b *testing.B) {
			m := message(size.servers, size.teams)
			text, err := Encode(m)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Encode(m); err != nil {
					b.Fatal(err)
				}
				if _, err := Decode(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "B/message")
		})
	}
}
