package digest

import (
	"testing"
	"time"
)

// TestAgeOfReadBesideLateMessages guards against an age of the platform's newest read that grows too slowly while messages arrive late, as at routers
// without processor time: nobody reads the platform then, and a removed key stays in force (CONFIG).
func TestAgeOfReadBesideLateMessages(t *testing.T) {
	const (
		lastRead = 4 * time.Second
		silence  = 4 * time.Second
		want     = 3 * time.Second // each router hears of a read by a few messages of up to 0.4 s
	)
	n := &lateNet{net: newNet(8, 3, 5)}
	for now := 5 * time.Millisecond; now < lastRead+silence; now += 5 * time.Millisecond {
		if now <= lastRead && now%(500*time.Millisecond) == 0 {
			n.fleets["c0-0"].ObservePlatform(now, rev(1), rev(1), nil)
			n.fleets["c1-0"].ObservePlatform(now, rev(1), rev(1), nil)
		}
		n.step(now)
	}
	for address, f := range n.fleets {
		if age, ok := f.PlatformAge(lastRead + silence); !ok || age < want {
			t.Errorf("%s: the platform was last read %v ago (known: %t), want %v at least", address, age, ok, want)
		}
	}
}
