package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

const ms = time.Millisecond

// cluster runs a few nodes in virtual time. A stream is opened by its sender some time after both ends have
// started.
type cluster struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Duration
	vms      []fleet.VM
	routers  []*process
	inFlight []transit

	rulesDown, listDown bool
	served              uint64 // version that the platform serves
	lose                func(from string, m *fleet.Message) bool
}

// process is one router across its restarts.
type process struct {
	name        string
	node        *Node
	started     time.Duration
	alive       bool
	isolated    bool // has no connection to any peer
	addresses   map[string]string
	links       map[string]*link
	events      []Event
	nextRules   time.Duration
	nextList    time.Duration
	polled      bool
	frozenUntil time.Duration // frozen before this time
	listDown    bool          // the platform's list is unavailable to this router alone
}

// link is a stream to one incarnation of a peer.
type link struct {
	peerStarted time.Duration // start of the peer's process
	open        time.Duration
	reported    bool
}

// transit is a message in flight.
type transit struct {
	to       *process
	started  time.Duration
	at       time.Duration
	received Received
}

func newCluster(t *testing.T, seed uint64, routers int) *cluster {
	w := &cluster{t: t, r: rand.New(rand.NewPCG(seed, 1)), now: time.Second, served: 1}
	for i := range routers {
		name := fmt.Sprintf("r%d", i)
		w.routers = append(w.routers, &process{name: name})
		w.vms = append(w.vms, fleet.VM{Name: name, Address: "peer:" + name, DataCentre: "clew", Router: true})
	}
	w.vms = append(w.vms, fleet.VM{Name: "stain-1", Address: "stain:1", DataCentre: "clew"})
	for _, p := range w.routers {
		w.start(p)
	}
	return w
}

func (w *cluster) start(p *process) {
	*p = process{
		name: p.name, alive: true, isolated: p.isolated, listDown: p.listDown, started: w.now, nextRules: w.now + 20*ms, nextList: w.now + 20*ms, links: map[string]*link{},
		node: &Node{Start: Start{Self: p.name, DataCentre: "clew", Incarnation: uint32(w.now / (10 * ms)), Seed: 1}},
	}
}

func (w *cluster) byAddress(address string) *process {
	for _, p := range w.routers {
		if "peer:"+p.name == address {
			return p
		}
	}
	return nil
}

// step advances all routers by 10 ms.
func (w *cluster) step() {
	w.now += 10 * ms
	w.inFlight = slices.DeleteFunc(w.inFlight, func(f transit) bool {
		if f.at > w.now || f.to.frozenUntil > w.now {
			return false
		}
		if f.to.alive && f.to.started == f.started {
			f.to.events = append(f.to.events, Event{Received: &f.received})
		}
		return true
	})
	for _, p := range w.routers {
		if !p.alive || p.frozenUntil > w.now {
			continue
		}
		w.pollPlatform(p)
		w.connect(p)
		events := p.events
		p.events = nil
		for _, e := range p.node.Step(w.now-p.started, time.Unix(1_700_000_000, 0).Add(w.now), events) {
			w.apply(p, e)
		}
	}
}

// pollPlatform lets a router read the configuration and the list once a second.
func (w *cluster) pollPlatform(p *process) {
	if w.now >= p.nextRules {
		p.nextRules = w.now + time.Second
		if !w.rulesDown && w.served > p.node.NewestVersion() {
			p.events = append(p.events, Event{Offer: &Offer{Version: w.served, Text: rules(w.served)}})
		}
		if !p.polled {
			p.polled = true
			p.events = append(p.events, Event{ConfigPolled: &ConfigPolled{}})
		}
	}
	if w.now >= p.nextList && !w.listDown && !p.listDown {
		p.nextList = w.now + time.Second
		p.events = append(p.events, Event{VMList: &VMList{VMs: slices.Clone(w.vms)}})
	}
}

func rules(version uint64) []byte {
	return fmt.Appendf(nil, "dataCentre clew in # version %d\n", version)
}

// connect opens the streams that are due, and reopens those that a peer's restart broke.
func (w *cluster) connect(p *process) {
	for _, name := range sortedKeys(p.addresses) {
		to := w.byAddress(p.addresses[name])
		if to == nil || !to.alive || p.isolated || to.isolated {
			delete(p.links, name)
			continue
		}
		l := p.links[name]
		if l == nil || l.peerStarted != to.started {
			l = &link{peerStarted: to.started, open: w.now + time.Duration(50+w.r.IntN(350))*ms}
			p.links[name] = l
		}
		if !l.reported && w.now >= l.open {
			l.reported = true
			p.events = append(p.events, Event{PeerConnected: &PeerConnected{Peer: name}})
		}
	}
}

func sortedKeys(m map[string]string) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (w *cluster) apply(p *process, e Effect) {
	if e.Links != nil {
		for name := range p.links {
			if e.Links.Addresses[name] != p.addresses[name] {
				delete(p.links, name)
			}
		}
		p.addresses = e.Links.Addresses
	}
	if e.Send == nil {
		return
	}
	l, to := p.links[e.Send.To], w.byAddress("peer:"+e.Send.To)
	if l == nil || !l.reported || to == nil || !to.alive || to.started != l.peerStarted {
		return
	}
	if w.lose != nil && w.lose(p.name, &e.Send.Message) {
		return
	}
	at := w.now + time.Duration(1+w.r.IntN(20))*ms
	for _, f := range w.inFlight { // a stream preserves the order
		if f.to == to && f.received.From == p.name {
			at = max(at, f.at)
		}
	}
	w.inFlight = append(w.inFlight, transit{to: to, started: to.started, at: at, received: Received{From: p.name, Message: e.Send.Message}})
}

func (w *cluster) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *cluster) await(what string, limit time.Duration, holds func() bool) {
	w.t.Helper()
	for end := w.now + limit; !holds(); {
		if w.now >= end {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		w.step()
	}
}

func (p *process) ready() bool { return p.alive && p.node.NotReadyReason() == fleet.ReasonNone }

func (p *process) version() uint64 {
	if f := p.node.InForce(); f != nil {
		return f.Version
	}
	return 0
}

func (w *cluster) allAt(version uint64) bool {
	return !slices.ContainsFunc(w.routers, func(p *process) bool { return p.alive && (!p.ready() || p.version() != version) })
}

const (
	readyLimit          = 4 * time.Second
	readyLimitWithFault = 5 * time.Second // while another router is silent: a request for the list is lost to it, and conf.SettleTimeout passes after that
)

// newReadyCluster returns a cluster with version 2 in force everywhere.
func newReadyCluster(t *testing.T, seed uint64, routers int) *cluster {
	w := newCluster(t, seed, routers)
	w.await("all ready", readyLimit, func() bool { return w.allAt(1) })
	w.served = 2
	w.await("version 2 everywhere", 3*time.Second, func() bool { return w.allAt(2) })
	return w
}

func TestStartEmpty(t *testing.T) {
	tests := map[string]struct {
		inject func(w *cluster)
	}{
		"platform up":               {inject: func(*cluster) {}},
		"list down":                 {inject: func(w *cluster) { w.listDown = true }},
		"rules down":                {inject: func(w *cluster) { w.rulesDown = true }},
		"both down":                 {inject: func(w *cluster) { w.listDown, w.rulesDown = true, true }},
		"rules stale":               {inject: func(w *cluster) { w.served = 1 }},
		"rules stale, list down":    {inject: func(w *cluster) { w.served = 1; w.listDown = true }},
		"a peer is dead":            {inject: func(w *cluster) { w.listDown, w.rulesDown, w.routers[1].alive = true, true, false }},
		"down for a minute":         {inject: func(w *cluster) { w.listDown, w.rulesDown = true, true; w.run(time.Minute) }},
		"another started just then": {inject: func(w *cluster) { w.listDown, w.rulesDown = true, true; w.start(w.routers[1]) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newReadyCluster(t, 1, 3)
			tt.inject(w)
			p := w.routers[0]
			w.start(p)
			w.await("ready", readyLimit, func() bool {
				if p.ready() && p.version() != 2 {
					t.Fatalf("ready with version %d", p.version())
				}
				return w.allAt(2)
			})
		})
	}
}

// TestLateList gives a router its list long after its start. The router must not mistake the time without peers
// for their silence.
func TestLateList(t *testing.T) {
	w := newReadyCluster(t, 3, 3)
	p := w.routers[0]
	w.served, w.listDown = 1, true
	for _, o := range w.routers {
		o.isolated = true
	}
	w.start(p)
	w.run(10 * time.Second)
	if p.ready() {
		t.Fatal("ready without a list")
	}
	for _, o := range w.routers {
		o.isolated = false
	}
	w.listDown = false
	w.await("ready", readyLimit, func() bool {
		if p.ready() && p.version() != 2 {
			t.Fatalf("ready with version %d", p.version())
		}
		return p.ready()
	})
}

// TestPauseBeforeReady freezes a router between its start and the first heartbeat of a peer.
func TestPauseBeforeReady(t *testing.T) {
	w := newReadyCluster(t, 4, 3)
	p := w.routers[0]
	w.served = 1
	w.start(p)
	w.await("list", time.Second, func() bool { return len(p.node.listed) > 0 && p.version() == 1 })
	p.frozenUntil, p.isolated = w.now+5*time.Second, true // its streams break meanwhile
	w.run(5*time.Second - 20*ms)
	p.isolated = false
	w.await("ready", readyLimit, func() bool {
		if p.ready() && p.version() != 2 {
			t.Fatalf("ready with version %d", p.version())
		}
		return p.ready()
	})
}

// TestNoConfigurationAnywhere checks that a router does not become ready while neither the platform nor a peer answers, and that a
// fleet that has lost its configuration accepts the platform's older one.
func TestNoConfigurationAnywhere(t *testing.T) {
	w := newReadyCluster(t, 5, 3)
	w.listDown, w.rulesDown = true, true
	for _, p := range w.routers {
		w.start(p)
	}
	w.run(time.Minute)
	for _, p := range w.routers {
		if p.ready() {
			t.Errorf("%s is ready without a configuration", p.name)
		}
	}
	w.listDown, w.rulesDown, w.served = false, false, 1 // no router knows version 2 any more
	w.await("ready", readyLimit, func() bool { return w.allAt(1) })
}

// TestRandomOutages restarts routers at random while the platform is down, comes back or serves an older
// version. Another router may restart, freeze or be isolated at the same time; one ready router keeps running.
func TestRandomOutages(t *testing.T) {
	for seed := range uint64(6) {
		w := newReadyCluster(t, seed, 3)
		newest := uint64(2)
		for range 8 {
			w.rulesDown, w.listDown = w.r.IntN(2) == 0, w.r.IntN(2) == 0
			switch w.r.IntN(3) {
			case 0:
				newest++
				w.served = newest
				w.rulesDown = false
			case 1:
				w.served = 1 + w.r.Uint64N(newest)
			}
			w.run(time.Duration(3000+w.r.IntN(1000)) * ms)
			chosen := w.r.Perm(len(w.routers))
			p, other := w.routers[chosen[0]], w.routers[chosen[1]]
			floor := min(p.version(), w.routers[chosen[2]].version())
			w.start(p)
			switch w.r.IntN(4) {
			case 0:
				w.start(other)
			case 1:
				other.frozenUntil = w.now + time.Duration(w.r.IntN(5000))*ms
			case 2:
				other.isolated = true
			}
			w.await(fmt.Sprintf("seed %d: ready with version %d", seed, floor), readyLimitWithFault, func() bool {
				if p.ready() && p.version() < floor {
					t.Fatalf("seed %d: ready with version %d after %d", seed, p.version(), floor)
				}
				return p.ready()
			})
			other.isolated = false
			w.await(fmt.Sprintf("seed %d: the other one ready", seed), 2*readyLimit, other.ready)
		}
	}
}

// TestNoGrantsUnderOlderRules sends demand to a starting router while a peer advertises a newer configuration
// than the platform's. The router must not grant anything under the older one.
func TestNoGrantsUnderOlderRules(t *testing.T) {
	tests := map[string]struct {
		peer   uint64 // version in force at the peer
		grants bool
	}{
		"same":  {peer: 1, grants: true},
		"newer": {peer: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := &Node{Start: Start{Self: "a", DataCentre: "clew", Incarnation: 9, Standalone: true}}
			text := "dataCentre clew in # a\nproduct pool model # a\n" +
				"server p-1 product pool dataCentre clew address 127.0.0.1:1 limit 8 # a\n"
			cell := fleet.Cell{Product: "pool"}
			from := func(m fleet.Message) Event {
				m.Incarnation = 5
				return Event{Received: &Received{From: "b", Message: m}}
			}
			granted := false
			now := time.Second
			step := func(events ...Event) {
				now += 50 * ms
				for _, e := range n.Step(now, time.Unix(1_700_000_000, 0).Add(now), events) {
					granted = granted || e.Send != nil && e.Send.Message.Grants != nil && len(e.Send.Message.Grants.Grants) > 0
				}
			}
			step(Event{VMList: &VMList{VMs: vms("a", "b", "c")}}, Event{Offer: &Offer{Version: 1, Text: []byte(text)}})
			for i := range int64(10) {
				step(
					from(fleet.Message{Stamp: 100 * i, Heartbeat: &fleet.Heartbeat{ConfigVersion: tt.peer}}),
					from(fleet.Message{Stamp: 100*i + 1, Demand: &fleet.Demand{
						Cell: cell, Seq: uint64(i + 1), Full: true, Waiting: []fleet.TeamDemand{{Team: "carpenters", Waiting: 1, Estimate: 1}},
					}}),
					Event{Load: &Load{Cell: cell, Report: fleet.Load{Server: "p-1", Limit: 8}}},
				)
			}
			if n.ready || granted != tt.grants {
				t.Errorf("ready %v, granted %v", n.ready, granted)
			}
		})
	}
}
