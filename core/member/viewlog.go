package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// viewLogLimit is the largest number of views kept for one router to check the handover of duties.
const viewLogLimit = 16

// numberedView is a router's view and its sequence number.
type numberedView struct {
	seq  uint64
	view []uint32
}

// viewLog holds the latest views received from one incarnation of a router, oldest first. A gap in the sequence numbers is a
// view that was not received.
type viewLog []numberedView

func (t viewLog) add(seq uint64, view []uint32) viewLog {
	if n := len(t); n > 0 && t[n-1].seq >= seq {
		return t
	}
	t = append(t, numberedView{seq: seq, view: view})
	if len(t) > viewLogLimit {
		t = t[1:]
	}
	return t
}

// newest returns the sequence number of the latest view, or 0 if there is none.
func (t viewLog) newest() uint64 {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].seq
}

// viewSpan is a range of consecutive views that name the same router.
type viewSpan struct {
	router      uint32
	first, last uint64 // sequence numbers of views
}

// previous returns the span just before the latest views, which name the holder. It returns false if that span was not received.
func (t viewLog) previous(r *ranking, holder uint32) (viewSpan, bool) {
	var found viewSpan
	ok := false
	for i := len(t) - 1; i >= 0; i-- {
		if i < len(t)-1 && t[i].seq+1 != t[i+1].seq {
			break
		}
		winner, named := r.winner(t[i].view)
		switch {
		case !named || ok && winner != found.router:
			return found, ok
		case ok:
			found.first = t[i].seq
		case winner != holder && i == len(t)-1:
			return viewSpan{}, false
		case winner != holder:
			found, ok = viewSpan{router: winner, first: t[i].seq, last: t[i].seq}, true
		}
	}
	return found, ok
}

// viewLogOf returns the views received from a router and its incarnation.
func (m *Members) viewLogOf(name string) (viewLog, uint64) {
	if name == m.Self {
		return m.viewLog, m.Incarnation
	}
	if p, found := m.peers[name]; found {
		return p.viewLog, p.incarnation
	}
	return nil, 0
}

// ViewSeq returns the sequence number of a router's latest view, or 0 if there is none. The router may be Self.
func (m *Members) ViewSeq(router string) uint64 {
	t, _ := m.viewLogOf(router)
	return t.newest()
}

// Loans reports whether this router holds a duty and returns the views with which its lenders name it, ordered by router.
func (m *Members) Loans(now time.Duration, duty string) (loans []fleet.KeyLoan, holds bool) {
	lenders, _ := m.Lenders(now, duty)
	if !m.isMajority(lenders) {
		return nil, false
	}
	for _, name := range lenders {
		t, incarnation := m.viewLogOf(name)
		loans = append(loans, fleet.KeyLoan{Router: name, Incarnation: incarnation, ViewSeq: t.newest()})
	}
	return loans, true
}

// HasPredecessor reports whether a lender for a duty named another router just before it named this one.
func (m *Members) HasPredecessor(now time.Duration, duty string) bool {
	r := ranking{seed: hashText(duty)}
	lenders, _ := m.Lenders(now, duty)
	return slices.ContainsFunc(lenders, func(name string) bool {
		t, _ := m.viewLogOf(name)
		_, ok := t.previous(&r, Hash(m.Self))
		return ok
	})
}

// HandedOver reports whether this router, which holds the duty now, got it directly from a router that last held it by the given loans.
// Each lender of a majority named no other router in between, so no third router can have held the duty.
func (m *Members) HandedOver(now time.Duration, duty, from string, loans []fleet.KeyLoan) bool {
	r := ranking{seed: hashText(duty)}
	lenders, _ := m.Lenders(now, duty)
	loanOf := map[string]fleet.KeyLoan{}
	for _, l := range loans {
		loanOf[l.Router] = l
	}
	var direct []string
	for _, name := range lenders {
		l, found := loanOf[name]
		t, incarnation := m.viewLogOf(name)
		span, ok := t.previous(&r, Hash(m.Self))
		same := found && ok && l.Incarnation == incarnation && span.router == Hash(from)
		if same && span.first <= l.ViewSeq && l.ViewSeq <= span.last {
			direct = append(direct, name)
		}
	}
	return m.isMajority(lenders) && m.isMajority(direct)
}
