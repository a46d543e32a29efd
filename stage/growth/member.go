package growth

import (
	"fmt"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/member"
)

// fleetView is one router's account of a fleet whose other routers all answer.
type fleetView struct {
	m     *member.Members
	names []string
	view  []uint32
	now   time.Duration
}

func newFleetView(routers int) *fleetView {
	f := &fleetView{m: &member.Members{Self: "router-0", DataCentre: "killary", Incarnation: 1}}
	var vms []fleet.VM
	for i := range routers {
		name := fmt.Sprintf("router-%d", i)
		f.names = append(f.names, name)
		vms = append(vms, fleet.VM{Name: name, Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), DataCentre: "killary", Router: true})
	}
	f.m.UpdateList(0, vms)
	f.beat(1)
	f.view = f.hashes()
	f.beat(1)
	return f
}

// hashes gives the view of a router that regards all as live.
func (f *fleetView) hashes() []uint32 {
	var view []uint32
	for _, b := range f.m.Tick(f.now + fleet.HeartbeatPeriod) {
		view = b.Heartbeat.View
	}
	return view
}

// beat passes a number of heartbeat periods, in each of which every peer is heard once.
func (f *fleetView) beat(periods int) {
	for range periods {
		f.now += fleet.HeartbeatPeriod
		stamp := f.m.Clock(f.now)
		for _, name := range f.names[1:] {
			f.m.Receive(f.now, name, 1, stamp, stamp-1, fleet.Heartbeat{View: f.view, ViewAge: stamp})
		}
		f.m.Tick(f.now)
	}
}

// Member measures a router's membership.
func Member() []Series {
	const role = "member"
	sizes := []int{9, 60, 235, 470}
	return []Series{
		vary(Series{Role: role, Quantity: "ns a heartbeat period", Factor: "routers", Fixed: "all live"}, sizes, func(n int) float64 {
			f := newFleetView(n)
			return nanos(20, f.beat)
		}),
		vary(Series{Role: role, Quantity: "ns to ask for a duty's lenders", Factor: "routers", Fixed: "all live, no view changed"}, sizes, func(n int) float64 {
			f := newFleetView(n)
			return nanos(20, func(times int) {
				for range times {
					f.m.Lenders(f.now, "stain-llm/0")
				}
			})
		}),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "routers", Fixed: "all live"}, sizes, func(n int) float64 {
			return heap(func() held { return held{view: newFleetView(n)} })
		}),
	}
}
