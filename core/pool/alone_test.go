package pool

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/digest"
)

// let admits requests of a team one after the other, and gives how many are within its share.
func admitWithinShare(p *Pool, now time.Duration, team string, n int) int {
	within := 0
	for i := range n {
		a := chatRequest(now, i, uint64(i)+10)
		a.Team = team
		p.Admit(now, a)
		if !a.overShare {
			within++
		}
	}
	return within
}

// Guards against a router that knows nothing of the others, or of few of them, and lets its callers have the whole fleet's throughput.
func TestRouterAloneKeepsToItsPart(t *testing.T) {
	others := make([]string, 9)
	for i := range others {
		others[i] = fmt.Sprint("o", i)
	}
	tests := map[string]struct {
		known  bool
		covers int64
		alone  bool
	}{
		"nothing known": {false, 0, true},
		"none covered":  {true, 0, true},
		"few covered":   {true, 1, true},
		"most covered":  {true, 6, false},
		"all covered":   {true, 9, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(9)
			now := time.Second
			p.Others(now, digest.Sum{Routers: test.covers}, test.known, others)
			// Seven requests of 9,100 tokens are two thirds of what the fleet does in a second, and far beyond a tenth or four.
			admitWithinShare(p, now, "hot", 7)
			now += levelPeriod
			// Three more are within the fleet's throughput, and beyond the part of the routers that are known of.
			if within := admitWithinShare(p, now, "hot", 3); (within < 3) != test.alone {
				t.Errorf("of three more requests of a team that asked for two thirds of the throughput %d are within its share, alone %t", within, test.alone)
			}
		})
	}
}

// Guards against rates of teams that go on counting when nothing is heard of the other routers any more.
func TestOldRatesOfTeamsStopCounting(t *testing.T) {
	p := newPool(9)
	const team = "t"
	others := []string{"o"}
	p.Others(time.Second, digest.Sum{Routers: 1, Teams: map[uint32]digest.Rates{nameID(team): {Asked: 200000, Served: 90000}, nameID("u"): {Asked: 200000, Served: 10}}}, true, others)
	admitWithinShare(p, time.Second, team, 1)
	if s := p.Shares(time.Second); s.Asked < 400000 {
		t.Fatalf("asked %.0f tokens a second, the others told of 400000", s.Asked)
	}
	p.Others(2*time.Second, digest.Sum{}, false, others)
	if s := p.Shares(2 * time.Second); s.Asked < 400000 {
		t.Errorf("asked %.0f tokens a second a second later, the others told of 400000", s.Asked)
	}
	now := time.Second + peerMaxAge + time.Millisecond
	p.Others(now, digest.Sum{}, false, others)
	if s := p.Shares(now); s.Asked > 20000 {
		t.Errorf("asked %.0f tokens a second long after the others were heard of, want what is asked here", s.Asked)
	}
}
