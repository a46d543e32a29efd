package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// TestAnswersAreLost loses the first answers that carry a list, so that the same peer must be asked again over a
// new connection.
func TestAnswersAreLost(t *testing.T) {
	w := newReadyCluster(t, 6, 2)
	w.listDown = true
	lost := 0
	w.lose = func(_ string, m *fleet.Message) bool {
		if m.ListText == nil || len(m.ListText.VMs) == 0 || lost == 3 {
			return false
		}
		lost++
		return true
	}
	w.start(w.routers[0])
	w.await("ready", 15*time.Second, func() bool { return w.allAt(2) })
	if lost != 3 {
		t.Errorf("%d answers lost", lost)
	}
}

// TestListByPeers cuts one router off from the platform's list, which then grows by a VM. The router must get
// the new list from a peer.
func TestListByPeers(t *testing.T) {
	w := newReadyCluster(t, 7, 3)
	p := w.routers[0]
	p.listDown = true
	w.run(5 * time.Second)
	w.vms = append(w.vms, fleet.VM{Name: "stain-2", Address: "stain:2", DataCentre: "clew", State: fleet.VMLeaving})
	cut := w.now
	w.run(listMaxAge - 5*time.Second - 200*ms)
	if p.node.leaving["stain-2"] || p.node.vmList.fromPeer {
		t.Fatal("a list from a peer was applied although the own list was fresh")
	}
	w.await("list from a peer", listRequestPeriod+time.Second, func() bool { return p.node.leaving["stain-2"] })
	fullLists := 0
	w.lose = func(_ string, m *fleet.Message) bool {
		if m.ListText != nil && len(m.ListText.VMs) > 0 {
			fullLists++
		}
		return false
	}
	w.run(time.Minute)
	if age := p.node.listAge(); fullLists > 0 || age > listMaxAge+listRequestPeriod+time.Second {
		t.Errorf("%d full lists sent again; age %v, %v after the change", fullLists, age, w.now-cut)
	}
	p.listDown = false
	w.run(time.Second)
	if p.node.vmList.fromPeer || p.node.listAge() > time.Second {
		t.Errorf("the list from the platform is not in use: age %v", p.node.listAge())
	}
}

// TestListInALargeFleet changes the list in a fleet where most routers rarely read it. Readers must pass it on
// within the lag that membership tolerates.
func TestListInALargeFleet(t *testing.T) {
	w := newReadyCluster(t, 8, fleet.FullRateFleet+2)
	for _, p := range w.routers {
		p.listDown = !p.node.ReadsPlatform()
	}
	w.run(time.Minute)
	w.vms = append(w.vms, fleet.VM{Name: "stain-2", Address: "stain:2", DataCentre: "clew", State: fleet.VMLeaving})
	w.await("the list at all", listMaxAgeLarge+listRequestPeriod, func() bool {
		return !slices.ContainsFunc(w.routers, func(p *process) bool { return !p.node.leaving["stain-2"] })
	})
}

// TestListAgeIsNeverUnderestimated passes a list from router to router while the platform is down. No router may
// underestimate the age of its list.
func TestListAgeIsNeverUnderestimated(t *testing.T) {
	for seed := range uint64(5) {
		w := newReadyCluster(t, seed, 3)
		w.listDown = true
		down := w.now
		for i := range 9 {
			w.run(time.Duration(w.r.IntN(12000)) * ms)
			w.start(w.routers[i%3])
			w.await("ready", readyLimit, func() bool { return w.allAt(2) })
			for _, p := range w.routers {
				if age := p.node.listAge(); age < w.now-down || age > w.now-down+time.Second+time.Duration(i+1)*40*ms {
					t.Fatalf("seed %d: %s takes the list to be %v old, but it is at least %v old", seed, p.name, age, w.now-down)
				}
			}
		}
	}
}

// listRouter is a router, with or without a list, that receives the messages given by a test.
type listRouter struct {
	node  Node
	now   time.Duration
	sends []Send
	links []string
}

func (o *listRouter) step(after time.Duration, events ...Event) {
	o.now += after
	for _, e := range o.node.Step(o.now, time.Unix(1_700_000_000, 0).Add(o.now), events) {
		if e.Send != nil && e.Send.Message.ListText != nil {
			o.sends = append(o.sends, *e.Send)
		}
		if e.Links != nil {
			o.links = append(o.links, strings.Join(sortedKeys(e.Links.Addresses), " "))
		}
	}
}

func receivedListText(from string, l fleet.ListText) Event {
	return Event{Received: &Received{From: from, Message: fleet.Message{Incarnation: 1, ListText: &l}}}
}

func vms(names ...string) []fleet.VM {
	var list []fleet.VM
	for _, name := range names {
		list = append(list, fleet.VM{Name: name, Address: "peer:" + name, Router: true})
	}
	return list
}

func TestFreshestListIsRequested(t *testing.T) {
	o := &listRouter{node: Node{Start: Start{Self: "a", Incarnation: 9}}}
	o.step(time.Second)
	o.step(10*ms, receivedListText("b", fleet.ListText{Address: "peer:b", Age: 9000, Digest: 5}), receivedListText("c", fleet.ListText{Address: "peer:c", Age: 7000, Digest: 6}))
	o.step(TickPeriod)
	o.step(10*ms, Event{PeerConnected: &PeerConnected{Peer: "c"}})
	o.step(30*ms, receivedListText("c", fleet.ListText{Age: 7500, Digest: listDigest(vms("a", "b", "c")), VMs: vms("a", "b", "c")}))
	if want := []string{"c", "b c"}; !slices.Equal(o.links, want) || len(o.node.listed) != 3 {
		t.Fatalf("links %q, want %q; listed %v", o.links, want, o.node.listedNames())
	}
	if age := o.node.listAge(); age != 7530*ms {
		t.Errorf("age %v, want the age in the answer plus 30 ms since the request", age)
	}
	o.step(20*ms, receivedListText("d", fleet.ListText{Address: "peer:d", Age: 1, Digest: 7}), receivedListText("b", fleet.ListText{Address: "peer:b", Age: 1000, Digest: 7}))
	o.step(TickPeriod)
	if last := o.sends[len(o.sends)-1]; last.To != "b" || !last.Message.ListText.Ask {
		t.Errorf("a fresher list of a listed peer was not requested: %+v", last)
	}
}

// TestListRequestsSpread advertises lists of about the same age to many routers. Their requests must spread
// over these peers, and a much older list must not be requested.
func TestListRequestsSpread(t *testing.T) {
	requests := map[string]int{}
	for i := range 90 {
		o := &listRouter{node: Node{Start: Start{Self: fmt.Sprint("a", i), Incarnation: 9}}}
		o.step(time.Second)
		for j, name := range []string{"b", "c", "d", "e"} {
			o.step(ms, receivedListText(name, fleet.ListText{Address: "peer:" + name, Age: []int64{100, 500, 900, 2000}[j], Digest: 5}))
		}
		o.step(TickPeriod)
		requests[o.links[0]]++
	}
	for peer, count := range requests {
		if count > 60 || len(requests) != 3 {
			t.Errorf("%s received requests from %d of 90 routers; all: %v", peer, count, requests)
		}
	}
}

func TestListIsRejected(t *testing.T) {
	younger := fleet.ListText{Digest: 3, VMs: vms("a", "b", "c", "d")}
	tests := map[string]struct {
		pending string
		from    string
		answer  fleet.ListText
	}{
		"not asked":          {from: "b", answer: younger},
		"another was asked":  {pending: "c", from: "b", answer: younger},
		"not on the list":    {pending: "x", from: "x", answer: younger},
		"older than the own": {pending: "b", from: "b", answer: fleet.ListText{Age: 60_000, Digest: 3, VMs: younger.VMs}},
		"without a router":   {pending: "b", from: "b", answer: fleet.ListText{Digest: 3, VMs: []fleet.VM{{Name: "stain-1"}}}},
		"none":               {pending: "b", from: "b", answer: fleet.ListText{Digest: 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := &listRouter{node: Node{Start: Start{Self: "a", Incarnation: 9}}}
			o.step(time.Second, Event{VMList: &VMList{VMs: vms("a", "b", "c")}})
			o.step(20*time.Second, receivedListText("b", fleet.ListText{Address: "peer:b", Age: 90_000, Digest: 3}))
			o.node.vmList.pending = listRequest{peer: tt.pending, started: o.now, sent: o.now}
			o.step(10*ms, receivedListText(tt.from, tt.answer))
			if got := o.node.listedNames(); len(got) != 3 {
				t.Errorf("listed %v", got)
			}
		})
	}
}

func TestAnswerToListRequest(t *testing.T) {
	own := vms("a", "b")
	large := slices.Clone(own)
	for i := range 9000 {
		large = append(large, fleet.VM{Name: fmt.Sprint("stain-", i), Address: strings.Repeat("1", 120)})
	}
	tests := map[string]struct {
		list []fleet.VM
		ask  fleet.ListText
		sent int // messages
		vms  int // VMs in them
	}{
		"none":               {list: own, ask: fleet.ListText{}, sent: 1, vms: 2},
		"older":              {list: own, ask: fleet.ListText{Digest: 5, Age: 60_000}, sent: 1, vms: 2},
		"older and the same": {list: own, ask: fleet.ListText{Digest: listDigest(own), Age: 60_000}, sent: 1},
		"younger":            {list: own, ask: fleet.ListText{Digest: 5, Age: 10}, sent: 1},
		"too large":          {list: large, ask: fleet.ListText{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := &listRouter{node: Node{Start: Start{Self: "a", Incarnation: 9}}}
			o.step(time.Second, Event{VMList: &VMList{VMs: tt.list}})
			tt.ask.Ask = true
			o.step(time.Second, receivedListText("b", tt.ask))
			got := 0
			for _, s := range o.sends {
				got += len(s.Message.ListText.VMs)
			}
			if len(o.sends) != tt.sent || got != tt.vms {
				t.Errorf("%d messages with %d VMs, want %d and %d", len(o.sends), got, tt.sent, tt.vms)
			}
		})
	}
}
