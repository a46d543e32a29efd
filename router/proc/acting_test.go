package proc

import (
	"testing"
	"time"
)

// actingStep is the time between two decisions of a router.
const actingStep = 100 * time.Millisecond

// maxStale is the greatest time between two reads of an acting reader: a change waits no longer than its share of that.
const maxStale = actingAge + readWait + actingStep

// TestActingReaders guards against changes that wait until the fleet's last read is too old again, as the readers can't reach the platform (CONFIG), and
// against acting readers that go on beside others and so call the platform for nothing.
func TestActingReaders(t *testing.T) {
	for name, c := range map[string]struct {
		acting int           // number of routers whose term begins at the start
		reader time.Duration // time from which on a reader by duty reads every 800 ms
		active int           // number of those that still act after 20 s
		calls  int           // most calls by acting readers in the last 10 s
	}{
		"one, readers out of reach": {acting: 1, reader: time.Hour, active: 1, calls: 10},
		"two at once":               {acting: 2, reader: time.Hour, active: 1, calls: 10},
		"a reader comes back":       {acting: 1, reader: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			routers, ends := make([]actingReader, c.acting), make([]time.Duration, c.acting) // ends of the calls under way
			for i := range routers {
				routers[i].start(0, i)
			}
			newest, calls, stale := time.Duration(0), 0, time.Duration(0)
			for now := actingStep; now < 20*time.Second; now += actingStep {
				if late := now >= 10*time.Second; late {
					stale = max(stale, now-newest)
				}
				if now >= c.reader && now%(8*actingStep) == 0 {
					newest = now
				}
				for i := range routers {
					switch {
					case ends[i] > now:
					case ends[i] > 0:
						routers[i].observe(now, newest)
						newest, ends[i] = now, 0
					case routers[i].due(now, newest):
						ends[i] = now + readWait
						if now >= 10*time.Second {
							calls++
						}
					}
				}
			}
			active := 0
			for _, r := range routers {
				if r.active {
					active++
				}
			}
			if active != c.active || calls > c.calls || stale > maxStale {
				t.Errorf("%d act, %d calls, last read up to %v ago; want %d, at most %d, %v", active, calls, stale, c.active, c.calls, maxStale)
			}
		})
	}
}
