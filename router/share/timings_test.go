package share

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"mangolug.org/core/digest"
)

// timings returns evidence on n servers of speeds from a quarter to four times the usual one.
func timings(n int) map[uint32]digest.Timing {
	t := make(map[uint32]digest.Timing, n)
	for i := range n {
		expected := int64(40 + 37*i)
		t[uint32(i)*2654435761] = digest.Timing{Expected: expected, Measured: int64(float64(expected) * math.Exp2(float64(i%9)/2-2))}
	}
	return t
}

// TestTimingsRoundTrip guards against speeds that routers take for others than were measured.
func TestTimingsRoundTrip(t *testing.T) {
	sent := message(3, 2)
	sent.Others.Timings = timings(112)
	text, err := Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if err != nil || len(got.Others.Timings) != 112 {
		t.Fatalf("%d timings, %v", len(got.Others.Timings), err)
	}
	for id, want := range sent.Others.Timings {
		e := got.Others.Timings[id]
		speed, wanted := float64(e.Expected)/float64(e.Measured), float64(want.Expected)/float64(want.Measured)
		weight := float64(e.Expected) / float64(want.Expected)
		if math.Abs(math.Log(speed/wanted)) > 0.05 || math.Abs(math.Log(weight)) > 0.06 {
			t.Errorf("%+v of %+v", e, want)
		}
	}
}

// TestTimingsInvalid guards against a message with odd evidence whose loads are lost, or that is taken for a speed.
func TestTimingsInvalid(t *testing.T) {
	for name, c := range map[string]struct {
		totals *Totals
		want   int
	}{
		"none":             {totals: &Totals{}},
		"whole":            {&Totals{Timed: []uint32{1, 2}, Expected: []byte{9, 8}, Slowness: []byte{128, 0}}, 2},
		"short weights":    {totals: &Totals{Timed: []uint32{1, 2}, Expected: []byte{9}, Slowness: []byte{128, 128}}},
		"long slowness":    {totals: &Totals{Timed: []uint32{1}, Expected: []byte{9}, Slowness: []byte{128, 128}}},
		"no servers":       {totals: &Totals{Expected: []byte{9}, Slowness: []byte{128}}},
		"weight of none":   {totals: &Totals{Timed: []uint32{1}, Expected: []byte{0}, Slowness: []byte{128}}},
		"largest of each":  {&Totals{Timed: []uint32{1}, Expected: []byte{255}, Slowness: []byte{255}}, 1},
		"smallest of each": {&Totals{Timed: []uint32{1}, Expected: []byte{1}, Slowness: []byte{0}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.totals.Servers, c.totals.Requests, c.totals.Prefill, c.totals.Memory = []uint32{7}, []uint32{3}, []uint32{0}, []uint32{0}
			text, err := proto.Marshal(&Datagram{From: "r", Others: c.totals})
			if err != nil {
				t.Fatal(err)
			}
			m, err := Decode(text)
			if err != nil || m.Others.Servers[7].Requests != 3 || len(m.Others.Timings) != c.want {
				t.Fatalf("%+v, %v", m.Others, err)
			}
			for _, e := range m.Others.Timings {
				if e.Expected <= 0 || e.Measured <= 0 {
					t.Errorf("timing %+v", e)
				}
			}
		})
	}
}

// TestTimingsBytes guards against evidence that takes more than its 500 bytes a second, of 4 KB for all control messages, and 2 KB at 3,200
// servers.
func TestTimingsBytes(t *testing.T) {
	for servers, limit := range map[int]float64{9: 500, 112: 500, 800: 500, 3200: 2000} {
		bare, full := message(servers, 30), message(servers, 30)
		full.Others.Timings = timings(servers)
		a, errA := Encode(bare)
		b, errB := Encode(full)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		period := digest.TimingsPeriod(servers)
		perSecond := float64(len(b)-len(a)) / period.Seconds()
		t.Logf("%d servers: %d bytes more in one message of %d each %v, %.0f a second", servers, len(b)-len(a), len(b), period, perSecond)
		if perSecond > limit {
			t.Errorf("%d servers: %.0f bytes a second, at most %.0f", servers, perSecond, limit)
		}
	}
}
