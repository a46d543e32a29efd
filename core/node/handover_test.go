package node

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/core/member"
)

// epoch is the wall clock's time at the start of a test.
var epoch = time.UnixMilli(1_800_000_000_000)

// router is one node of a fleet in virtual time.
type router struct {
	name    string
	node    *Node
	started time.Duration
	running bool
	frozen  bool
	inbox   []delivery
	events  []Event
}

// delivery is a message in flight.
type delivery struct {
	at      time.Duration
	from    string
	message fleet.Message
}

// testFleet runs nodes without sockets, each with its own clock. Messages between two nodes arrive in order.
type testFleet struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	now        time.Duration
	routers    []*router
	starts     uint32
	lose       func(from, to string, m *fleet.Message) bool
	slow       func(from, to string) time.Duration // nil delays nothing
	requests   uint64
	keys       map[uint64]string // by request
	permits    map[uint64]*router
	runs       map[string]int
	replies    map[string]int // verdict and reason
	counts     map[string]int
	refused    time.Time // latest timestamp of a key that was refused for good
	waiting    []retry
	retryRange int // number of the latest requests whose keys are tried again
}

// retry is a request that a router repeats once its key may run.
type retry struct {
	at     time.Duration
	router *router
	key    string
}

func newFleet(t *testing.T, seed uint64, count int) *testFleet {
	f := &testFleet{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: time.Hour,
		keys: map[uint64]string{}, permits: map[uint64]*router{}, runs: map[string]int{},
		replies: map[string]int{}, counts: map[string]int{},
	}
	for i := range count {
		f.routers = append(f.routers, &router{name: fmt.Sprintf("router-%d", i+1)})
	}
	for _, r := range f.routers {
		f.start(r)
	}
	return f
}

func (f *testFleet) start(r *router) {
	f.starts++
	r.node = &Node{Start: Start{Self: r.name, DataCentre: "lahore", Incarnation: f.starts}}
	r.node.Count = func(name string) { f.counts[name]++ }
	r.started, r.running, r.inbox = f.now-time.Millisecond, true, nil
	var vms []fleet.VM
	for _, other := range f.routers {
		vms = append(vms, fleet.VM{Name: other.name, Address: other.name, DataCentre: "lahore", Router: true})
	}
	r.events = []Event{{VMList: &VMList{VMs: vms}}}
}

// run advances the fleet by a time. Under load, each step may open a key and close a permitted one.
func (f *testFleet) run(length time.Duration, load bool) {
	step := 20 * time.Millisecond
	if load {
		step = 4 * time.Millisecond
	}
	for end := f.now + length; f.now < end; f.now += step {
		if load && f.random.IntN(2) == 0 {
			f.openSome()
		}
		f.closeSome()
		f.retryDue()
		for _, r := range f.routers {
			if r.running && !r.frozen {
				f.step(r)
			}
		}
	}
}

func (f *testFleet) step(r *router) {
	slices.SortStableFunc(r.inbox, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	for len(r.inbox) > 0 && r.inbox[0].at <= f.now {
		p := r.inbox[0]
		r.inbox = r.inbox[1:]
		r.events = append(r.events, Event{Received: &Received{From: p.from, Message: p.message}})
	}
	events := r.events
	r.events = nil
	for _, e := range r.node.Step(f.now-r.started, epoch.Add(f.now), events) {
		switch {
		case e.Send != nil:
			f.send(r, e.Send)
		case e.Key != nil:
			f.reply(r, e.Key)
		}
	}
}

func (f *testFleet) send(r *router, s *Send) {
	if f.lose != nil && f.lose(r.name, s.To, &s.Message) {
		return
	}
	for _, to := range f.routers {
		if to.name != s.To || !to.running {
			continue
		}
		at := f.now + time.Duration(f.random.IntN(6))*time.Millisecond
		if f.slow != nil {
			at += f.slow(r.name, s.To)
		}
		for _, p := range to.inbox {
			if p.from == r.name {
				at = max(at, p.at)
			}
		}
		to.inbox = append(to.inbox, delivery{at: at, from: r.name, message: s.Message})
	}
}

// openSome opens a new key, or again one of the latest.
func (f *testFleet) openSome() {
	r := f.routers[f.random.IntN(len(f.routers))]
	if !r.running {
		return
	}
	f.requests++
	key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", epoch.Add(f.now).UnixMilli()>>16, epoch.Add(f.now).UnixMilli()&0xffff, f.requests)
	if old := f.keys[f.requests-min(f.requests, 1+uint64(f.random.IntN(max(f.retryRange, 40))))]; old != "" && f.random.IntN(3) == 0 {
		key = old
	}
	f.open(r, key)
}

func (f *testFleet) open(r *router, key string) {
	f.keys[f.requests] = key
	r.events = append(r.events, Event{KeyOpen: &KeyRequest{ID: f.requests, Open: fleet.KeyOpen{Team: "farm", Key: key, Digest: 1}}})
}

// retryDue opens the keys again whose wait is over.
func (f *testFleet) retryDue() {
	waiting := f.waiting
	f.waiting = nil
	for _, q := range waiting {
		if f.now < q.at {
			f.waiting = append(f.waiting, q)
		} else if q.router.running {
			f.requests++
			f.open(q.router, q.key)
		}
	}
}

func (f *testFleet) reply(r *router, k *KeyReply) {
	f.replies[k.Answer.Verdict.String()+" "+k.Answer.Reason.String()]++
	if k.Answer.Verdict == fleet.KeyRun {
		f.permits[k.ID] = r
	}
	minted, _ := keys.Timestamp(f.keys[k.ID])
	switch a := k.Answer; {
	case a.Wait > 0:
		f.waiting = append(f.waiting, retry{f.now + time.Duration(a.Wait)*time.Millisecond, r, f.keys[k.ID]})
	case a.Reason == fleet.ReasonKeyTooOld && minted.After(f.refused):
		f.refused = minted
	}
}

// closeSome runs or returns some permissions, and closes their keys.
func (f *testFleet) closeSome() {
	for _, ask := range slices.Sorted(maps.Keys(f.permits)) {
		if f.random.IntN(20) > 0 {
			continue
		}
		r := f.permits[ask]
		delete(f.permits, ask)
		c := fleet.KeyClose{Team: "farm", Key: f.keys[ask], Outcome: fleet.KeyRefused}
		if f.random.IntN(3) > 0 {
			f.recordRun(c.Key)
			c.Outcome, c.Answer = fleet.KeyAnswered, fleet.Answer{Status: 200}
		}
		if r.running {
			r.events = append(r.events, Event{KeyClose: &c})
		}
	}
}

// rollingRestart drains, stops and restarts every router in turn, under load.
func (f *testFleet) rollingRestart() {
	f.run(8*time.Second, false)
	f.run(time.Second, true)
	for _, r := range f.routers {
		r.events = append(r.events, Event{Drain: &Drain{}})
		f.run(1500*time.Millisecond, true)
		r.running = false
		f.dropPermits(r)
		f.run(time.Duration(f.random.IntN(2000))*time.Millisecond, true)
		f.start(r)
		f.run(5*time.Second, true)
	}
}

// dropPermits drops the permissions of a router that has stopped.
func (f *testFleet) dropPermits(r *router) {
	for ask, holder := range f.permits {
		if holder == r {
			delete(f.permits, ask)
		}
	}
}

// TestPlannedMovesRefuseNoKey restarts each router in turn under load. No key may be refused as too old, and
// none may run twice.
func TestPlannedMovesRefuseNoKey(t *testing.T) {
	for seed := range uint64(4) {
		f := newFleet(t, seed, 3)
		f.rollingRestart()
		if f.replies["unknown keyTooOld"] > 0 || f.replies["refused noMajority"] > 0 || f.replies["run granted"] < 1700 {
			t.Errorf("seed %d: replies %v, counts %v", seed, f.replies, f.counts)
		}
	}
}

// TestALostHomeIsReplaced kills routers under load. If one is lost, the others together know all that it knew.
// If two are lost, the only keys that may be refused are those with a timestamp before the new homes of their
// slots began, or within their guard time.
func TestALostHomeIsReplaced(t *testing.T) {
	const (
		takeover = 2 * time.Second         // bound of TestTakeover in core/member
		guard    = 1500 * time.Millisecond // RunAhead, 2 ClockError and HoldMaxAge
	)
	tests := map[string]struct {
		lost  int
		limit time.Duration
	}{
		"one":          {1, 0},
		"two together": {2, takeover + guard},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(t, seed, 5)
				f.run(member.DefaultListLag+2*time.Second, false)
				f.run(time.Second, true)
				lost := epoch.Add(f.now)
				for _, r := range f.routers[:tt.lost] {
					f.kill(r)
				}
				f.run(8*time.Second, true)
				after := f.refused.Sub(lost)
				if after > tt.limit || (after > 0) != (tt.limit > 0) {
					t.Errorf("seed %d: keys minted up to %v after the loss were refused, limit %v; replies %v, counts %v", seed, after, tt.limit, f.replies, f.counts)
				}
			}
		})
	}
}

// kill stops a router without notice, just after it ran some of the keys that it was permitted to run.
func (f *testFleet) kill(r *router) {
	r.running = false
	for _, ask := range slices.Sorted(maps.Keys(f.permits)) {
		if f.permits[ask] == r && f.random.IntN(2) == 0 {
			f.recordRun(f.keys[ask])
		}
	}
	f.dropPermits(r)
}

func (f *testFleet) recordRun(key string) {
	f.runs[key]++
	if f.runs[key] > 1 {
		f.t.Fatalf("seed %d at %v: key %s ran twice", f.seed, f.now, key)
	}
}

// TestRecalledKeysRunOnce fails routers that have been up for long, one or two at a time, so that the new homes
// of their slots recall the records of the others.
func TestRecalledKeysRunOnce(t *testing.T) {
	recalled := 0
	for seed := range uint64(8) {
		f := newFleet(t, seed, 3+int(seed%3))
		f.retryRange = 800
		f.run(member.DefaultListLag+2*time.Second, false)
		for range 3 {
			f.run(time.Second, true)
			r := f.routers[f.random.IntN(len(f.routers))]
			other := f.routers[f.random.IntN(len(f.routers))]
			switch f.random.IntN(7) {
			case 6:
				f.slow = func(from, _ string) time.Duration {
					if from != r.name {
						return 0
					}
					return time.Duration(f.random.IntN(900)) * time.Millisecond
				}
			case 0:
				r.frozen = true
			case 1:
				f.lose = func(from, to string, _ *fleet.Message) bool { return from == r.name || to == r.name }
			case 2:
				f.lose = func(from, to string, _ *fleet.Message) bool { return from == r.name && to == other.name }
				f.kill(other)
			case 3:
				f.kill(other)
				fallthrough
			default:
				f.kill(r)
			}
			f.run(time.Duration(2000+f.random.IntN(3000))*time.Millisecond, true)
			f.lose, f.slow = nil, nil
			for _, r := range f.routers {
				r.frozen = false
				if !r.running {
					f.start(r)
				}
			}
			f.run(time.Duration(f.random.IntN(4000))*time.Millisecond, true)
			f.run(member.DefaultListLag+time.Second, false)
		}
		recalled += f.counts["keys.recalled"]
	}
	if recalled < 400 {
		t.Errorf("only %d slots were recalled", recalled)
	}
}

// injectFaults fails routers and loses messages at random under load.
func (f *testFleet) injectFaults() {
	f.run(2*time.Second, true)
	cut := map[[2]string]bool{}
	lossy := false
	f.lose = func(from, to string, m *fleet.Message) bool {
		return cut[[2]string{from, to}] || lossy && f.random.IntN(8) == 0 || m.KeyHandover != nil && f.random.IntN(8) == 0
	}
	for range 60 {
		r := f.routers[f.random.IntN(len(f.routers))]
		other := f.routers[f.random.IntN(len(f.routers))]
		switch f.random.IntN(8) {
		case 0:
			f.kill(r)
		case 1, 2:
			r.events = append(r.events, Event{Drain: &Drain{}})
		case 3:
			cut[[2]string{r.name, other.name}] = true
		case 4:
			lossy = !lossy
		default:
			clear(cut)
			for _, r := range f.routers {
				if !r.running || r.node.draining {
					f.dropPermits(r)
					f.start(r)
				}
			}
		}
		f.run(time.Duration(f.random.IntN(4000))*time.Millisecond, true)
	}
}

// TestNoKeyRunsTwiceUnderFaults lets handovers be lost, cut off and out of date. closeSome fails the test if a
// key runs twice.
func TestNoKeyRunsTwiceUnderFaults(t *testing.T) {
	inherited := 0
	for seed := range uint64(4) {
		f := newFleet(t, seed, 3)
		f.injectFaults()
		inherited += f.counts["keys.inherited"]
		if f.replies["run granted"] < 500 {
			t.Errorf("seed %d: replies %v, counts %v", seed, f.replies, f.counts)
		}
	}
	if inherited < 300 {
		t.Errorf("only %d slots were inherited", inherited)
	}
}

// TestOnlyValidHandoversAreApplied alters the handovers of a router that drains. Only an unaltered one may be
// applied.
func TestOnlyValidHandoversAreApplied(t *testing.T) {
	tests := map[string]struct {
		alter   func(m *fleet.Message)
		applied bool
	}{
		"as sent":                  {func(*fleet.Message) {}, true},
		"no loans":                 {func(m *fleet.Message) { m.KeyHandover.Loans = nil }, false},
		"loans of one router":      {func(m *fleet.Message) { m.KeyHandover.Loans = m.KeyHandover.Loans[:1] }, false},
		"loans of an earlier view": {func(m *fleet.Message) { renumber(m, func(l *fleet.KeyLoan) { l.ViewSeq = 0 }) }, false},
		"loans of a later view":    {func(m *fleet.Message) { renumber(m, func(l *fleet.KeyLoan) { l.ViewSeq += 9 }) }, false},
		"lenders that restarted":   {func(m *fleet.Message) { renumber(m, func(l *fleet.KeyLoan) { l.Incarnation += 9 }) }, false},
		"sent long ago":            {func(m *fleet.Message) { m.Echo -= handoverMaxAge.Milliseconds() }, false},
		"for an earlier start":     {func(m *fleet.Message) { m.Echoed-- }, false},
		"one part of two":          {func(m *fleet.Message) { m.KeyHandover.Parts = 2 }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 3)
			f.run(8*time.Second, false)
			f.lose = func(_, _ string, m *fleet.Message) bool {
				if m.KeyHandover != nil && m.KeyHandover.Recall == 0 {
					tt.alter(m)
				}
				return false
			}
			f.routers[0].events = append(f.routers[0].events, Event{Drain: &Drain{}})
			f.run(2*time.Second, true)
			if f.counts["keys.handedOver"] == 0 || (f.counts["keys.inherited"] > 0) != tt.applied {
				t.Errorf("counts %v", f.counts)
			}
		})
	}
}

func renumber(m *fleet.Message, change func(l *fleet.KeyLoan)) {
	loans := slices.Clone(m.KeyHandover.Loans)
	for i := range loans {
		change(&loans[i])
	}
	m.KeyHandover.Loans = loans
}

// TestHandoverParts checks that only a handover that is complete and in order is accepted.
func TestHandoverParts(t *testing.T) {
	tests := map[string]struct {
		parts    []int
		complete bool
	}{
		"whole":                {[]int{0, 1, 2}, true},
		"the last is missing":  {[]int{0, 1}, false},
		"the first is missing": {[]int{1, 2}, false},
		"one between is lost":  {[]int{0, 2}, false},
		"one comes twice":      {[]int{0, 1, 1, 2}, false},
		"begun anew":           {[]int{0, 1, 0, 1, 2}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := &Node{Start: Start{Self: "router-1"}}
			n.init()
			for _, part := range tt.parts {
				h := fleet.KeyHandover{Slot: 3, Number: 1, Part: part, Parts: 3, Records: []fleet.KeyRecord{{Team: "farm"}}}
				n.receiveHandover("router-2", &fleet.Message{KeyHandover: &h})
			}
			if a := n.handovers[3]; a.complete != tt.complete || tt.complete && len(a.handover.Records) != 3 {
				t.Errorf("complete %v with %d records", a.complete, len(a.handover.Records))
			}
		})
	}
}

func TestSplitKeepsAll(t *testing.T) {
	records := make([]fleet.KeyRecord, 50)
	for i := range records {
		records[i].Answer.Body = make([]byte, 20<<10)
	}
	parts := splitRecords(records)
	count := 0
	for _, p := range parts {
		count += len(p)
	}
	if count != len(records) || len(parts) < 3 || len(splitRecords(nil)) != 1 {
		t.Errorf("%d records in %d parts, nothing in %d", count, len(parts), len(splitRecords(nil)))
	}
}
