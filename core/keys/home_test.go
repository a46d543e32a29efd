package keys

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// makeKey returns a UUIDv7 whose timestamp is the given time after the epoch.
func makeKey(at time.Duration, number int) string {
	millis := epoch.Add(at).UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, number)
}

func TestMinted(t *testing.T) {
	good := makeKey(0, 1)
	tests := map[string]struct {
		key string
		ok  bool
	}{
		"version 7":        {good, true},
		"upper case":       {strings.ToUpper(good), true},
		"empty":            {"", false},
		"version 4":        {good[:14] + "4" + good[15:], false},
		"other variant":    {good[:19] + "c" + good[20:], false},
		"no hyphen":        {good[:8] + "0" + good[9:], false},
		"not hexadecimal":  {good[:35] + "g", false},
		"too long":         {good + "0", false},
		"in braces":        {"{" + good[:34] + "}", false},
		"hyphen elsewhere": {good[:30] + "-" + good[31:], false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at, ok := Timestamp(tt.key)
			if ok != tt.ok || ok && !at.Equal(epoch) {
				t.Errorf("got %v, %v", at, ok)
			}
		})
	}
}

func TestSlotIgnoresCase(t *testing.T) {
	seen := map[int]bool{}
	for i := range 2000 {
		key := makeKey(time.Duration(i)*time.Second, i)
		slot := Slot("joiners", key)
		if slot < 0 || slot >= Slots || slot != Slot("joiners", strings.ToUpper(key)) {
			t.Fatalf("slot %d of %s", slot, key)
		}
		seen[slot] = true
	}
	if len(seen) != Slots {
		t.Errorf("%d of %d slots used", len(seen), Slots)
	}
}

// testHome is a home whose wall clock and monotonic clock agree.
type testHome struct {
	home Home
	now  time.Duration
}

func (b *testHome) wall() time.Time { return epoch.Add(b.now) }

func (b *testHome) hold(at time.Duration, holds bool) {
	b.now = at
	for slot := range Slots {
		b.home.SetHeld(at, slot, holds, b.wall())
	}
	b.home.Tick(at, b.wall())
}

func (b *testHome) open(key string, digest uint64) string {
	a := b.home.Open(b.now, b.wall(), "router-1", fleet.KeyOpen{Ticket: 5, Team: "joiners", Key: key, Digest: digest})
	text := a.Verdict.String() + " " + a.Reason.String()
	if a.Ticket != 5 {
		text += " ticket lost"
	}
	if a.Wait > 0 {
		text += fmt.Sprintf(" for %d ms", a.Wait)
	}
	if a.Verdict == fleet.KeyAnswered {
		text += fmt.Sprintf(" %d %s truncated=%v", a.Answer.Status, a.Answer.Body, a.Answer.Truncated)
	}
	return text
}

func (b *testHome) close(key string, outcome fleet.KeyVerdict, body string) {
	b.home.Close(b.now, "router-1", fleet.KeyClose{
		Ticket: 5, Team: "joiners", Key: key, Outcome: outcome, Answer: fleet.Answer{Status: 201, Body: []byte(body)},
	})
}

const (
	run     = "run granted"
	tooOld  = "unknown keyTooOld"
	invalid = "refused keyInvalid"
	unknown = "unknown outcomeUnknown"
)

func TestOpen(t *testing.T) {
	const minute = time.Minute
	key := makeKey(minute, 1)
	tests := map[string]struct {
		steps func(b *testHome) string
		want  string
	}{
		"first try": {func(b *testHome) string { return b.open(key, 1) }, run},
		"second try while the first runs": {func(b *testHome) string {
			b.open(key, 1)
			return b.open(key, 1)
		}, "inProgress keyInProgress"},
		"the same key in other letters": {func(b *testHome) string {
			b.open(makeKey(minute, 0xabc), 1)
			return b.open(strings.ToUpper(makeKey(minute, 0xabc)), 1)
		}, "inProgress keyInProgress"},
		"answered": {func(b *testHome) string {
			b.open(key, 1)
			b.close(key, fleet.KeyAnswered, "sent")
			return b.open(key, 1)
		}, "answered none 201 sent truncated=false"},
		"an answer stands": {func(b *testHome) string {
			b.open(key, 1)
			b.close(key, fleet.KeyAnswered, "sent")
			b.close(key, fleet.KeyRefused, "")
			return b.open(key, 1)
		}, "answered none 201 sent truncated=false"},
		"another request under the key": {func(b *testHome) string {
			b.open(key, 1)
			return b.open(key, 2)
		}, "refused keyMismatch"},
		"no byte left": {func(b *testHome) string {
			b.open(key, 1)
			b.close(key, fleet.KeyRefused, "")
			return b.open(key, 1)
		}, run},
		"outcome unknown": {func(b *testHome) string {
			b.open(key, 1)
			b.close(key, fleet.KeyUnknown, "")
			return b.open(key, 1)
		}, unknown},
		"the entry router died": {func(b *testHome) string {
			b.open(key, 1)
			b.hold(minute+DefaultOpenLimit+1, true)
			return b.open(key, 1)
		}, unknown},
		"the entry router was slow": {func(b *testHome) string {
			b.open(key, 1)
			b.hold(minute+DefaultOpenLimit+1, true)
			b.open(key, 1)
			b.close(key, fleet.KeyAnswered, "sent")
			return b.open(key, 1)
		}, "answered none 201 sent truncated=false"},
		"forgotten": {func(b *testHome) string {
			b.open(key, 1)
			b.hold(minute+DefaultRetention, true)
			if n, bytes := b.home.Records(); n != 0 || bytes != 0 {
				return fmt.Sprintf("%d records of %d bytes left", n, bytes)
			}
			return b.open(key, 1)
		}, tooOld},
		"not the home": {func(b *testHome) string {
			b.hold(minute, false)
			return b.open(key, 1)
		}, "refused noMajority"},
		"the hold is stale": {func(b *testHome) string {
			b.now += DefaultHoldMaxAge + 1
			return b.open(key, 1)
		}, "refused noMajority"},
		"minted before the home began": {func(b *testHome) string { return b.open(makeKey(-1, 1), 1) }, tooOld},
		"minted within the guard":      {func(b *testHome) string { return b.open(makeKey(b.home.Guard(), 1), 1) }, tooOld},
		"minted after the guard": {func(b *testHome) string {
			return b.open(makeKey(b.home.Guard()+time.Millisecond, 1), 1)
		}, run},
		"minted ahead and run at once": {func(b *testHome) string {
			return b.open(makeKey(minute+DefaultRunAhead, 1), 1)
		}, run},
		"minted ahead and run later": {func(b *testHome) string {
			return b.open(makeKey(minute+DefaultFutureLimit, 1), 1)
		}, "refused keyInvalid for 1751 ms"},
		"minted ahead and asked for just before it may run": {func(b *testHome) string {
			b.hold(minute+1750*time.Millisecond-1, true)
			return b.open(makeKey(minute+DefaultFutureLimit, 1), 1)
		}, "refused keyInvalid for 1 ms"},
		"minted ahead and asked for when it may run": {func(b *testHome) string {
			b.hold(minute+1750*time.Millisecond, true)
			return b.open(makeKey(minute+DefaultFutureLimit, 1), 1)
		}, run},
		"minted too far ahead": {func(b *testHome) string {
			return b.open(makeKey(minute+DefaultFutureLimit+time.Millisecond, 1), 1)
		}, invalid},
		"minted ahead and asked for when the hold is new": {func(b *testHome) string {
			b.hold(minute, false)
			b.hold(minute+1, true)
			b.hold(minute+DefaultSettleTime, true)
			return b.open(makeKey(minute+b.home.Guard()+2*time.Millisecond, 1), 1)
		}, tooOld + " for 1 ms"},
		"minted within the guard and asked for when the hold is new": {func(b *testHome) string {
			b.hold(minute, false)
			b.hold(minute+1, true)
			b.hold(minute+DefaultSettleTime, true)
			return b.open(makeKey(minute+b.home.Guard(), 1), 1)
		}, tooOld + " for 1 ms"},
		"minted within the guard and asked for when the hold has settled": {func(b *testHome) string {
			b.hold(minute, false)
			b.hold(minute+1, true)
			b.hold(minute+1+DefaultSettleTime, true)
			return b.open(makeKey(minute+b.home.Guard(), 1), 1)
		}, tooOld},
		"minted ahead and asked for when the hold has settled": {func(b *testHome) string {
			b.hold(minute, false)
			b.hold(minute+1, true)
			b.hold(minute+1+DefaultSettleTime, true)
			return b.open(makeKey(minute+b.home.Guard()+2*time.Millisecond, 1), 1)
		}, run},
		"held, lost and held again": {func(b *testHome) string {
			b.hold(minute, false)
			b.hold(minute+1, true)
			return b.open(key, 1)
		}, tooOld + " for 2001 ms"},
		"held, lost, held again and settled": {func(b *testHome) string {
			b.hold(minute, false)
			b.hold(minute+1, true)
			b.hold(minute+1+DefaultSettleTime, true)
			return b.open(key, 1)
		}, tooOld},
		"an answer outlives a lost hold": {func(b *testHome) string {
			b.open(key, 1)
			b.close(key, fleet.KeyAnswered, "sent")
			b.hold(minute, false)
			b.hold(minute+1, true)
			return b.open(key, 1)
		}, "answered none 201 sent truncated=false"},
		"the wall clock jumped": {func(b *testHome) string {
			b.home.Tick(b.now, b.wall().Add(DefaultClockError+time.Millisecond))
			return b.open(key, 1)
		}, tooOld + " for 2001 ms"},
		"not a UUIDv7": {func(b *testHome) string { return b.open("walnut", 1) }, invalid},
		"closed without having been opened": {func(b *testHome) string {
			b.close(key, fleet.KeyAnswered, "sent")
			return b.open(key, 1)
		}, run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &testHome{}
			b.hold(0, true)
			b.hold(minute, true)
			if d := cmp.Diff(tt.want, tt.steps(b)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestBytesAreBounded(t *testing.T) {
	b := &testHome{home: Home{Settings: Settings{Bytes: 5000}}}
	b.hold(0, true)
	b.hold(time.Minute, true)
	refused, truncated := 0, 0
	for i := range 30 {
		key := makeKey(time.Minute, i)
		if b.open(key, 1) != run {
			refused++
			continue
		}
		b.close(key, fleet.KeyAnswered, strings.Repeat("x", 400))
		if _, bytes := b.home.Records(); bytes > 5000 {
			t.Fatalf("%d bytes held", bytes)
		}
	}
	for i := range 30 - refused {
		answer := b.open(makeKey(time.Minute, i), 1)
		if !strings.HasPrefix(answer, "answered none 201") {
			t.Errorf("key %d was forgotten: %s", i, answer)
		}
		if strings.HasSuffix(answer, "truncated=true") {
			truncated++
		}
	}
	if refused == 0 || truncated == 0 {
		t.Errorf("%d keys refused, %d answers truncated, want some of each", refused, truncated)
	}
}

func TestRemovedRecordsAreSwept(t *testing.T) {
	b := &testHome{}
	b.hold(0, true)
	b.hold(time.Minute, true)
	key := makeKey(time.Minute, 1)
	for range 10_000 {
		if got := b.open(key, 1); got != run {
			t.Fatal(got)
		}
		b.close(key, fleet.KeyRefused, "")
	}
	if len(b.home.byStart) > 2*sweepThreshold {
		t.Errorf("%d records in the list", len(b.home.byStart))
	}
}
