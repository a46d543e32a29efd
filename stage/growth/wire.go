package growth

import (
	"google.golang.org/protobuf/proto"

	"mangolug.org/core/fleet"
	"mangolug.org/router/wire"
)

// size gives the bytes of a message between routers, before the transport's own.
func size(m *fleet.Message) float64 {
	m.Incarnation, m.Stamp, m.Echo, m.Echoed = 1<<31, 3_600_000, 3_600_000, 1<<31
	return float64(proto.Size(wire.Encode(m)))
}

// sizeAgain gives the bytes of a message that its stream carried before.
func sizeAgain(m *fleet.Message) float64 {
	var said wire.StreamState
	sizeOn(&said, m)
	return sizeOn(&said, m)
}

// sizeOn gives the bytes of the next message on a stream.
func sizeOn(said *wire.StreamState, m *fleet.Message) float64 {
	m.Incarnation, m.Stamp, m.Echo, m.Echoed = 1<<31, 3_600_000, 3_600_000, 1<<31
	e := wire.Encode(m)
	said.Shorten(e)
	return float64(proto.Size(e))
}

// Wire measures the bytes of messages between routers.
func Wire() []Series {
	const role = "messages between routers"
	cell := fleet.Cell{Product: "mangolug-pool"}
	const term, grant = uint64(1_800_000_000_000) << 8, uint64(1_800_000_000_000) << 22
	return []Series{
		vary(Series{Role: role, Quantity: "ns to read a heartbeat", Factor: "routers", Fixed: "all live"},
			[]int{9, 60, 235, 470}, func(n int) float64 {
				text, _ := proto.Marshal(wire.Encode(heartbeat(n)))
				return nanos(5000, func(times int) {
					for range times {
						e := &wire.Envelope{}
						if proto.Unmarshal(text, e) == nil {
							_, _ = wire.Decode(e)
						}
					}
				})
			}),
		vary(Series{Role: role, Quantity: "bytes of a heartbeat", Factor: "routers", Fixed: "the view has changed"},
			[]int{9, 60, 235, 470}, func(n int) float64 { return size(heartbeat(n)) }),
		vary(Series{Role: role, Quantity: "bytes of a heartbeat", Factor: "routers", Fixed: "the view is the last one's"},
			[]int{9, 60, 235, 470}, func(n int) float64 { return sizeAgain(heartbeat(n)) }),
		vary(Series{Role: role, Quantity: "bytes of a demand", Factor: "teams that changed", Fixed: "no ends"},
			[]int{1, 5, 20, 80}, func(n int) float64 {
				d := &fleet.Demand{Cell: cell, Seq: 100_000, SeenTerm: term, Seen: grant}
				for i := range n {
					d.Waiting = append(d.Waiting, fleet.TeamDemand{Team: teamName(i), Waiting: 3, Estimate: 400, OldestWait: 900})
				}
				return sizeAgain(&fleet.Message{Demand: d})
			}),
		vary(Series{Role: role, Quantity: "bytes of a demand", Factor: "requests that ended", Fixed: "no team changed"},
			[]int{1, 5, 20, 80}, func(n int) float64 {
				d := &fleet.Demand{Cell: cell, Seq: 100_000, SeenTerm: term, Seen: grant}
				for range n {
					d.Done = append(d.Done, fleet.Done{Grant: grant, Outcome: fleet.OutcomeCompleted, Cost: 400, FirstByte: 300_000, Service: 15_000_000})
				}
				return sizeAgain(&fleet.Message{Demand: d})
			}),
		vary(Series{Role: role, Quantity: "bytes of a demand", Factor: "streams whose cost so far is told", Fixed: "no team changed"},
			[]int{1, 5, 20, 80}, func(n int) float64 {
				d := &fleet.Demand{Cell: cell, Seq: 100_000, SeenTerm: term, Seen: grant}
				for range n {
					d.Running = append(d.Running, fleet.Running{Grant: grant, Cost: 400})
				}
				return sizeAgain(&fleet.Message{Demand: d})
			}),
		vary(Series{Role: role, Quantity: "bytes of grants", Factor: "grants in one message", Fixed: "one router"},
			[]int{1, 5, 20, 80}, func(n int) float64 {
				g := &fleet.Grants{Cell: cell, Term: term, Basis: 3_600_000}
				for i := range n {
					g.Grants = append(g.Grants, fleet.Grant{ID: grant, Team: teamName(i), Server: "engine-100", Address: "10.0.100.100:9000"})
				}
				return sizeAgain(&fleet.Message{Grants: g})
			}),
	}
}

func heartbeat(routers int) *fleet.Message {
	return &fleet.Message{Heartbeat: &fleet.Heartbeat{View: make([]uint32, routers), ViewAge: 3_600_000, ConfigVersion: 1700}}
}
