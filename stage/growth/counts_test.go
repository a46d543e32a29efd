package growth

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCounts holds what a fixed workload costs the fleet in messages, bytes and readers against bounds. It counts in virtual
// time, so that each run gives the same counts. The bounds are those of docs/CAPACITY.md, under the target's.
func TestCounts(t *testing.T) {
	const (
		routers = 9

		idleBytes       = 1300 // a second and router, framing included
		idleMessages    = 27   // a second and router: heartbeats to 8 peers
		requestMessages = 3    // demand, grant, end
		requestBytes    = 200  // in all, framing included
		readers         = 6    // two in each data centre
	)
	idle, busy := count(routers, false), count(routers, true)
	if diff := cmp.Diff(busy, count(routers, true)); diff != "" {
		t.Errorf("two runs differ (-first +second):\n%s", diff)
	}
	if busy.Requests == 0 || busy.Granted != busy.Requests || busy.Refused > 0 {
		t.Fatalf("not every request was granted: %+v", busy)
	}
	routerSeconds, requests := routers*countedLength.Seconds(), float64(busy.Requests)
	for name, c := range map[string]struct{ got, bound float64 }{
		"bytes a second of an idle router":    {(idle.Heartbeats.framed() + idle.Control.framed()) / routerSeconds, idleBytes},
		"messages a second of an idle router": {float64(idle.Heartbeats.Messages+idle.Control.Messages) / routerSeconds, idleMessages},
		"messages a request":                  {float64(busy.Control.Messages) / requests, requestMessages},
		"bytes a request":                     {busy.Control.framed() / requests, requestBytes},
		"grants sent a request":               {float64(busy.Grants) / requests, 1},
		"readers":                             {float64(busy.Readers), readers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Logf("%.2f, bound %.2f", c.got, c.bound)
			if c.got > c.bound {
				t.Errorf("%.2f, bound %.2f", c.got, c.bound)
			}
		})
	}
}
