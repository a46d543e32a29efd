package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// step is the driver's step of true time.
const step = 10 * time.Millisecond

var duties = []string{"stain-llm/0", "swatch-desk/0", "keys/7", "keys/8"}

// node is one router of the driver with its own clock.
type node struct {
	name        string
	members     *Members
	incarnation uint64
	begun       time.Duration // true time of the start
	rate        float64       // of its clock against true time
	slept       time.Duration // true time that its monotonic clock missed
	paused      bool
	asleep      bool // paused with its monotonic clock stopped
	dead        bool
	inbox       []envelope
}

type envelope struct {
	at     time.Duration
	from   string
	source uint64
	beat   Beat
}

// driver runs routers over true time with links that delay, lose or hold back messages.
type driver struct {
	t     *testing.T
	seed  uint64
	r     *rand.Rand
	now   time.Duration
	nodes []*node
	delay time.Duration
	cut   map[[2]string]bool // lost from, to
	held  map[[2]string]bool // held back from, to
	weak  bool
	fault string // first broken rule
}

func newDriver(t *testing.T, seed uint64, count int) *driver {
	d := &driver{
		t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 1)), delay: 20 * time.Millisecond,
		cut: map[[2]string]bool{}, held: map[[2]string]bool{},
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

// start begins a new incarnation with nothing remembered.
func (d *driver) start(n *node) {
	n.incarnation++
	n.begun, n.slept = d.now, 0
	n.rate = 0.98 + 0.04*d.r.Float64()
	n.dead, n.paused, n.asleep, n.inbox = false, false, false, nil
	n.members = &Members{Self: n.name, DataCentre: "lahore", Incarnation: n.incarnation, ignoreAge: d.weak}
	n.members.List(0, d.vms(d.names()...))
}

func (d *driver) clock(n *node) time.Duration {
	return time.Duration(float64(d.now-n.begun-n.slept) * n.rate)
}

// run goes on for a time, checking the rules at each step.
func (d *driver) run(length time.Duration) {
	for end := d.now + length; d.now < end && d.fault == ""; d.now += step {
		for _, n := range d.nodes {
			d.turn(n)
		}
		d.check()
	}
}

func (d *driver) turn(n *node) {
	if n.asleep {
		n.slept += step
	}
	if n.dead || n.paused {
		return
	}
	now := d.clock(n)
	n.members.Wall(now, d.now)
	var rest []envelope
	for _, e := range n.inbox {
		if e.at > d.now || d.held[[2]string{e.from, n.name}] {
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

// send puts a heartbeat into the receiver's inbox, in order.
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

// check requires that no duty has two holders and that no router lends itself twice for one duty.
func (d *driver) check() {
	for _, duty := range duties {
		var holders []string
		lent := map[string]string{}
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
				if other, twice := lent[l]; twice {
					d.fault = fmt.Sprintf("at %v %s lends itself to %s and %s for %s", d.now, l, other, n.name, duty)
				}
				lent[l] = n.name
			}
		}
		if len(holders) > 1 {
			d.fault = fmt.Sprintf("at %v %s is held by %v", d.now, duty, holders)
		}
	}
}

// holder gives the one router that holds a duty, "" for none.
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

// await runs until a condition holds and gives how long that took.
func (d *driver) await(what string, limit time.Duration, done func() bool) time.Duration {
	d.t.Helper()
	begin := d.now
	for !done() {
		if d.now-begin > limit {
			d.t.Fatalf("seed %d: not %s after %v", d.seed, what, limit)
		}
		d.run(step)
		d.mustHold()
	}
	return d.now - begin
}

func (d *driver) mustHold() {
	d.t.Helper()
	if d.fault != "" {
		d.t.Fatalf("seed %d: %s", d.seed, d.fault)
	}
}

// settled reports whether every running router sees the same and every duty has its holder.
func (d *driver) settled() bool {
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

// disturb brings about one random fault or ends one.
func (d *driver) disturb() {
	n := d.nodes[d.r.IntN(len(d.nodes))]
	other := d.nodes[d.r.IntN(len(d.nodes))]
	link := [2]string{n.name, other.name}
	switch d.r.IntN(10) {
	case 0:
		d.cut[link] = true
	case 1:
		d.held[link] = true
	case 2:
		d.partition(d.cut)
	case 3:
		d.partition(d.held)
	case 4, 5:
		clear(d.cut)
		clear(d.held)
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

// partition separates the routers into two random sides.
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

// heal ends every fault.
func (d *driver) heal() {
	clear(d.cut)
	clear(d.held)
	for _, n := range d.nodes {
		n.paused, n.asleep = false, false
		if n.dead || n.members.draining {
			d.start(n)
		}
	}
}
