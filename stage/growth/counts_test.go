package growth

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

// The fixed workload: today's size of one user, below what its engines bear, so that nothing has to be refused.
const (
	countedRouters  = 9
	countedTick     = 5 * time.Millisecond // also the delay of a message
	countedWarmup   = 20 * time.Second
	countedLength   = 20 * time.Second
	countedRequests = 100 // a second, over all routers and teams in turn
	countedService  = 200 * time.Millisecond
)

// counts are what the fleet did in the counted time.
type counts struct {
	Requests, Granted, Refused, Grants int
	Messages, Bytes                    int // to peers, before the transport's own
	Readers                            int // of the configuration service, at the end
}

// counted is a fleet of routers in virtual time.
type counted struct {
	counts
	nodes  []*node.Node
	names  map[string]int
	now    time.Duration
	due    []time.Duration
	later  map[time.Duration][]func() // by when
	events [][]node.Event
}

func newCounted(t *testing.T) *counted {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "carraig.rules"))
	if err != nil {
		t.Fatal(err)
	}
	c := &counted{names: map[string]int{}, later: map[time.Duration][]func(){}, now: time.Second}
	var vms []fleet.VM
	centres := []string{"killary", "clew", "bertra"}
	for i := range countedRouters {
		name := fmt.Sprintf("router-%d", i+1)
		c.names[name] = i
		vms = append(vms, fleet.VM{Name: name, Address: "127.0.0.1:" + name, DataCentre: centres[i%len(centres)], Router: true})
		c.nodes = append(c.nodes, &node.Node{Start: node.Start{Self: name, DataCentre: centres[i%len(centres)], Incarnation: 1, Seed: uint64(i)}})
	}
	c.due, c.events = make([]time.Duration, countedRouters), make([][]node.Event, countedRouters)
	for i := range c.nodes {
		c.post(i, node.Event{List: &node.List{VMs: vms}})
		c.post(i, node.Event{Offer: &node.Offer{Version: 1, Text: text}})
		c.post(i, node.Event{Asked: &node.Asked{}})
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
			c.due[i] = c.now + n.Rest()
		}
	}
}

func (c *counted) arrive() {
	c.Requests++
	r := &entry.Request{
		ID: fmt.Sprint(c.Requests), Team: []string{"skippers", "hatchery", "clew-farms", "trial"}[c.Requests%4],
		Product: "mangolug-pool", Estimate: requestCost, Deadline: c.now + 10*time.Second,
	}
	c.post(c.Requests%countedRouters, node.Event{Admit: r})
}

func (c *counted) carryOut(from int, e node.Effect) {
	switch {
	case e.Links != nil:
		for name := range c.names {
			if e.Links.Addresses[name] != "" {
				c.after(countedTick, func() { c.post(from, node.Event{Linked: &node.Linked{Peer: name}}) })
			}
		}
	case e.Send != nil:
		m, to := e.Send.Message, c.names[e.Send.To]
		c.Messages++
		if m.Grants != nil {
			c.Grants += len(m.Grants.Grants)
		}
		sized := m
		c.Bytes += int(size(&sized))
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
func count(t *testing.T, load bool) counts {
	t.Helper()
	c := newCounted(t)
	c.run(countedWarmup, load)
	c.counts = counts{}
	c.run(countedLength, load)
	for _, n := range c.nodes {
		if n.Reader() {
			c.Readers++
		}
	}
	return c.counts
}

// TestCounts holds what a fixed workload costs the fleet in messages, bytes and readers against bounds. It counts in virtual
// time, so that each run gives the same counts. The bounds are the target's and those of docs/CAPACITY.md.
func TestCounts(t *testing.T) {
	const (
		framing = 25 // bytes of a message beside its own

		idleBytes       = 4096 // a second and router
		idleMessages    = 27   // a second and router: heartbeats to 8 peers
		requestMessages = 3    // demand, grant, end
		requestBytes    = 290  // in all, framing included
		readers         = 6    // two in each data centre
	)
	idle, busy := count(t, false), count(t, true)
	if diff := cmp.Diff(busy, count(t, true)); diff != "" {
		t.Errorf("two runs differ (-first +second):\n%s", diff)
	}
	if busy.Requests == 0 || busy.Granted != busy.Requests || busy.Refused > 0 {
		t.Fatalf("not every request was granted: %+v", busy)
	}
	bytes := func(c counts) float64 { return float64(c.Bytes + framing*c.Messages) }
	routerSeconds, requests := countedRouters*countedLength.Seconds(), float64(busy.Requests)
	for name, c := range map[string]struct{ got, bound float64 }{
		"bytes a second of an idle router":    {bytes(idle) / routerSeconds, idleBytes},
		"messages a second of an idle router": {float64(idle.Messages) / routerSeconds, idleMessages},
		"messages a request":                  {float64(busy.Messages-idle.Messages) / requests, requestMessages},
		"bytes a request":                     {(bytes(busy) - bytes(idle)) / requests, requestBytes},
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
