package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// step is the driver's increment of true time.
const step = 10 * time.Millisecond

var duties = []string{"stain-llm/0", "swatch-desk/0", "keys/7", "keys/8"}

// node is a simulated router with its own clock.
type node struct {
	name        string
	members     *Members
	incarnation uint64
	started     time.Duration // true time at which it started
	rate        float64       // speed of its clock relative to true time
	slept       time.Duration // true time during which its monotonic clock was stopped
	paused      bool
	asleep      bool // paused with a stopped monotonic clock
	dead        bool
	inbox       []envelope
}

type envelope struct {
	at     time.Duration
	from   string
	source uint64
	beat   Beat
}

// driver simulates routers over true time, with links that delay, lose or hold back messages.
type driver struct {
	t             *testing.T
	seed          uint64
	r             *rand.Rand
	now           time.Duration
	nodes         []*node
	delay         time.Duration
	cut           map[[2]string]bool // links, from and to, that lose messages
	delayed       map[[2]string]bool // links, from and to, that hold messages back
	ignoreViewAge bool
	violation     string // first violated invariant
}

func newDriver(t *testing.T, seed uint64, count int) *driver {
	d := &driver{
		t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 1)), delay: 20 * time.Millisecond,
		cut: map[[2]string]bool{}, delayed: map[[2]string]bool{},
	}
	for i := range count {
		d.nodes = append(d.nodes, &node{name: fmt.Sprintf("r%d", i+1)})
	}
	for _, n := range d.nodes {
		d.start(n)
	}
	return d
}

func (d *driver) vms(names ...string) []fleet.VM {
	var vms []fleet.VM
	for _, name := range names {
		vms = append(vms, fleet.VM{Name: name, DataCentre: "lahore", Router: true})
	}
	return vms
}

func (d *driver) names() []string {
	var names []string
	for _, n := range d.nodes {
		names = append(names, n.name)
	}
	return names
}

// start starts a new incarnation with empty state.
func (d *driver) start(n *node) {
	n.incarnation++
	n.started, n.slept = d.now, 0
	n.rate = 0.98 + 0.04*d.r.Float64()
	n.dead, n.paused, n.asleep, n.inbox = false, false, false, nil
	n.members = &Members{Self: n.name, DataCentre: "lahore", Incarnation: n.incarnation, ignoreAge: d.ignoreViewAge}
	n.members.UpdateList(0, d.vms(d.names()...))
}

func (d *driver) clock(n *node) time.Duration {
	return time.Duration(float64(d.now-n.started-n.slept) * n.rate)
}

// run advances the simulation by length and checks the invariants at each step.
func (d *driver) run(length time.Duration) {
	for end := d.now + length; d.now < end && d.violation == ""; d.now += step {
		for _, n := range d.nodes {
			d.advance(n)
		}
		d.checkInvariants()
	}
}

func (d *driver) advance(n *node) {
	if n.asleep {
		n.slept += step
	}
	if n.dead || n.paused {
		return
	}
	now := d.clock(n)
	n.members.CheckWallClock(now, d.now)
	var rest []envelope
	for _, e := range n.inbox {
		if e.at > d.now || d.delayed[[2]string{e.from, n.name}] {
			rest = append(rest, e)
			continue
		}
		echo := e.beat.Echo
		if e.beat.EchoOf != n.incarnation {
			echo = 0
		}
		n.members.Receive(now, e.from, e.source, e.beat.Stamp, echo, e.beat.Heartbeat)
	}
	n.inbox = rest
	for _, b := range n.members.Tick(now) {
		d.send(n, b)
	}
}

// send puts a heartbeat into the receiver's inbox, keeping the order of each sender's messages.
func (d *driver) send(n *node, b Beat) {
	if d.cut[[2]string{n.name, b.To}] {
		return
	}
	for _, to := range d.nodes {
		if to.name != b.To || to.dead {
			continue
		}
		at := d.now + time.Duration(d.r.Int64N(int64(d.delay)))
		for _, e := range to.inbox {
			if e.from == n.name {
				at = max(at, e.at)
			}
		}
		to.inbox = append(to.inbox, envelope{at: at, from: n.name, source: n.incarnation, beat: b})
	}
}

// checkInvariants checks that no duty has two holders and that no router is a lender to two routers for one duty.
func (d *driver) checkInvariants() {
	for _, duty := range duties {
		var holders []string
		borrowers := map[string]string{}
		for _, n := range d.nodes {
			if n.dead || n.paused {
				continue
			}
			now := d.clock(n)
			lenders, _ := n.members.Lenders(now, duty)
			if n.members.isMajority(lenders) {
				holders = append(holders, n.name)
			}
			for _, l := range lenders {
				if other, duplicate := borrowers[l]; duplicate {
					d.violation = fmt.Sprintf("at %v %s lends itself to %s and %s for %s", d.now, l, other, n.name, duty)
				}
				borrowers[l] = n.name
			}
		}
		if len(holders) > 1 {
			d.violation = fmt.Sprintf("at %v %s is held by %v", d.now, duty, holders)
		}
	}
}

// holder returns the router that holds a duty, or "" if there is none.
func (d *driver) holder(duty string) string {
	for _, n := range d.nodes {
		if !n.dead && !n.paused && n.members.Holds(d.clock(n), duty) {
			return n.name
		}
	}
	return ""
}

func (d *driver) node(name string) *node {
	for _, n := range d.nodes {
		if n.name == name {
			return n
		}
	}
	d.t.Fatalf("seed %d: no router %q", d.seed, name)
	return nil
}

// await runs until a condition holds and returns the true time that took.
func (d *driver) await(what string, limit time.Duration, done func() bool) time.Duration {
	d.t.Helper()
	begin := d.now
	for !done() {
		if d.now-begin > limit {
			d.t.Fatalf("seed %d: not %s after %v", d.seed, what, limit)
		}
		d.run(step)
		d.requireNoViolation()
	}
	return d.now - begin
}

func (d *driver) requireNoViolation() {
	d.t.Helper()
	if d.violation != "" {
		d.t.Fatalf("seed %d: %s", d.seed, d.violation)
	}
}

// converged reports whether all running routers have the same view and every duty has a holder.
func (d *driver) converged() bool {
	var first []uint32
	for _, n := range d.nodes {
		if n.dead {
			continue
		}
		if first == nil {
			first = n.members.views.latest()
		}
		if n.paused || len(first) != d.running() || !slices.Equal(first, n.members.views.latest()) {
			return false
		}
	}
	return !slices.ContainsFunc(duties, func(duty string) bool { return d.holder(duty) == "" })
}

func (d *driver) running() int {
	count := 0
	for _, n := range d.nodes {
		if !n.dead {
			count++
		}
	}
	return count
}

// injectFault causes or ends one random fault.
func (d *driver) injectFault() {
	n := d.nodes[d.r.IntN(len(d.nodes))]
	other := d.nodes[d.r.IntN(len(d.nodes))]
	link := [2]string{n.name, other.name}
	switch d.r.IntN(10) {
	case 0:
		d.cut[link] = true
	case 1:
		d.delayed[link] = true
	case 2:
		d.partition(d.cut)
	case 3:
		d.partition(d.delayed)
	case 4, 5:
		clear(d.cut)
		clear(d.delayed)
	case 6:
		n.paused = !n.paused
		n.asleep = false
	case 7:
		n.paused = !n.paused
		n.asleep = n.paused
	case 8:
		if !n.dead && !n.paused {
			n.members.Drain(d.clock(n))
		}
	case 9:
		if n.dead {
			d.start(n)
		} else if d.r.IntN(2) == 0 {
			n.dead = true
		} else {
			d.start(n)
		}
	}
}

// partition adds to links all links between two random halves of the routers.
func (d *driver) partition(links map[[2]string]bool) {
	side := map[string]bool{}
	for _, n := range d.nodes {
		side[n.name] = d.r.IntN(2) == 0
	}
	for _, a := range d.nodes {
		for _, b := range d.nodes {
			if side[a.name] != side[b.name] {
				links[[2]string{a.name, b.name}] = true
			}
		}
	}
}

// heal ends all faults and restarts dead and draining routers.
func (d *driver) heal() {
	clear(d.cut)
	clear(d.delayed)
	for _, n := range d.nodes {
		n.paused, n.asleep = false, false
		if n.dead || n.members.draining {
			d.start(n)
		}
	}
}
