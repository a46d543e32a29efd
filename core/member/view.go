package member

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// lendAge is how long a view must have named a holder before the holder may count its owner as a lender.
const lendAge = fleet.ViewLease + fleet.ClockDrift

// historyLimit is the largest number of views kept for one router.
const historyLimit = 16

// internLimit is the largest number of distinct interned views.
const internLimit = 32

// epoch is a period during which a router's view did not change.
type epoch struct {
	view  []uint32
	since time.Duration // on the observer's clock, never earlier than the true start
	// contiguous means that no other view was in force for longer than ClockDrift between the previous epoch and this one.
	contiguous bool
	begin      int64 // start on the owner's clock in milliseconds
	lastStamp  int64 // owner's newest stamp with this view
}

// history holds the latest epochs of one router's view, oldest first.
type history []epoch

func (h history) latest() []uint32 {
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1].view
}

// add appends an epoch and drops those that no lease can depend on any more.
func (h history) add(e epoch, now time.Duration) history {
	h = append(h, e)
	for len(h) > historyLimit || len(h) > 1 && now-h[1].since >= lendAge {
		h = h[1:]
	}
	return h
}

// observe records the sender's view from a heartbeat that was received at time now.
func (h history) observe(now time.Duration, stamp int64, view []uint32, age int64) history {
	const rounding = 2 // milliseconds
	begin := stamp - age
	since := now - time.Duration(age)*time.Millisecond
	if len(h) > 0 {
		last := &h[len(h)-1]
		if slices.Equal(last.view, view) && begin <= last.begin+rounding {
			last.since = min(last.since, since)
			last.lastStamp = stamp
			return h
		}
	}
	contiguous := len(h) > 0 && begin-h[len(h)-1].lastStamp <= fleet.ClockDrift.Milliseconds()
	return h.add(epoch{view: view, since: since, contiguous: contiguous, begin: begin, lastStamp: stamp}, now)
}

// ranking caches the winner of one duty for each view.
type ranking struct {
	seed  uint64
	known []ranked
}

// ranked is a view and the hash of the router that it names.
type ranked struct {
	view   []uint32
	winner uint32
}

// winner returns the hash of the router that a view names. The view must come from intern, as views are compared by address.
func (r *ranking) winner(view []uint32) (uint32, bool) {
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

// namedSince returns the time since which a router's views have named the holder without a gap.
func (h history) namedSince(r *ranking, holder uint32) (since time.Duration, ok bool) {
	for i := len(h) - 1; i >= 0; i-- {
		w, found := r.winner(h[i].view)
		if !found || w != holder {
			break
		}
		since, ok = h[i].since, true
		if !h[i].contiguous {
			break
		}
	}
	return since, ok
}

// intern returns a shared copy of a view, as most routers' views are equal.
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

// view computes the routers that may hold duties: listed, live, and neither leaving nor draining.
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
	if len(view) == 0 { // all routers are stopping: the remaining ones still serve each other
		view = m.hashes(func(string) bool { return true })
	}
	return view
}

// hashes returns the hashes of the eligible live routers in ascending order. Routers whose hashes collide are left out.
func (m *Members) hashes(eligible func(name string) bool) []uint32 {
	count := make(map[uint32]int, len(m.listed()))
	for _, name := range m.listed() {
		count[Hash(name)]++
	}
	var view []uint32
	for _, name := range m.listed() {
		live := name == m.Self || m.peers[name].live
		if live && eligible(name) && count[Hash(name)] == 1 {
			view = append(view, Hash(name))
		}
	}
	slices.Sort(view)
	return view
}

// updateView recomputes the own view and reports whether it changed. A change is postponed if a heartbeat with the present stamp was
// already sent.
func (m *Members) updateView(now time.Duration) bool {
	view := m.intern(m.view())
	begin := m.Clock(now)
	if slices.Equal(m.views.latest(), view) || len(m.views) > 0 && m.lastStamp >= begin {
		return false
	}
	if len(m.views) == 0 || len(m.views) == historyLimit {
		m.historyStart = now
	}
	m.views = m.views.add(epoch{view: view, since: now, contiguous: len(m.views) > 0, begin: begin}, now)
	m.exclusive = false
	m.viewSeq++
	m.viewLog = m.viewLog.add(m.viewSeq, view)
	return true
}

// becameExclusive reports whether this call is the first to find that no router counts this one under an earlier view.
func (m *Members) becameExclusive(now time.Duration) bool {
	if m.exclusive || !m.allAcked(now) {
		return false
	}
	m.exclusive = true
	return true
}

// allAcked reports whether every router that an earlier view may have named has acknowledged the present view or can no longer
// count the earlier one.
func (m *Members) allAcked(now time.Duration) bool {
	last := len(m.views) - 1
	if last < 0 || now-m.historyStart < lendAge {
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

// acked reports whether a router acknowledged a heartbeat with the present view in an incarnation that began before that view.
func (m *Members) acked(router uint32, present *epoch) bool {
	p, found := m.byHash[router]
	return found && p.started <= present.since && p.acked >= present.begin
}
