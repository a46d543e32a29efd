package sched

import (
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// newBusySimulation returns a simulation of nine routers and ten servers with three backlogged teams.
func newBusySimulation(t *testing.T) *simulation {
	w := newSimulation(t, 5, 9, 10, 8)
	w.maxDelay = 2 * time.Millisecond
	for _, name := range []string{"a", "b", "c"} {
		w.teams = append(w.teams, &fakeTeam{name: name, share: 1, cost: 200, hint: 1, backlog: 20})
	}
	w.checks = append(w.checks, checkLimits, checkWork, checkCounts)
	w.run(3 * time.Second)
	return w
}

func (w *simulation) runningIn(dataCentre string) int {
	n := 0
	for _, v := range w.servers {
		if v.rule.DataCentre == dataCentre {
			n += v.running
		}
	}
	return n
}

func TestDataCentreOutAndBack(t *testing.T) {
	cases := map[string]struct {
		meanwhile func(w *simulation)
		least     int // requests in the data centre after its first load report since it came back
		most      int
	}{
		"as it was":        {func(*simulation) {}, 22, 24},
		"cold":             {func(w *simulation) { w.makeCold("dc-1") }, 3, 6},
		"without a report": {func(w *simulation) { w.dropReports = true }, 3, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { checkOutAndBack(t, c.meanwhile, c.least, c.most) })
	}
}

// makeCold gives the servers of a data centre a new epoch, so that they count as cold.
func (w *simulation) makeCold(dataCentre string) {
	for _, v := range w.servers {
		if v.rule.DataCentre == dataCentre {
			v.epoch++
		}
	}
}

func checkOutAndBack(t *testing.T, meanwhile func(w *simulation), least, most int) {
	w := newBusySimulation(t)
	before := w.runningIn("dc-1")
	w.schedulers[0].Configure(w.now, w.rules(), map[string]bool{"dc-1": true}, nil)
	w.run(5 * time.Millisecond) // grants in transit
	last := w.runningIn("dc-1")
	w.checks = append(w.checks, func(w *simulation) {
		if n := w.runningIn("dc-1"); n > last {
			t.Errorf("new requests in a data centre out of service: %d after %d", n, last)
		}
		last = w.runningIn("dc-1")
	})
	w.run(time.Second)
	if last != 0 {
		t.Errorf("%d of %d requests still run after the longest must have ended", last, before)
	}
	w.checks = w.checks[:3]
	meanwhile(w)
	if !w.schedulers[0].Configure(w.now, w.rules(), nil, nil) {
		t.Error("Configure did not report that servers came back")
	}
	w.run(20 * time.Millisecond)
	if n := w.runningIn("dc-1"); n == 0 || n > 3 {
		t.Errorf("three servers that came back run %d requests at once, want one each at most", n)
	}
	w.run(w.loadPeriod - w.now%w.loadPeriod + 5*time.Millisecond)
	if n := w.runningIn("dc-1"); n < least || n > most {
		t.Errorf("after a report the servers that came back run %d requests, want %d to %d", n, least, most)
	}
	w.run(3 * time.Second)
	if n := w.runningIn("dc-1"); n < before-2 {
		t.Errorf("the servers that came back run %d requests, %d before", n, before)
	}
}

func TestTakeoverIsQuick(t *testing.T) {
	w := newBusySimulation(t)
	s := w.addScheduler(Settings{})
	for _, r := range w.routers[1:] { // the first router held the scheduler and is lost
		w.follow(r, 1)
	}
	w.disconnect(w.routers[0], time.Hour)
	w.lendRouters()
	began := w.now
	for s.counter == 0 && w.now < began+time.Second {
		w.run(time.Millisecond)
	}
	t.Logf("first grant %v after the last loan, with reports each %v", w.now-began, w.loadPeriod)
	if w.now-began > w.loadPeriod+2*transitTime {
		t.Errorf("first grant %v after the last router became a lender", w.now-began)
	}
}

// TestTakeoverOfLearntLimits requires that a new scheduler inherits the learnt limits after an idle cell has
// lost its scheduler.
func TestTakeoverOfLearntLimits(t *testing.T) {
	cases := map[string]struct {
		meanwhile func(w *simulation)
		least     int // requests that run after the new scheduler's first load reports
		most      int
	}{
		"as they were":    {func(*simulation) {}, 75, 80},
		"one centre cold": {func(w *simulation) { w.makeCold("dc-1") }, 55, 62},
		"without reports": {func(w *simulation) { w.dropReports = true }, 10, 20},
		"nothing kept": {func(w *simulation) {
			for _, r := range w.routers {
				r.limits = fleet.Limits{}
			}
		}, 10, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newBusySimulation(t)
			for _, m := range w.teams {
				m.backlog = 0
			}
			w.run(5 * time.Second)
			c.meanwhile(w)
			w.addScheduler(Settings{})
			for _, r := range w.routers[1:] {
				w.follow(r, 1)
			}
			w.disconnect(w.routers[0], time.Hour)
			w.delisted = true
			w.lendRouters()
			w.run(w.loadPeriod + 2*transitTime)
			for _, m := range w.teams {
				m.backlog = 20
			}
			w.run(20 * time.Millisecond)
			running := 0
			for _, v := range w.servers {
				running += v.running
			}
			if running < c.least || running > c.most {
				t.Errorf("%d requests run, want %d to %d", running, c.least, c.most)
			}
		})
	}
}

// TestAnticipate measures the effect of Settings.Anticipate: a team whose callers send one request after the
// other beside a flood gets more service, at the cost of utilisation.
func TestAnticipate(t *testing.T) {
	utilisation, share := map[time.Duration]float64{}, map[time.Duration]float64{}
	for _, wait := range []time.Duration{0, 4, 8, 12, 16} {
		w := newSimulation(t, 2, 3, 3, 2)
		wait *= time.Millisecond
		w.maxDelay = time.Millisecond
		w.schedulers[0].Settings.Anticipate = wait
		flood := &fakeTeam{name: "flood", share: 1, cost: 300, hint: 1, backlog: 20}
		farm := &fakeTeam{name: "farm", share: 1, cost: 100, hint: 1, callers: 3}
		w.teams = []*fakeTeam{flood, farm}
		for range farm.callers {
			w.enqueue(w.routers[0], farm)
		}
		w.run(5 * time.Second)
		w.busy, w.idle, flood.used, farm.used = 0, 0, 0, 0
		w.run(60 * time.Second)
		utilisation[wait] = w.utilisation()
		share[wait] = float64(farm.used) / float64(farm.used+flood.used)
		t.Logf("wait %4v: share got %.3f of 0.500, utilisation %.3f", wait, share[wait], utilisation[wait])
	}
	if share[12*time.Millisecond] <= share[0] || utilisation[12*time.Millisecond] > utilisation[0] {
		t.Errorf("Anticipate has no effect: shares %v, utilisation %v", share, utilisation)
	}
}
