package member

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// runRandomFaults runs a fleet through random faults and returns its driver, which holds the first violation.
func runRandomFaults(t *testing.T, seed uint64, ignoreViewAge bool) *driver {
	d := newDriver(t, seed, 3+int(seed%3)*2)
	if ignoreViewAge {
		d.ignoreViewAge = true
		for _, n := range d.nodes {
			d.start(n)
		}
	}
	d.run(3 * time.Second)
	for range 60 {
		d.injectFault()
		d.run(time.Duration(d.r.Int64N(int64(1500 * time.Millisecond))))
	}
	return d
}

func TestOneHolderUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		d := runRandomFaults(t, seed, false)
		d.requireNoViolation()
		d.heal()
		d.await("converged", 20*time.Second, d.converged)
	}
}

// TestIgnoringViewAgeIsUnsafe checks that the driver detects two holders when the age of views is ignored.
func TestIgnoringViewAgeIsUnsafe(t *testing.T) {
	broken := 0
	for seed := range uint64(10) {
		if d := runRandomFaults(t, seed, true); d.violation != "" {
			broken++
		}
	}
	if broken < 5 {
		t.Fatalf("violations in %d of 10 seeds without the view age check, want at least 5", broken)
	}
}

func TestTakeover(t *testing.T) {
	tests := map[string]func(d *driver, holder *node){
		"killed": func(_ *driver, holder *node) { holder.dead = true },
		"frozen": func(_ *driver, holder *node) { holder.paused = true },
		"cut off": func(d *driver, holder *node) {
			for _, n := range d.nodes {
				d.cut[[2]string{holder.name, n.name}] = true
				d.cut[[2]string{n.name, holder.name}] = true
			}
		},
		"cannot send": func(d *driver, holder *node) {
			for _, n := range d.nodes {
				d.cut[[2]string{holder.name, n.name}] = true
			}
		},
		"cannot receive": func(d *driver, holder *node) {
			for _, n := range d.nodes {
				d.cut[[2]string{n.name, holder.name}] = true
			}
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				d := newDriver(t, seed, 9)
				d.await("converged", 3*time.Second, d.converged)
				d.run(time.Duration(d.r.Int64N(int64(time.Second))))
				lost := d.holder(duties[0])
				lose(d, d.node(lost))
				elapsed := d.await("taken over", 2*time.Second, func() bool {
					holder := d.holder(duties[0])
					return holder != "" && holder != lost
				})
				t.Logf("seed %d: takeover took %v", seed, elapsed)
			}
		})
	}
}

// TestRefusedIsLostAtOnce requires that another router takes over from a killed holder whose VM refuses connections as soon as the
// holder's lease has expired.
func TestRefusedIsLostAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		d := newDriver(t, seed, 9)
		d.await("converged", 3*time.Second, d.converged)
		lost := d.holder(duties[0])
		d.node(lost).dead = true
		for _, n := range d.nodes {
			if n.name != lost {
				n.members.ObserveRefusal(d.clock(n), lost)
			}
		}
		d.await("taken over", fleet.ViewLease+fleet.HeartbeatPeriod, func() bool {
			holder := d.holder(duties[0])
			return holder != "" && holder != lost
		})
		d.requireNoViolation()
	}
}

// TestRefusedByMistake requires that a peer whose heartbeats arrive again after a refusal becomes live again without a violation.
func TestRefusedByMistake(t *testing.T) {
	for seed := range uint64(6) {
		d := newDriver(t, seed, 5)
		d.await("converged", 3*time.Second, d.converged)
		for range 20 {
			a, b := d.nodes[d.r.IntN(5)], d.nodes[d.r.IntN(5)]
			a.members.ObserveRefusal(d.clock(a), b.name)
			d.run(time.Duration(d.r.Int64N(int64(time.Second))))
			d.requireNoViolation()
		}
		d.await("converged", 20*time.Second, d.converged)
	}
}

// TestDrainHandsOverAtOnce requires that a planned stop moves a duty within a few message delays, without waiting for leases.
func TestDrainHandsOverAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		d := newDriver(t, seed, 9)
		d.await("converged", 3*time.Second, d.converged)
		n := d.node(d.holder(duties[0]))
		n.members.Drain(d.clock(n))
		d.await("handed over", 150*time.Millisecond, func() bool {
			holder := d.holder(duties[0])
			return holder != "" && holder != n.name
		})
	}
}

// TestJoinMovesAtOnce requires that duties which move to a new or returning router have no holder only for a few message delays.
func TestJoinMovesAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		d := newDriver(t, seed, 9)
		joiner := d.nodes[seed]
		joiner.dead = true
		d.run(4 * time.Second)
		moving := movingDuties(d, joiner.name)
		d.start(joiner)
		unheld := map[string]time.Duration{}
		for end := d.now + 4*time.Second; d.now < end; d.run(step) {
			d.requireNoViolation()
			for _, duty := range moving {
				if d.holder(duty) == "" {
					unheld[duty] += step
				}
			}
		}
		for _, duty := range moving {
			if d.holder(duty) != joiner.name || unheld[duty] > 200*time.Millisecond {
				t.Errorf("seed %d: %s is held by %q and had no holder for %v", seed, duty, d.holder(duty), unheld[duty])
			}
		}
	}
}

// movingDuties returns duties that move to a router when it joins.
func movingDuties(d *driver, joiner string) []string {
	var all []uint32
	for _, n := range d.nodes {
		all = append(all, Hash(n.name))
	}
	var moving []string
	for i := 0; len(moving) < 5; i++ {
		duty := fmt.Sprintf("moving/%d", i)
		if w, _ := Winner(all, duty); w == Hash(joiner) {
			moving = append(moving, duty)
		}
	}
	return moving
}

func TestAllDrainingStillHold(t *testing.T) {
	d := newDriver(t, 1, 3)
	d.await("converged", 3*time.Second, d.converged)
	for _, n := range d.nodes {
		n.members.Drain(d.clock(n))
	}
	d.run(100 * time.Millisecond)
	d.await("held again", 3*time.Second, func() bool { return d.holder(duties[0]) != "" })
	d.requireNoViolation()
}

// TestOtherDutiesGoOn requires that the loss and return of one router cause no gap in the duties that other routers hold.
func TestOtherDutiesGoOn(t *testing.T) {
	for seed := range uint64(8) {
		d := newDriver(t, seed, 9)
		d.await("converged", 3*time.Second, d.converged)
		lost := d.node(d.holder(duties[seed%4]))
		before := map[string]string{}
		for _, duty := range duties {
			before[duty] = d.holder(duty)
		}
		lost.dead = true
		requireUnmoved(d, before, lost.name, 4*time.Second)
		d.start(lost)
		requireUnmoved(d, before, lost.name, 4*time.Second)
		if !d.converged() {
			t.Fatalf("seed %d: not converged after the return", seed)
		}
	}
}

func requireUnmoved(d *driver, before map[string]string, lost string, length time.Duration) {
	d.t.Helper()
	for end := d.now + length; d.now < end; d.run(step) {
		d.requireNoViolation()
		for duty, holder := range before {
			if got := d.holder(duty); holder != lost && got != holder {
				d.t.Fatalf("seed %d: at %v %s is held by %q, before by %s", d.seed, d.now, duty, got, holder)
			}
		}
	}
}
