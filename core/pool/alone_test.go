package pool

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/digest"
)

// admitWithinShare admits n requests of a team and returns how many are within its share.
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

// TestIsolatedRouterKeepsToItsShare guards against a router that knows none or few of its peers and gives its callers the
// throughput of the whole fleet.
func TestIsolatedRouterKeepsToItsShare(t *testing.T) {
	others := make([]string, 9)
	for i := range others {
		others[i] = fmt.Sprint("o", i)
	}
	tests := map[string]struct {
		known    bool
		covers   int64
		isolated bool
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
			p.SetPeers(now, digest.Sum{Routers: test.covers}, test.known, others)
			// Seven requests of 9,100 tokens are two thirds of the fleet's throughput in a second, and far more than a tenth
			// or four.
			admitWithinShare(p, now, "hot", 7)
			now += levelPeriod
			// Three more are within the fleet's throughput, and over the share of the known routers.
			if within := admitWithinShare(p, now, "hot", 3); (within < 3) != test.isolated {
				t.Errorf("%d of three more requests are within the share of a team that has used two thirds of the throughput; isolated %t", within, test.isolated)
			}
		})
	}
}

// TestStaleTeamRatesExpire guards against team rates that still count after the peers' reports have stopped.
func TestStaleTeamRatesExpire(t *testing.T) {
	p := newPool(9)
	const team = "t"
	others := []string{"o"}
	p.SetPeers(time.Second, digest.Sum{Routers: 1, Teams: map[uint32]digest.Rates{nameID(team): {Demand: 200000, Served: 90000}, nameID("u"): {Demand: 200000, Served: 10}}}, true, others)
	admitWithinShare(p, time.Second, team, 1)
	if s := p.FairShares(time.Second); s.Demand < 400000 {
		t.Fatalf("demand %.0f tokens per second, want at least the 400000 that the peers reported", s.Demand)
	}
	p.SetPeers(2*time.Second, digest.Sum{}, false, others)
	if s := p.FairShares(2 * time.Second); s.Demand < 400000 {
		t.Errorf("demand %.0f tokens per second a second after the report, want at least the 400000 reported", s.Demand)
	}
	now := time.Second + peerMaxAge + time.Millisecond
	p.SetPeers(now, digest.Sum{}, false, others)
	if s := p.FairShares(now); s.Demand > 20000 {
		t.Errorf("demand %.0f tokens per second after the peers' report has expired, want only the local demand", s.Demand)
	}
}
