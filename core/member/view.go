package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// lendAge is how long a view must have named a holder before the holder may count it.
const lendAge = fleet.ViewLease + fleet.ClockDrift

// historyLimit bounds the views remembered of one router.
const historyLimit = 16

// internLimit bounds the distinct views that are shared.
const internLimit = 32

// epoch is a time during which a router's view did not change.
type epoch struct {
	view  []uint32
	since time.Duration // on the observer's clock, never before the true start
	// adjoins says that no view in force for longer than ClockDrift lies between this epoch and the one before.
	adjoins bool
	begin   int64 // start on the owner's clock, in milliseconds
	seen    int64 // owner's newest stamp under this view
}

// history is the latest epochs of one router's view, oldest first.
type history []epoch

func (h history) latest() []uint32 {
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1].view
}

// add appends an epoch and drops those too old to matter.
func (h history) add(e epoch, now time.Duration) history {
	h = append(h, e)
	for len(h) > historyLimit || len(h) > 1 && now-h[1].since >= lendAge {
		h = h[1:]
	}
	return h
}

// take adds what a heartbeat told of its sender's view, at the observer's time now.
func (h history) take(now time.Duration, stamp int64, view []uint32, age int64) history {
	const rounding = 2 // milliseconds
	begin := stamp - age
	since := now - time.Duration(age)*time.Millisecond
	if len(h) > 0 {
		last := &h[len(h)-1]
		if slices.Equal(last.view, view) && begin <= last.begin+rounding {
			last.since = min(last.since, since)
			last.seen = stamp
			return h
		}
	}
	adjoins := len(h) > 0 && begin-h[len(h)-1].seen <= fleet.ClockDrift.Milliseconds()
	return h.add(epoch{view: view, since: since, adjoins: adjoins, begin: begin, seen: stamp}, now)
}

// ranking names the winners of one duty, once for each view.
type ranking struct {
	seed  uint64
	known []ranked
}

// ranked is a view and the router that it names.
type ranked struct {
	view   []uint32
	winner uint32
}

// of gives the router that a view names; the view must be one that intern gave.
func (r *ranking) of(view []uint32) (uint32, bool) {
	if len(view) == 0 {
		return 0, false
	}
	for _, k := range r.known {
		if &k.view[0] == &view[0] {
			return k.winner, true
		}
	}
	w, ok := winner(view, r.seed)
	r.known = append(r.known, ranked{view: view, winner: w})
	return w, ok
}

// named gives since when a router's views have named one holder for a duty without a gap.
func (h history) named(r *ranking, holder uint32) (since time.Duration, ok bool) {
	for i := len(h) - 1; i >= 0; i-- {
		w, found := r.of(h[i].view)
		if !found || w != holder {
			break
		}
		since, ok = h[i].since, true
		if !h[i].adjoins {
			break
		}
	}
	return since, ok
}

// intern gives one shared copy of equal views, as most routers' views are.
func (m *Members) intern(view []uint32) []uint32 {
	for _, v := range m.interned {
		if slices.Equal(v, view) {
			return v
		}
	}
	if len(m.interned) >= internLimit {
		m.interned = m.interned[1:]
	}
	v := slices.Clone(view)
	m.interned = append(m.interned, v)
	return v
}

// view computes which routers this one would give a duty: listed, live, neither leaving nor draining.
func (m *Members) view() []uint32 {
	view := m.hashes(func(name string) bool {
		if m.vms[name].State == fleet.VMLeaving {
			return false
		}
		if name == m.Self {
			return !m.draining
		}
		return !m.peers[name].draining
	})
	if len(view) == 0 { // all stop: those that remain still serve each other
		view = m.hashes(func(string) bool { return true })
	}
	return view
}

// hashes gives the hashes of the live routers that are fit, ascending; names whose hashes collide take no duty.
func (m *Members) hashes(fit func(name string) bool) []uint32 {
	count := make(map[uint32]int, len(m.listed()))
	for _, name := range m.listed() {
		count[Hash(name)]++
	}
	var view []uint32
	for _, name := range m.listed() {
		live := name == m.Self || m.peers[name].live
		if live && fit(name) && count[Hash(name)] == 1 {
			view = append(view, Hash(name))
		}
	}
	slices.Sort(view)
	return view
}

// renew recomputes the own view and reports whether it changed; a change waits while a heartbeat carries the present stamp.
func (m *Members) renew(now time.Duration) bool {
	view := m.intern(m.view())
	begin := m.Clock(now)
	if slices.Equal(m.views.latest(), view) || len(m.views) > 0 && m.lastStamp >= begin {
		return false
	}
	if len(m.views) == 0 || len(m.views) == historyLimit {
		m.historyFrom = now
	}
	m.views = m.views.add(epoch{view: view, since: now, adjoins: len(m.views) > 0, begin: begin}, now)
	m.sole = false
	m.viewSeq++
	m.trail = m.trail.add(m.viewSeq, view)
	return true
}

// becameSole reports whether it has just become known that no router counts this one under an earlier view.
func (m *Members) becameSole(now time.Duration) bool {
	if m.sole || !m.allAcked(now) {
		return false
	}
	m.sole = true
	return true
}

// allAcked reports whether every router that an earlier view may have named has taken the present view, or can no longer count the earlier one.
func (m *Members) allAcked(now time.Duration) bool {
	last := len(m.views) - 1
	if last < 0 || now-m.historyFrom < lendAge {
		return false
	}
	self := Hash(m.Self)
	for i, e := range m.views[:last] {
		if now-m.views[i+1].since >= lendAge {
			continue
		}
		for _, router := range e.view {
			if router != self && !m.acked(router, &m.views[last]) {
				return false
			}
		}
	}
	return true
}

// acked reports whether a router has taken a heartbeat with the present view, in an incarnation that it had before.
func (m *Members) acked(router uint32, present *epoch) bool {
	p, found := m.byHash[router]
	return found && p.begun <= present.since && p.acked >= present.begin
}
