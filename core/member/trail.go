package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// trailLimit bounds the views remembered of one router for the handing over of duties.
const trailLimit = 16

// passed is one of a router's views with its number.
type passed struct {
	seq  uint64
	view []uint32
}

// trail is the latest views seen of one incarnation of a router, oldest first; a missing number is a view that was not seen.
type trail []passed

func (t trail) add(seq uint64, view []uint32) trail {
	if n := len(t); n > 0 && t[n-1].seq >= seq {
		return t
	}
	t = append(t, passed{seq: seq, view: view})
	if len(t) > trailLimit {
		t = t[1:]
	}
	return t
}

// newest gives the number of the latest view, 0 for none.
func (t trail) newest() uint64 {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].seq
}

// run is a run of adjoining views that name one router.
type run struct {
	router      uint32
	first, last uint64 // numbers of views
}

// before gives the run that came just before the latest views, which name a holder; false when it was not seen.
func (t trail) before(r *ranking, holder uint32) (run, bool) {
	var found run
	ok := false
	for i := len(t) - 1; i >= 0; i-- {
		if i < len(t)-1 && t[i].seq+1 != t[i+1].seq {
			break
		}
		winner, named := r.of(t[i].view)
		switch {
		case !named || ok && winner != found.router:
			return found, ok
		case ok:
			found.first = t[i].seq
		case winner != holder && i == len(t)-1:
			return run{}, false
		case winner != holder:
			found, ok = run{router: winner, first: t[i].seq, last: t[i].seq}, true
		}
	}
	return found, ok
}

// trailOf gives what was seen of a router's views, and its incarnation.
func (m *Members) trailOf(name string) (trail, uint64) {
	if name == m.Self {
		return m.trail, m.Incarnation
	}
	if p, found := m.peers[name]; found {
		return p.trail, p.incarnation
	}
	return nil, 0
}

// ViewSeq gives the number of a router's latest view, 0 for none; it is this router's own for Self.
func (m *Members) ViewSeq(router string) uint64 {
	t, _ := m.trailOf(router)
	return t.newest()
}

// Loans reports whether this router holds a duty, and gives the views by which its lenders name it, ascending by router.
func (m *Members) Loans(now time.Duration, duty string) (loans []fleet.KeyLoan, holds bool) {
	lenders, _ := m.Lenders(now, duty)
	if !m.isMajority(lenders) {
		return nil, false
	}
	for _, name := range lenders {
		t, incarnation := m.trailOf(name)
		loans = append(loans, fleet.KeyLoan{Router: name, Incarnation: incarnation, ViewSeq: t.newest()})
	}
	return loans, true
}

// Preceded reports whether a lender for a duty named another router just before it named this one.
func (m *Members) Preceded(now time.Duration, duty string) bool {
	r := ranking{seed: hashText(duty)}
	lenders, _ := m.Lenders(now, duty)
	return slices.ContainsFunc(lenders, func(name string) bool {
		t, _ := m.trailOf(name)
		_, ok := t.before(&r, Hash(m.Self))
		return ok
	})
}

// Passed reports whether a duty came to this router, which holds it now, straight from a router that last held it by the given loans:
// each lender of a majority named nobody else between, so that no third router can have held the duty.
func (m *Members) Passed(now time.Duration, duty, from string, loans []fleet.KeyLoan) bool {
	r := ranking{seed: hashText(duty)}
	lenders, _ := m.Lenders(now, duty)
	lent := map[string]fleet.KeyLoan{}
	for _, l := range loans {
		lent[l.Router] = l
	}
	var straight []string
	for _, name := range lenders {
		l, found := lent[name]
		t, incarnation := m.trailOf(name)
		before, ok := t.before(&r, Hash(m.Self))
		same := found && ok && l.Incarnation == incarnation && before.router == Hash(from)
		if same && before.first <= l.ViewSeq && l.ViewSeq <= before.last {
			straight = append(straight, name)
		}
	}
	return m.isMajority(lenders) && m.isMajority(straight)
}
