package node

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// TestServersArePolledOnReturn takes a data centre out of service and back: the loads of its servers must be
// polled anew only when it comes back.
func TestServersArePolledOnReturn(t *testing.T) {
	n := &Node{Start: Start{Self: "a", DataCentre: "clew", Incarnation: 9, Standalone: true}}
	now, version := time.Second, uint64(0)
	polls := func(state string) int {
		version++
		text := fmt.Appendf(nil, "dataCentre clew %s # ops\nproduct stain model # ops\n"+
			"server stain-1 product stain dataCentre clew address 127.0.0.1:9101 limit 8 # ops\n", state)
		events := []Event{{VMList: &VMList{VMs: vms("a")}}, {ConfigPolled: &ConfigPolled{}}, {Offer: &Offer{Version: version, Text: text}}}
		count := 0
		for range 100 {
			now += 10 * ms
			for _, e := range n.Step(now, time.Unix(1_700_000_000, 0).Add(now), events) {
				if e.Poll != nil && len(e.Poll.Servers) == 1 && e.Poll.Cell == (fleet.Cell{Product: "stain"}) {
					count++
				}
			}
			events = nil
		}
		return count
	}
	for i, c := range []struct {
		state string
		want  int
	}{{"in", 1}, {"out", 0}, {"out", 0}, {"in", 1}, {"in", 0}} {
		if got := polls(c.state); got != c.want {
			t.Errorf("version %d, %s: servers polled anew %d times, want %d", i+1, c.state, got, c.want)
		}
	}
}
