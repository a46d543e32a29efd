package member

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// tenure is a period during which one incarnation of a router was observed to hold a duty.
type tenure struct {
	router      string
	incarnation uint64
	begin, end  time.Duration // true time
	loans       []fleet.KeyLoan
}

// holderObserver records who held each duty and checks the results of HandedOver.
type holderObserver struct {
	d         *driver
	tenures   map[string][]tenure // by duty
	anySpan   bool                // accepts loans of any span of views, to show that the check is needed
	passed    int
	violation string
}

// observe records the holders of this step and calls HandedOver on each of them for all former tenures.
func (w *holderObserver) observe() {
	for _, duty := range duties {
		for _, n := range w.d.nodes {
			if n.dead || n.paused {
				continue
			}
			now := w.d.clock(n)
			if loans, holds := n.members.Loans(now, duty); holds {
				w.record(duty, n, loans)
				w.checkHandedOver(duty, n, now)
			}
		}
	}
}

func (w *holderObserver) record(duty string, n *node, loans []fleet.KeyLoan) {
	all := w.tenures[duty]
	if last := len(all) - 1; last >= 0 && all[last].router == n.name && all[last].incarnation == n.incarnation {
		all[last].end, all[last].loans = w.d.now, loans
		return
	}
	w.tenures[duty] = append(all, tenure{router: n.name, incarnation: n.incarnation, begin: w.d.now, end: w.d.now, loans: loans})
}

// checkHandedOver requires that no third router held the duty between a tenure from which HandedOver reports a direct handover and now.
func (w *holderObserver) checkHandedOver(duty string, n *node, now time.Duration) {
	all := w.tenures[duty]
	for i, t := range all[:len(all)-1] {
		loans := t.loans
		if w.anySpan {
			loans = forgeLoans(n, duty)
		}
		if t.router == n.name || !n.members.HandedOver(now, duty, t.router, loans) {
			continue
		}
		w.passed++
		for _, between := range all[i+1:] {
			if between.router != t.router && between.router != n.name {
				w.violation = fmt.Sprintf("at %v %s holds %s, reported as handed over directly by %s at %v, but %s held it at %v",
					w.d.now, n.name, duty, t.router, t.end, between.router, between.end)
			}
		}
	}
}

// forgeLoans returns loans that match whichever span of views came before the present one.
func forgeLoans(n *node, duty string) []fleet.KeyLoan {
	var forged []fleet.KeyLoan
	r := ranking{seed: hashText(duty)}
	for _, name := range n.members.listed() {
		views, incarnation := n.members.viewLogOf(name)
		if span, ok := views.previous(&r, Hash(n.name)); ok {
			forged = append(forged, fleet.KeyLoan{Router: name, Incarnation: incarnation, ViewSeq: span.last})
		}
	}
	return forged
}

// observeRandomFaults runs random faults under a holderObserver.
func observeRandomFaults(t *testing.T, seed uint64, anySpan bool) *holderObserver {
	d := newDriver(t, seed, 3+int(seed%3))
	w := &holderObserver{d: d, tenures: map[string][]tenure{}, anySpan: anySpan}
	d.run(2 * time.Second)
	for range 60 {
		d.injectFault()
		for end := d.now + time.Duration(d.r.Int64N(int64(900*time.Millisecond))); d.now < end; {
			d.run(step)
			w.observe()
		}
	}
	return w
}

// TestHandedOverMeansNoHolderBetween requires that no third router held a duty after the router from which HandedOver reports a direct handover.
func TestHandedOverMeansNoHolderBetween(t *testing.T) {
	passed := 0
	for seed := range uint64(30) {
		w := observeRandomFaults(t, seed, false)
		w.d.requireNoViolation()
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		passed += w.passed
	}
	if passed < 100 {
		t.Errorf("HandedOver reported only %d direct handovers, want at least 100", passed)
	}
	t.Logf("HandedOver reported %d direct handovers", passed)
}

// TestLoansOfAnySpanAreUnsafe checks that the observer detects a third holder when loans of any span of views count.
func TestLoansOfAnySpanAreUnsafe(t *testing.T) {
	for seed := range uint64(30) {
		if w := observeRandomFaults(t, seed, true); w.violation != "" {
			t.Logf("seed %d: %s", seed, w.violation)
			return
		}
	}
	t.Error("no third holder was found")
}
