package keys

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// candidate is a router that may become the home, with the error of its wall clock.
type candidate struct {
	home        *Home
	error       time.Duration
	incarnation int
	inherited   map[int]bool // handovers by number
	successor   int          // candidate that all slots were handed over to, -1 for none
}

// handover is a message in flight from a former holder to the next one.
type handover struct {
	arrival, sent time.Duration
	number        int
	from, to      int
	incarnation   int // incarnation of the intended receiver
	holderIndex   int // index into holders when it was sent
	slots         [Slots]Handover
}

// omittedRules names the rules that are left out to show that the test detects it.
type omittedRules struct {
	allowThirdHolder bool // apply a handover although a third router held the slot in between
	allowLate        bool // apply a handover that is too old
	allowFormerHome  bool // the former home keeps answering after its handover
	omitRecords      bool // hand over no records
}

// maxHandoverAge is the largest age at which the node applies a handover.
const maxHandoverAge = 1800 * time.Millisecond

// permission is a KeyRun held by some entry router.
type permission struct {
	key    string
	home   int
	ticket uint64
}

// simulation passes the duty between routers that lose their memory, with one holder at a time.
type simulation struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	faultPeriod int // average number of steps between two faults of one kind; also bounds which keys are tried again
	now         time.Duration
	candidates  [3]candidate
	holder      int // -1 for none
	omitted     omittedRules
	fault       string // the first key that ran twice
	holders     []int  // all holders so far, the latest last; -1 for none
	inFlight    []*handover
	handovers   int
	staleHolder int // the previous holder, which has not noticed yet that it lost the duty
	staleSince  time.Duration
	keys        []string
	runs        map[string]int
	open        []permission
	ticket      uint64
	inherited   int
	counts      map[fleet.KeyVerdict]int
}

func (h *simulation) wall(i int) time.Time { return epoch.Add(h.now + h.candidates[i].error) }

func (h *simulation) restart(i int) {
	s := candidate{home: &Home{}, error: time.Duration(h.random.IntN(3)-1) * DefaultClockError, incarnation: h.candidates[i].incarnation + 1, inherited: map[int]bool{}, successor: -1}
	h.candidates[i] = s
}

// change makes another router the holder, or none. If planned, the former holder stops at once and hands over
// its slots.
func (h *simulation) change(to int, planned bool) {
	from := h.holder
	if from >= 0 && from != to {
		h.staleHolder, h.staleSince = from, h.now
	}
	h.holder = to
	h.holders = append(h.holders, to)
	if from < 0 || from == to || !planned {
		return
	}
	o := &handover{sent: h.now, from: from, to: to, holderIndex: len(h.holders) - 1}
	if to < 0 {
		o.to = h.random.IntN(len(h.candidates)) // it may become the holder later
	}
	o.incarnation = h.candidates[o.to].incarnation
	former := h.candidates[from].home
	for slot := range Slots {
		held := former.slots[slot]
		former.SetHeld(h.now, slot, false, h.wall(from))
		o.slots[slot], _ = former.HandOver(h.now, slot)
		if h.omitted.allowFormerHome {
			former.slots[slot] = held
		}
	}
	if !h.omitted.allowFormerHome {
		h.staleHolder = -1
	}
	h.candidates[from].successor = o.to
	h.handovers++
	o.number = h.handovers
	for range h.random.IntN(3) { // lost, sent, or sent twice
		copied := *o
		copied.arrival = h.now + time.Duration(h.random.IntN(400))*time.Millisecond
		if h.random.IntN(4) == 0 {
			copied.arrival += time.Duration(h.random.IntN(6000)) * time.Millisecond
		}
		h.inFlight = append(h.inFlight, &copied)
	}
}

// noThirdHolder reports whether only the sender and the receiver have held the duty since a handover was sent.
// The sender may have held it again before the receiver did, which views do not show. Once the receiver has held
// it, views name the receiver until there is another holder.
func (h *simulation) noThirdHolder(o *handover) bool {
	received := false
	for _, holder := range h.holders[o.holderIndex:] {
		if holder >= 0 && holder != o.to && (holder != o.from || received) {
			return false
		}
		received = received || holder == o.to
	}
	return true
}

// deliver applies the handovers that have arrived, under the same rules as the node.
func (h *simulation) deliver() {
	for i := 0; i < len(h.inFlight); i++ {
		o := h.inFlight[i]
		if h.now < o.arrival {
			continue
		}
		s := &h.candidates[o.to]
		late := h.now-o.sent > maxHandoverAge && !h.omitted.allowLate
		if late || s.incarnation != o.incarnation || s.inherited[o.number] {
			h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
			i--
			continue
		}
		if o.to != h.holder || !h.noThirdHolder(o) && !h.omitted.allowThirdHolder {
			continue // the receiver may still become the holder
		}
		for slot := range Slots {
			if o.slots[slot].Since.IsZero() {
				continue
			}
			if h.omitted.omitRecords {
				o.slots[slot].Records = nil
			}
			if s.home.Inherit(h.now, slot, o.slots[slot]) {
				s.inherited[o.number] = true
				h.inherited++
			}
		}
	}
}

func (h *simulation) hold() {
	for i := range h.candidates {
		if i == h.staleHolder && i != h.holder && h.now <= h.staleSince+DefaultHoldMaxAge {
			continue
		}
		for slot := range Slots {
			home := h.candidates[i].home
			begins := i == h.holder && !home.slots[slot].held
			home.SetHeld(h.now, slot, i == h.holder, h.wall(i))
			if begins {
				home.AwaitHandover(h.now, slot, h.now+500*time.Millisecond)
				h.candidates[i].successor = -1
			}
		}
		h.candidates[i].home.Tick(h.now, h.wall(i))
	}
}

// key returns a key that was used before, or a new one of a caller whose clock may be off by more than the
// limits.
func (h *simulation) key(at int) string {
	if len(h.keys) > 0 && h.random.IntN(3) > 0 {
		return h.keys[len(h.keys)-1-h.random.IntN(min(len(h.keys), h.faultPeriod/6))]
	}
	minted := h.now + time.Duration(h.random.IntN(12000)-6000)*time.Millisecond
	if h.random.IntN(2) == 0 {
		minted = h.now + h.candidates[at].error + DefaultRunAhead // the latest that this home runs
	}
	h.keys = append(h.keys, makeKey(minted, len(h.keys)))
	return h.keys[len(h.keys)-1]
}

// openKey opens a key at any router, including one that is not the home.
func (h *simulation) openKey() {
	at := h.holder
	switch {
	case h.staleHolder >= 0 && h.now <= h.staleSince+DefaultHoldMaxAge && h.random.IntN(2) == 0:
		at = h.staleHolder
	case at < 0 || h.random.IntN(10) == 0:
		at = h.random.IntN(len(h.candidates))
	}
	key := h.key(at)
	h.ticket++
	o := fleet.KeyOpen{Ticket: h.ticket, Team: "joiners", Key: key, Digest: 1}
	a := h.candidates[at].home.Open(h.now, h.wall(at), "router", o)
	h.counts[a.Verdict]++
	switch {
	case a.Verdict == fleet.KeyRun:
		h.open = append(h.open, permission{key, at, o.Ticket})
	case h.random.IntN(4) == 0: // the caller no longer waited for this answer and withdraws its request
		h.candidates[at].home.Close(h.now, "router", fleet.KeyClose{
			Ticket: o.Ticket, Team: o.Team, Key: key, Outcome: fleet.KeyRefused,
		})
	}
}

// closeKey uses or returns a permission, however late. Its close may be lost or go to another home.
func (h *simulation) closeKey() {
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
		h.sendClose(h.random.IntN(len(h.candidates)), c)
	default:
		h.sendClose(p.home, c)
		if h.holder >= 0 {
			h.sendClose(h.holder, c)
		}
	}
}

// sendClose closes a key at a candidate, which forwards the close if it has handed over the record.
func (h *simulation) sendClose(at int, c fleet.KeyClose) {
	s := &h.candidates[at]
	if s.home.Close(h.now, "router", c) && s.successor >= 0 && h.random.IntN(4) > 0 {
		h.sendClose(s.successor, c)
	}
}

func (h *simulation) step() {
	h.now += time.Duration(h.random.IntN(100)) * time.Millisecond
	if h.random.IntN(200) == 0 {
		h.now += time.Duration(h.random.IntN(700)) * time.Second
	}
	switch h.random.IntN(h.faultPeriod) {
	case 0:
		h.change(h.random.IntN(len(h.candidates)+1)-1, h.random.IntN(2) == 0)
	case 2, 3:
		h.change(h.random.IntN(len(h.candidates)), true)
	case 1:
		h.restart(h.random.IntN(len(h.candidates)))
	}
	h.hold()
	h.deliver()
	if h.random.IntN(2) == 0 {
		h.openKey()
		return
	}
	h.closeKey()
}

// simulate runs 1,500 steps, or fewer if a key ran twice.
func simulate(t *testing.T, seed uint64, omitted omittedRules, counts map[fleet.KeyVerdict]int) *simulation {
	h := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), faultPeriod: []int{60, 240}[seed%2], now: time.Hour, holder: -1, staleHolder: -1,
		runs: map[string]int{}, counts: counts, omitted: omitted,
	}
	for i := range h.candidates {
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
		h := simulate(t, seed, omittedRules{}, counts)
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

// TestWeakenedHandoverRunsTwice checks that the random test detects a key that runs twice if one rule of the
// handover is left out.
func TestWeakenedHandoverRunsTwice(t *testing.T) {
	for name, omitted := range map[string]omittedRules{
		"a third home between":            {allowThirdHolder: true},
		"a late handover":                 {allowLate: true},
		"the former home answers on":      {allowFormerHome: true},
		"the records are not handed over": {omitRecords: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				if h := simulate(t, seed, omitted, map[fleet.KeyVerdict]int{}); h.fault != "" {
					t.Log(h.fault)
					return
				}
			}
			t.Error("no key ran twice")
		})
	}
}
