package keys

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
)

// TestInherit hands over the slots of one home to another that has just begun to hold them.
func TestInherit(t *testing.T) {
	const minute = time.Minute
	const late = 50 * time.Millisecond
	key, fresh := makeKey(minute, 1), makeKey(minute+late, 2)
	tests := map[string]struct {
		former func(b *testHome)
		next   func(b *testHome, give func()) string
		want   string
	}{
		"while it waits": {func(*testHome) {}, func(b *testHome, _ func()) string { return b.open(fresh, 1) }, "refused noMajority"},
		"nothing came": {func(*testHome) {}, func(b *testHome, _ func()) string {
			b.hold(minute+DefaultSettleTime, true)
			return b.open(fresh, 1)
		}, tooOld},
		"a new key": {func(*testHome) {}, func(b *testHome, give func()) string {
			give()
			return b.open(fresh, 1)
		}, run},
		"a key older than the former hold": {func(*testHome) {}, func(b *testHome, give func()) string {
			give()
			return b.open(makeKey(0, 3), 1)
		}, tooOld},
		"a key in progress": {func(b *testHome) { b.open(key, 1) }, func(b *testHome, give func()) string {
			give()
			return b.open(key, 1)
		}, "inProgress keyInProgress"},
		"a key in progress that is closed here": {func(b *testHome) { b.open(key, 1) }, func(b *testHome, give func()) string {
			give()
			b.close(key, fleet.KeyAnswered, "oak")
			return b.open(key, 1)
		}, "answered none 201 oak truncated=false"},
		"a key that was freed": {func(b *testHome) {
			b.open(key, 1)
			b.close(key, fleet.KeyRefused, "")
		}, func(b *testHome, give func()) string {
			give()
			return b.open(key, 1)
		}, run},
		"an answer": {func(b *testHome) {
			b.open(key, 1)
			b.close(key, fleet.KeyAnswered, "oak")
		}, func(b *testHome, give func()) string {
			give()
			return b.open(key, 1)
		}, "answered none 201 oak truncated=false"},
		"a long answer": {func(b *testHome) {
			b.open(key, 1)
			b.close(key, fleet.KeyAnswered, strings.Repeat("x", maxHandoverBody+1))
		}, func(b *testHome, give func()) string {
			give()
			return b.open(key, 1)
		}, "answered none 201  truncated=true"},
		"twice": {func(b *testHome) { b.open(key, 1) }, func(b *testHome, give func()) string {
			give()
			b.close(key, fleet.KeyAnswered, "oak")
			give()
			return b.open(key, 1)
		}, "answered none 201 oak truncated=false"},
		"too late": {func(*testHome) {}, func(b *testHome, give func()) string {
			b.hold(minute+time.Second, true)
			give()
			b.hold(minute+DefaultSettleTime, true)
			return b.open(fresh, 1)
		}, tooOld},
		"not held": {func(*testHome) {}, func(b *testHome, give func()) string {
			b.hold(minute+late, false)
			give()
			b.hold(minute+2*late, true)
			b.hold(minute+2*late+DefaultSettleTime, true)
			return b.open(fresh, 1)
		}, tooOld},
		"the entry router died before the handover": {func(b *testHome) { b.open(key, 1) }, func(b *testHome, give func()) string {
			give()
			b.hold(minute+DefaultOpenLimit+late, true)
			return b.open(key, 1)
		}, unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			former, next := &testHome{}, &testHome{}
			former.hold(0, true)
			former.hold(minute, true)
			tt.former(former)
			if _, ok := former.home.HandOver(minute, 0); ok {
				t.Error("handed over a slot that is held")
			}
			former.hold(minute, false)
			next.hold(minute, true)
			for slot := range Slots {
				next.home.AwaitHandover(minute, slot, minute+500*time.Millisecond)
			}
			give := func() {
				for slot := range Slots {
					o, ok := former.home.HandOver(minute, slot)
					if !ok {
						t.Fatal("nothing to hand over")
					}
					next.home.Inherit(next.now, slot, o)
				}
			}
			if d := cmp.Diff(tt.want, tt.next(next, give)); d != "" {
				t.Error(d)
			}
		})
	}
}
