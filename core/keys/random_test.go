package keys

import (
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// site is one router that may be the home, with the error of its wall clock.
type site struct {
	home  *Home
	error time.Duration
}

// permit is a KeyRun that some entry router holds.
type permit struct {
	key    string
	home   int
	ticket uint64
}

// homes passes the duty between routers that lose their memory, one holder at a time.
type homes struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Duration
	sites  [3]site
	holder int // -1 for none
	late   int // the last holder, which has not heard yet that it is none
	lateAt time.Duration
	keys   []string
	runs   map[string]int
	open   []permit
	ticket uint64
	counts map[fleet.KeyVerdict]int
}

func (h *homes) wall(i int) time.Time { return epoch.Add(h.now + h.sites[i].error) }

func (h *homes) restart(i int) {
	h.sites[i] = site{home: &Home{}, error: time.Duration(h.random.IntN(3)-1) * DefaultClockError}
}

func (h *homes) hold() {
	for i := range h.sites {
		if i == h.late && i != h.holder && h.now <= h.lateAt+DefaultHoldFresh {
			continue
		}
		for slot := range Slots {
			h.sites[i].home.Hold(h.now, slot, i == h.holder, h.wall(i))
		}
		h.sites[i].home.Tick(h.now, h.wall(i))
	}
}

// key gives a key asked for before, or a new one of a caller whose clock may be wrong by more than the limits.
func (h *homes) key(at int) string {
	if len(h.keys) > 0 && h.random.IntN(3) > 0 {
		return h.keys[len(h.keys)-1-h.random.IntN(min(len(h.keys), 10))]
	}
	minted := h.now + time.Duration(h.random.IntN(12000)-6000)*time.Millisecond
	if h.random.IntN(2) == 0 {
		minted = h.now + h.sites[at].error + DefaultFutureLimit // the latest that this home runs
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
		if h.runs[p.key] > 1 {
			h.t.Fatalf("seed %d at %v: key %s ran %d times", h.seed, h.now, p.key, h.runs[p.key])
		}
		c.Outcome = []fleet.KeyVerdict{fleet.KeyAnswered, fleet.KeyUnknown}[h.random.IntN(2)]
	}
	switch h.random.IntN(4) {
	case 0: // lost
	case 1:
		h.sites[h.random.IntN(len(h.sites))].home.Close(h.now, "router", c)
	default:
		h.sites[p.home].home.Close(h.now, "router", c)
	}
}

func (h *homes) step() {
	h.now += time.Duration(h.random.IntN(100)) * time.Millisecond
	if h.random.IntN(200) == 0 {
		h.now += time.Duration(h.random.IntN(700)) * time.Second
	}
	switch h.random.IntN(60) {
	case 0:
		if h.holder >= 0 {
			h.late, h.lateAt = h.holder, h.now
		}
		h.holder = h.random.IntN(len(h.sites)+1) - 1
	case 1:
		h.restart(h.random.IntN(len(h.sites)))
	}
	h.hold()
	if h.random.IntN(2) == 0 {
		h.ask()
		return
	}
	h.end()
}

func TestNoKeyRunsTwice(t *testing.T) {
	counts := map[fleet.KeyVerdict]int{}
	for seed := range uint64(100) {
		h := &homes{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), now: time.Hour, late: -1,
			runs: map[string]int{}, counts: counts,
		}
		for i := range h.sites {
			h.restart(i)
		}
		for range 1500 {
			h.step()
		}
	}
	for _, v := range []fleet.KeyVerdict{fleet.KeyRefused, fleet.KeyRun, fleet.KeyAnswered, fleet.KeyInProgress, fleet.KeyUnknown} {
		if counts[v] < 500 {
			t.Errorf("only %d verdicts %v: too little was tried", counts[v], v)
		}
	}
}
