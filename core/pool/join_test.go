package pool

import (
	"testing"
	"time"

	"mangolug.org/core/digest"
)

// TestNewRouterSkipsColdServers guards against many routers that start at once: each knows few others, so all of them would
// count themselves among the few that warm up a server.
func TestNewRouterSkipsColdServers(t *testing.T) {
	tests := map[string]struct {
		at     time.Duration
		others []string
		sends  bool
	}{
		"just started, knows one":        {200 * time.Millisecond, []string{"o"}, false},
		"just started, knows none":       {200 * time.Millisecond, nil, false},
		"knows the others for some time": {2 * time.Second, []string{"o"}, true},
		"alone for some time":            {2 * time.Second, nil, false},
		"alone":                          {4 * time.Second, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: "r1", DataCentre: "east"}
			p.Configure(testTable())
			p.SetServer(0, Server{ID: "s0", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, ColdRemaining: time.Minute})
			p.SetPeers(test.at, digest.Sum{Routers: int64(len(test.others))}, true, test.others)
			v, decided := p.Admit(test.at, chatRequest(test.at, 1, 5))
			if sends := decided && v.Run != nil; sends != test.sends {
				t.Errorf("sends to a cold server: %t, want %t", sends, test.sends)
			}
		})
	}
}
