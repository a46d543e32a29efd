package growth

import (
	"fmt"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
	"mangolug.org/router/wire"
)

// The fixed workload of a counted fleet stays below what its engines bear, so that nothing has to be refused.
const (
	countedTick     = 5 * time.Millisecond // also the delay of a message
	countedWarmup   = 20 * time.Second
	countedLength   = 20 * time.Second
	countedRequests = 100 // a second, over all routers and teams in turn
	countedService  = 200 * time.Millisecond
	countedTeams    = 15
	countedEngines  = 10

	framing = 25 // bytes of a message beside its own
)

// counts are what the fleet did in the counted time.
type counts struct {
	Requests, Granted, Refused, Grants int
	Heartbeats                         traffic // and lists of VMs
	Control                            traffic // demand, grants and ends
	Readers                            int     // of the configuration service, at the end
}

// traffic is what routers sent to their peers.
type traffic struct {
	Messages, Bytes int // before the transport's own
}

func (t *traffic) add(m fleet.Message, said *wire.StreamState) {
	t.Messages++
	t.Bytes += int(sizeOn(said, &m))
}

// framed gives the bytes with those of the transport.
func (t traffic) framed() float64 { return float64(t.Bytes + framing*t.Messages) }

// stream goes from one router to another, by their places.
type stream struct{ from, to int }

// counted is a fleet of routers in virtual time.
type counted struct {
	counts
	nodes  []*node.Node
	names  map[string]int
	said   map[stream]*wire.StreamState
	now    time.Duration
	due    []time.Duration
	later  map[time.Duration][]func() // by when
	events [][]node.Event
}

func newCounted(routers int) *counted {
	c := &counted{names: map[string]int{}, said: map[stream]*wire.StreamState{}, later: map[time.Duration][]func(){}, now: time.Second}
	text := ruleText(countedTeams, countedEngines)
	var vms []fleet.VM
	centres := []string{"killary", "clew", "bertra"}
	for i := range routers {
		name := fmt.Sprintf("router-%d", i+1)
		c.names[name] = i
		vms = append(vms, fleet.VM{Name: name, Address: "127.0.0.1:" + name, DataCentre: centres[i%len(centres)], Router: true})
		c.nodes = append(c.nodes, &node.Node{Start: node.Start{Self: name, DataCentre: centres[i%len(centres)], Incarnation: 1, Seed: uint64(i)}})
	}
	c.due, c.events = make([]time.Duration, routers), make([][]node.Event, routers)
	for i := range c.nodes {
		c.post(i, node.Event{VMList: &node.VMList{VMs: vms}})
		c.post(i, node.Event{Offer: &node.Offer{Version: 1, Text: text}})
		c.post(i, node.Event{ConfigPolled: &node.ConfigPolled{}})
	}
	return c
}

func (c *counted) post(to int, e node.Event) { c.events[to] = append(c.events[to], e) }

func (c *counted) after(d time.Duration, act func()) {
	c.later[c.now+d] = append(c.later[c.now+d], act)
}

// run passes time; requests arrive at a steady rate when load is set.
func (c *counted) run(length time.Duration, load bool) {
	for end := c.now + length; c.now < end; {
		c.now += countedTick
		for _, act := range c.later[c.now] {
			act()
		}
		delete(c.later, c.now)
		if load && c.now%(time.Second/countedRequests) == 0 {
			c.arrive()
		}
		for i, n := range c.nodes {
			if len(c.events[i]) == 0 && c.now < c.due[i] {
				continue
			}
			events := c.events[i]
			c.events[i] = nil
			for _, e := range n.Step(c.now, time.Unix(1_700_000_000, 0).Add(c.now), events) {
				c.carryOut(i, e)
			}
			c.due[i] = c.now + n.UntilNextStep()
		}
	}
}

func (c *counted) arrive() {
	c.Requests++
	r := &entry.Request{
		ID: fmt.Sprint(c.Requests), Team: teamName(c.Requests % countedTeams),
		Product: "mangolug-pool", Estimate: requestCost, Deadline: c.now + 10*time.Second,
	}
	c.post(c.Requests%len(c.nodes), node.Event{Admit: r})
}

func (c *counted) carryOut(from int, e node.Effect) {
	switch {
	case e.Links != nil:
		for name := range c.names {
			if e.Links.Addresses[name] != "" {
				c.after(countedTick, func() { c.post(from, node.Event{PeerConnected: &node.PeerConnected{Peer: name}}) })
			}
		}
	case e.Send != nil:
		m, to := e.Send.Message, c.names[e.Send.To]
		said := c.said[stream{from, to}]
		if said == nil {
			said = &wire.StreamState{}
			c.said[stream{from, to}] = said
		}
		if m.Heartbeat != nil || m.ListText != nil {
			c.Heartbeats.add(m, said)
		} else {
			c.Control.add(m, said)
		}
		if m.Grants != nil {
			c.Grants += len(m.Grants.Grants)
		}
		received := &node.Received{From: c.nodes[from].Start.Self, Message: m}
		c.after(countedTick, func() { c.post(to, node.Event{Received: received}) })
	case e.Verdict != nil && e.Verdict.Reason != fleet.ReasonGranted:
		c.Refused++
	case e.Verdict != nil:
		c.Granted++
		done := fleet.Done{
			Grant: e.Verdict.Grant.ID, Outcome: fleet.OutcomeCompleted, Cost: requestCost,
			FirstByte: 20_000, Service: countedService.Microseconds(),
		}
		finish := &node.Finish{Cell: e.Verdict.Cell, Done: done}
		c.after(countedService, func() { c.post(from, node.Event{Finish: finish}) })
	}
}

// count gives the counts of one run, idle or under load, after a warm-up of the same kind.
func count(routers int, load bool) counts {
	c := newCounted(routers)
	c.run(countedWarmup, load)
	c.counts = counts{}
	c.run(countedLength, load)
	for _, n := range c.nodes {
		if n.ReadsPlatform() {
			c.Readers++
		}
	}
	return c.counts
}
