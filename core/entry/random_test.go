package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// simulation drives a Room against a scheduler that receives some of its demands, and checks the invariants of both.
type simulation struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	room   *Room
	now    time.Duration

	waiting   map[string][]string // by team, in service order
	retried   map[string]int      // by team, number of retries among the waiting
	known     map[string]int      // by team, number of waiting requests known to the scheduler
	granted   map[uint64]bool     // grants in use
	returned  map[uint64]bool     // grants reported as ended
	sent      []fleet.Grants      // for duplicates
	lastGrant uint64
	lastID    int
	scheduler string
}

func (w *simulation) fail(format string, args ...interface{}) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *simulation) team() string {
	return []string{"joiners", "turners", "carvers"}[w.random.IntN(3)]
}

func (w *simulation) arrive() {
	w.lastID++
	team := w.team()
	q := Request{
		ID: fmt.Sprint(w.lastID), Team: team, Product: testProduct, Bytes: 10,
		Deadline: w.now + time.Duration(w.random.IntN(3000))*time.Millisecond, Retry: w.random.IntN(5) == 0,
	}
	if refused := w.room.Enqueue(w.now, q); len(refused) > 0 {
		w.checkRefusals(refused)
		return
	}
	if !q.Retry {
		w.waiting[team] = append(w.waiting[team], q.ID)
		return
	}
	w.waiting[team] = slices.Insert(w.waiting[team], w.retried[team], q.ID)
	w.retried[team]++
}

// removeWaiting removes a request, which must be waiting.
func (w *simulation) removeWaiting(id string) {
	for team, ids := range w.waiting {
		if i := slices.Index(ids, id); i >= 0 {
			w.waiting[team] = slices.Delete(ids, i, i+1)
			if i < w.retried[team] {
				w.retried[team]--
			}
			return
		}
	}
	w.fail("verdict on %s, which is not waiting", id)
}

func (w *simulation) checkRefusals(verdicts []Verdict) {
	for _, v := range verdicts {
		if v.RetryAfter <= 0 {
			w.fail("rejection %+v without RetryAfter", v)
		}
		if v.Reason == fleet.ReasonDeadlinePassed {
			for _, ids := range w.waiting {
				if slices.Contains(ids, v.Request) {
					w.removeWaiting(v.Request)
				}
			}
		}
	}
}

func (w *simulation) grant() {
	g := fleet.Grants{Cell: testCell, Term: 1, Basis: (w.now - time.Duration(w.random.IntN(1000))*time.Millisecond).Milliseconds()}
	for range 1 + w.random.IntN(4) {
		w.lastGrant++
		team := w.team()
		g.Grants = append(g.Grants, fleet.Grant{ID: w.lastGrant, Team: team})
	}
	w.sent = append(w.sent, g)
	w.deliver(g)
}

func (w *simulation) deliver(g fleet.Grants) {
	from := scheduler
	if w.random.IntN(8) == 0 {
		from = "router-9"
	}
	before := map[string]string{}
	for team, ids := range w.waiting {
		for _, id := range ids {
			before[id] = team
		}
	}
	for _, v := range w.room.Grants(w.now, from, w.now.Milliseconds(), g) {
		if v.Reason != fleet.ReasonGranted {
			w.checkRefusals([]Verdict{v})
			continue
		}
		team := before[v.Request]
		switch {
		case from != w.scheduler:
			w.fail("used a grant of a router that is not followed")
		case w.granted[v.Grant.ID] || w.returned[v.Grant.ID]:
			w.fail("grant %d was used twice", v.Grant.ID)
		case g.Basis+fleet.GrantLifetime.Milliseconds() <= w.now.Milliseconds() || v.Expires <= w.now:
			w.fail("lapsed grant %+v was used", v)
		case team != v.Grant.Team || w.waiting[team][0] != v.Request:
			w.fail("grant for %s went to %s of %s, waiting %v", v.Grant.Team, v.Request, team, w.waiting)
		}
		w.removeWaiting(v.Request)
		w.granted[v.Grant.ID] = true
		w.known[team]-- // the scheduler subtracts its grants from the known demand
	}
}

func (w *simulation) finish() {
	for id := range w.granted {
		w.room.Finish(w.now, testCell, fleet.Done{Grant: id, Outcome: fleet.OutcomeCompleted, Cost: 1})
		delete(w.granted, id)
		w.returned[id] = true
		return
	}
}

// sendDemands delivers the demands to the scheduler. A lost demand is followed by a new link.
func (w *simulation) sendDemands() {
	demands := w.room.Demands(w.now)
	if len(demands) > 0 && w.random.IntN(6) == 0 {
		w.room.Reconnected(w.now, w.scheduler)
		demands = w.room.Demands(w.now)
		if w.scheduler != "" && (len(demands) != 1 || !demands[0].Demand.Full) {
			w.fail("demands after a new link: %+v, want one full demand", demands)
		}
	}
	for _, o := range demands {
		w.receiveDemand(o)
	}
	if w.scheduler == "" {
		return
	}
	for team, ids := range w.waiting {
		if w.known[team] != len(ids) {
			w.fail("scheduler knows %d waiting requests of %s, want %d", w.known[team], team, len(ids))
		}
	}
}

func (w *simulation) receiveDemand(o Outgoing) {
	if o.To != w.scheduler {
		w.fail("demand sent to %s, want %s", o.To, w.scheduler)
	}
	if o.Demand.Full {
		clear(w.known)
		if len(o.Demand.Running) != len(w.granted) {
			w.fail("full demand lists %d running grants, want %d", len(o.Demand.Running), len(w.granted))
		}
	}
	for _, t := range o.Demand.Waiting {
		w.known[t.Team] = t.Waiting
	}
	for _, d := range o.Demand.Done {
		if d.Outcome == fleet.OutcomeReturned && w.granted[d.Grant] {
			w.fail("grant %d was returned while in use", d.Grant)
		}
		w.returned[d.Grant] = true
	}
}

func (w *simulation) step() {
	w.now += time.Duration(w.random.IntN(40)) * time.Millisecond
	w.checkRefusals(w.room.Expire(w.now))
	switch w.random.IntN(10) {
	case 0, 1, 2:
		w.arrive()
	case 3, 4:
		w.grant()
	case 5:
		if len(w.sent) > 0 {
			w.deliver(w.sent[w.random.IntN(len(w.sent))])
		}
	case 6, 7:
		w.finish()
	case 8:
		if ids := w.waiting[w.team()]; len(ids) > 0 {
			id := ids[w.random.IntN(len(ids))]
			w.room.Cancel(w.now, id)
			w.removeWaiting(id)
		}
	case 9:
		if w.random.IntN(10) == 0 {
			w.scheduler = []string{scheduler, scheduler, "router-3", ""}[w.random.IntN(4)]
			w.room.Follow(w.now, testCell, w.scheduler)
		}
	}
	w.sendDemands()
}

func TestRandomEvents(t *testing.T) {
	var unused Unused
	ended := 0
	for seed := range uint64(60) {
		w := &simulation{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), scheduler: scheduler,
			room:    &Room{Seed: seed, Settings: Settings{QueueLength: 20}},
			waiting: map[string][]string{}, retried: map[string]int{}, known: map[string]int{},
			granted: map[uint64]bool{}, returned: map[uint64]bool{},
		}
		w.room.Follow(0, testCell, scheduler)
		for range 1500 {
			w.step()
		}
		unused.Duplicate += w.room.Unused.Duplicate
		unused.Lapsed += w.room.Unused.Lapsed
		unused.Foreign += w.room.Unused.Foreign
		ended += len(w.returned)
	}
	if unused.Duplicate < 1000 || unused.Lapsed < 1000 || unused.Foreign < 1000 || ended < 5000 {
		t.Errorf("too few events covered: %+v, %d grants ended", unused, ended)
	}
}
