package keys

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// site is one router that may be the home, with the error of its wall clock.
type site struct {
	home        *Home
	error       time.Duration
	incarnation int
	taken       map[int]bool // handovers by number
	next        int          // site that all slots were handed over to, -1 for none
}

// handover is on its way from a former holder to the next one.
type handover struct {
	at, sent    time.Duration
	number      int
	from, to    int
	incarnation int // of the receiver that it is meant for
	changes     int // of the holder when it was sent
	slots       [Slots]Handover
}

// weakness is a rule that is left out to show that the test would find it.
type weakness struct {
	anyFormer bool // a third holder between does not matter
	anyAge    bool // a late handover counts
	goesOn    bool // the former home answers on after it has handed over
	noRecords bool // the records are not handed over
}

// handoverAge is the longest age of a handover that the node lets count.
const handoverAge = 1800 * time.Millisecond

// permit is a KeyRun that some entry router holds.
type permit struct {
	key    string
	home   int
	ticket uint64
}

// homes passes the duty between routers that lose their memory, one holder at a time.
type homes struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	pace      int // steps in which about one of each fault is met; keys are tried again for a part of them
	now       time.Duration
	sites     [3]site
	holder    int // -1 for none
	weak      weakness
	fault     string // the first key that ran twice
	past      []int  // holders, the latest last; -1 for none
	moving    []*handover
	number    int
	late      int // the last holder, which has not heard yet that it is none
	lateAt    time.Duration
	keys      []string
	runs      map[string]int
	open      []permit
	ticket    uint64
	inherited int
	counts    map[fleet.KeyVerdict]int
}

func (h *homes) wall(i int) time.Time { return epoch.Add(h.now + h.sites[i].error) }

func (h *homes) restart(i int) {
	s := site{home: &Home{}, error: time.Duration(h.random.IntN(3)-1) * DefaultClockError, incarnation: h.sites[i].incarnation + 1, taken: map[int]bool{}, next: -1}
	h.sites[i] = s
}

// change makes another router the holder, or none; when planned, the former one stops at once and hands over.
func (h *homes) change(to int, planned bool) {
	from := h.holder
	if from >= 0 && from != to {
		h.late, h.lateAt = from, h.now
	}
	h.holder = to
	h.past = append(h.past, to)
	if from < 0 || from == to || !planned {
		return
	}
	o := &handover{sent: h.now, from: from, to: to, changes: len(h.past) - 1}
	if to < 0 {
		o.to = h.random.IntN(len(h.sites)) // it may come to hold later
	}
	o.incarnation = h.sites[o.to].incarnation
	former := h.sites[from].home
	for slot := range Slots {
		held := former.slots[slot]
		former.Hold(h.now, slot, false, h.wall(from))
		o.slots[slot], _ = former.HandOver(h.now, slot)
		if h.weak.goesOn {
			former.slots[slot] = held
		}
	}
	if !h.weak.goesOn {
		h.late = -1
	}
	h.sites[from].next = o.to
	h.number++
	o.number = h.number
	for range h.random.IntN(3) { // lost, sent, or sent twice
		copied := *o
		copied.at = h.now + time.Duration(h.random.IntN(400))*time.Millisecond
		if h.random.IntN(4) == 0 {
			copied.at += time.Duration(h.random.IntN(6000)) * time.Millisecond
		}
		h.moving = append(h.moving, &copied)
	}
}

// straight says whether nobody but the sender held between a handover and the receiver's holds. The sender may have held again
// before these, which views don't show; once the receiver has held, views name it until another has.
func (h *homes) straight(o *handover) bool {
	received := false
	for _, holder := range h.past[o.changes:] {
		if holder >= 0 && holder != o.to && (holder != o.from || received) {
			return false
		}
		received = received || holder == o.to
	}
	return true
}

// deliver lets handovers arrive as the node would.
func (h *homes) deliver() {
	for i := 0; i < len(h.moving); i++ {
		o := h.moving[i]
		if h.now < o.at {
			continue
		}
		s := &h.sites[o.to]
		late := h.now-o.sent > handoverAge && !h.weak.anyAge
		if late || s.incarnation != o.incarnation || s.taken[o.number] {
			h.moving = append(h.moving[:i], h.moving[i+1:]...)
			i--
			continue
		}
		if o.to != h.holder || !h.straight(o) && !h.weak.anyFormer {
			continue // it may still come to hold
		}
		for slot := range Slots {
			if o.slots[slot].Since.IsZero() {
				continue
			}
			if h.weak.noRecords {
				o.slots[slot].Records = nil
			}
			if s.home.Inherit(h.now, slot, o.slots[slot]) {
				s.taken[o.number] = true
				h.inherited++
			}
		}
	}
}

func (h *homes) hold() {
	for i := range h.sites {
		if i == h.late && i != h.holder && h.now <= h.lateAt+DefaultHoldFresh {
			continue
		}
		for slot := range Slots {
			home := h.sites[i].home
			begins := i == h.holder && !home.slots[slot].holds
			home.Hold(h.now, slot, i == h.holder, h.wall(i))
			if begins {
				home.Wait(h.now, slot, h.now+500*time.Millisecond)
				h.sites[i].next = -1
			}
		}
		h.sites[i].home.Tick(h.now, h.wall(i))
	}
}

// key gives a key asked for before, or a new one of a caller whose clock may be wrong by more than the limits.
func (h *homes) key(at int) string {
	if len(h.keys) > 0 && h.random.IntN(3) > 0 {
		return h.keys[len(h.keys)-1-h.random.IntN(min(len(h.keys), h.pace/6))]
	}
	minted := h.now + time.Duration(h.random.IntN(12000)-6000)*time.Millisecond
	if h.random.IntN(2) == 0 {
		minted = h.now + h.sites[at].error + DefaultRunAhead // the latest that this home runs
	}
	h.keys = append(h.keys, mint(minted, len(h.keys)))
	return h.keys[len(h.keys)-1]
}

// ask opens a key at any router, also one that is not the home.
func (h *homes) ask() {
	at := h.holder
	switch {
	case h.late >= 0 && h.now <= h.lateAt+DefaultHoldFresh && h.random.IntN(2) == 0:
		at = h.late
	case at < 0 || h.random.IntN(10) == 0:
		at = h.random.IntN(len(h.sites))
	}
	key := h.key(at)
	h.ticket++
	o := fleet.KeyOpen{Ticket: h.ticket, Team: "joiners", Key: key, Digest: 1}
	a := h.sites[at].home.Open(h.now, h.wall(at), "router", o)
	h.counts[a.Verdict]++
	switch {
	case a.Verdict == fleet.KeyRun:
		h.open = append(h.open, permit{key, at, o.Ticket})
	case h.random.IntN(4) == 0: // the asker no longer waited for this answer and takes its question back
		h.sites[at].home.Close(h.now, "router", fleet.KeyClose{
			Ticket: o.Ticket, Team: o.Team, Key: key, Outcome: fleet.KeyRefused,
		})
	}
}

// end uses or gives back a permission, however late; its close may be lost or go to another home.
func (h *homes) end() {
	if len(h.open) == 0 {
		return
	}
	i := h.random.IntN(len(h.open))
	p := h.open[i]
	h.open = append(h.open[:i], h.open[i+1:]...)
	c := fleet.KeyClose{Ticket: p.ticket, Team: "joiners", Key: p.key, Outcome: fleet.KeyRefused}
	if h.random.IntN(4) > 0 {
		h.runs[p.key]++
		if h.runs[p.key] > 1 && h.fault == "" {
			h.fault = fmt.Sprintf("seed %d at %v: key %s ran %d times", h.seed, h.now, p.key, h.runs[p.key])
		}
		c.Outcome = []fleet.KeyVerdict{fleet.KeyAnswered, fleet.KeyUnknown}[h.random.IntN(2)]
	}
	switch h.random.IntN(4) {
	case 0: // lost
	case 1:
		h.close(h.random.IntN(len(h.sites)), c)
	default:
		h.close(p.home, c)
		if h.holder >= 0 {
			h.close(h.holder, c)
		}
	}
}

// close closes a key at a site, which passes it on when it has handed the record over.
func (h *homes) close(at int, c fleet.KeyClose) {
	s := &h.sites[at]
	if s.home.Close(h.now, "router", c) && s.next >= 0 && h.random.IntN(4) > 0 {
		h.close(s.next, c)
	}
}

func (h *homes) step() {
	h.now += time.Duration(h.random.IntN(100)) * time.Millisecond
	if h.random.IntN(200) == 0 {
		h.now += time.Duration(h.random.IntN(700)) * time.Second
	}
	switch h.random.IntN(h.pace) {
	case 0:
		h.change(h.random.IntN(len(h.sites)+1)-1, h.random.IntN(2) == 0)
	case 2, 3:
		h.change(h.random.IntN(len(h.sites)), true)
	case 1:
		h.restart(h.random.IntN(len(h.sites)))
	}
	h.hold()
	h.deliver()
	if h.random.IntN(2) == 0 {
		h.ask()
		return
	}
	h.end()
}

// runHomes makes 1,500 steps, or fewer when a key ran twice.
func runHomes(t *testing.T, seed uint64, weak weakness, counts map[fleet.KeyVerdict]int) *homes {
	h := &homes{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), pace: []int{60, 240}[seed%2], now: time.Hour, holder: -1, late: -1,
		runs: map[string]int{}, counts: counts, weak: weak,
	}
	for i := range h.sites {
		h.restart(i)
	}
	h.change(0, false)
	for range 1500 {
		if h.step(); h.fault != "" {
			break
		}
	}
	return h
}

func TestNoKeyRunsTwice(t *testing.T) {
	counts := map[fleet.KeyVerdict]int{}
	inherited := 0
	for seed := range uint64(200) {
		h := runHomes(t, seed, weakness{}, counts)
		inherited += h.inherited
		if h.fault != "" {
			t.Fatal(h.fault)
		}
	}
	for _, v := range []fleet.KeyVerdict{fleet.KeyRefused, fleet.KeyRun, fleet.KeyAnswered, fleet.KeyInProgress, fleet.KeyUnknown} {
		if counts[v] < 500 {
			t.Errorf("only %d verdicts %v: too little was tried", counts[v], v)
		}
	}
	if inherited < 400*Slots {
		t.Errorf("only %d slots inherited: too little was tried", inherited)
	}
}

// TestWeakenedHandoverRunsTwice shows that the random test finds a key that runs twice once a rule of the handover is left out.
func TestWeakenedHandoverRunsTwice(t *testing.T) {
	for name, weak := range map[string]weakness{
		"a third home between":            {anyFormer: true},
		"a late handover":                 {anyAge: true},
		"the former home answers on":      {goesOn: true},
		"the records are not handed over": {noRecords: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				if h := runHomes(t, seed, weak, map[fleet.KeyVerdict]int{}); h.fault != "" {
					t.Log(h.fault)
					return
				}
			}
			t.Error("no key ran twice")
		})
	}
}
