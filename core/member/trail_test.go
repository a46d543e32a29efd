package member

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// tenure is a time during which one incarnation of a router was seen to hold a duty.
type tenure struct {
	router      string
	incarnation uint64
	begin, end  time.Duration // true time
	loans       []fleet.KeyLoan
}

// witness notes who held each duty and judges what Passed says.
type witness struct {
	d        *driver
	tenures  map[string][]tenure // by duty
	anyRun   bool                // a weakened rule: loans need not belong to the run of views
	passed   int
	mistaken string
}

// look notes the holders of this step and asks each of them about all former tenures.
func (w *witness) look() {
	for _, duty := range duties {
		for _, n := range w.d.nodes {
			if n.dead || n.paused {
				continue
			}
			now := w.d.clock(n)
			if loans, holds := n.members.Loans(now, duty); holds {
				w.note(duty, n, loans)
				w.judge(duty, n, now)
			}
		}
	}
}

func (w *witness) note(duty string, n *node, loans []fleet.KeyLoan) {
	all := w.tenures[duty]
	if last := len(all) - 1; last >= 0 && all[last].router == n.name && all[last].incarnation == n.incarnation {
		all[last].end, all[last].loans = w.d.now, loans
		return
	}
	w.tenures[duty] = append(all, tenure{router: n.name, incarnation: n.incarnation, begin: w.d.now, end: w.d.now, loans: loans})
}

// judge requires that no third router held between a tenure from which the duty is said to have passed straight, and now.
func (w *witness) judge(duty string, n *node, now time.Duration) {
	all := w.tenures[duty]
	for i, t := range all[:len(all)-1] {
		loans := t.loans
		if w.anyRun {
			loans = renumber(n, duty)
		}
		if t.router == n.name || !n.members.Passed(now, duty, t.router, loans) {
			continue
		}
		w.passed++
		for _, between := range all[i+1:] {
			if between.router != t.router && between.router != n.name {
				w.mistaken = fmt.Sprintf("at %v %s holds %s, said to come from %s of %v, but %s held at %v",
					w.d.now, n.name, duty, t.router, t.end, between.router, between.end)
			}
		}
	}
}

// renumber gives loans that fit whatever run came before the present one.
func renumber(n *node, duty string) []fleet.KeyLoan {
	var fit []fleet.KeyLoan
	r := ranking{seed: hashText(duty)}
	for _, name := range n.members.listed() {
		t, incarnation := n.members.trailOf(name)
		if before, ok := t.before(&r, Hash(n.name)); ok {
			fit = append(fit, fleet.KeyLoan{Router: name, Incarnation: incarnation, ViewSeq: before.last})
		}
	}
	return fit
}

// watched runs a storm of faults and moves under a witness.
func watched(t *testing.T, seed uint64, anyRun bool) *witness {
	d := newDriver(t, seed, 3+int(seed%3))
	w := &witness{d: d, tenures: map[string][]tenure{}, anyRun: anyRun}
	d.run(2 * time.Second)
	for range 60 {
		d.disturb()
		for end := d.now + time.Duration(d.r.Int64N(int64(900*time.Millisecond))); d.now < end; {
			d.run(step)
			w.look()
		}
	}
	return w
}

// TestPassedMeansNobodyBetween requires that a duty said to have come straight from a router was held by no third one since.
func TestPassedMeansNobodyBetween(t *testing.T) {
	passed := 0
	for seed := range uint64(30) {
		w := watched(t, seed, false)
		w.d.mustHold()
		if w.mistaken != "" {
			t.Fatalf("seed %d: %s", seed, w.mistaken)
		}
		passed += w.passed
	}
	if passed < 100 {
		t.Errorf("said of %d moments only: too little was tried", passed)
	}
	t.Logf("said of %d moments", passed)
}

// TestAnyRunIsMistaken shows that the witness finds a third holder when loans of any run count.
func TestAnyRunIsMistaken(t *testing.T) {
	for seed := range uint64(30) {
		if w := watched(t, seed, true); w.mistaken != "" {
			t.Logf("seed %d: %s", seed, w.mistaken)
			return
		}
	}
	t.Error("no third holder was found")
}
