package sched

import (
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// busyWorld is nine routers before ten servers with three teams that always wait.
func busyWorld(t *testing.T) *world {
	w := newWorld(t, 5, 9, 10, 8)
	w.delay = 2 * time.Millisecond
	for _, name := range []string{"a", "b", "c"} {
		w.teams = append(w.teams, &fakeTeam{name: name, share: 1, cost: 200, hint: 1, keep: 20})
	}
	w.checks = append(w.checks, checkLimits, checkWork, checkCounts)
	w.run(3 * time.Second)
	return w
}

func (w *world) runningIn(dataCentre string) int {
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
		meanwhile func(w *world)
		least     int // requests in the data centre after the first load report since it came back
		most      int
	}{
		"as it was":        {func(*world) {}, 22, 24},
		"cold":             {func(w *world) { w.chill("dc-1") }, 3, 6},
		"without a report": {func(w *world) { w.unheard = true }, 3, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { outAndBack(t, c.meanwhile, c.least, c.most) })
	}
}

// chill has the servers of a data centre turn cold.
func (w *world) chill(dataCentre string) {
	for _, v := range w.servers {
		if v.rule.DataCentre == dataCentre {
			v.epoch++
		}
	}
}

func outAndBack(t *testing.T, meanwhile func(w *world), least, most int) {
	w := busyWorld(t)
	before := w.runningIn("dc-1")
	w.schedulers[0].Configure(w.now, w.rules(), map[string]bool{"dc-1": true}, nil)
	w.run(5 * time.Millisecond) // grants on their way
	last := w.runningIn("dc-1")
	w.checks = append(w.checks, func(w *world) {
		if n := w.runningIn("dc-1"); n > last {
			t.Errorf("new work in a data centre out of service: %d after %d", n, last)
		}
		last = w.runningIn("dc-1")
	})
	w.run(time.Second)
	if last != 0 {
		t.Errorf("%d of %d requests still run after the longest could have ended", last, before)
	}
	w.checks = w.checks[:3]
	meanwhile(w)
	if !w.schedulers[0].Configure(w.now, w.rules(), nil, nil) {
		t.Error("not told that servers came back")
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
	w := busyWorld(t)
	s := w.addScheduler(Settings{})
	for _, r := range w.routers[1:] { // the first held the scheduler and is lost
		w.follow(r, 1)
	}
	w.lose(w.routers[0], time.Hour)
	w.lend()
	began := w.now
	for s.counter == 0 && w.now < began+time.Second {
		w.run(time.Millisecond)
	}
	t.Logf("first grant %v after the last loan, with reports each %v", w.now-began, w.loadPeriod)
	if w.now-began > w.loadPeriod+2*transit {
		t.Errorf("first grant %v after the last loan", w.now-began)
	}
}

// TestTakeoverOfLearntLimits has an idle cell lose its scheduler before it is full of work again.
func TestTakeoverOfLearntLimits(t *testing.T) {
	cases := map[string]struct {
		meanwhile func(w *world)
		least     int // requests that run after the new scheduler's first load reports
		most      int
	}{
		"as they were":    {func(*world) {}, 75, 80},
		"one centre cold": {func(w *world) { w.chill("dc-1") }, 55, 62},
		"without reports": {func(w *world) { w.unheard = true }, 10, 20},
		"nothing kept": {func(w *world) {
			for _, r := range w.routers {
				r.limits = fleet.Limits{}
			}
		}, 10, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := busyWorld(t)
			for _, m := range w.teams {
				m.keep = 0
			}
			w.run(5 * time.Second)
			c.meanwhile(w)
			w.addScheduler(Settings{})
			for _, r := range w.routers[1:] {
				w.follow(r, 1)
			}
			w.lose(w.routers[0], time.Hour)
			w.delisted = true
			w.lend()
			w.run(w.loadPeriod + 2*transit)
			for _, m := range w.teams {
				m.keep = 20
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

// TestAnticipate shows what the knob trades: service of a team whose callers ask one
// request after the other beside a flood, against slots in use.
func TestAnticipate(t *testing.T) {
	utilisation, part := map[time.Duration]float64{}, map[time.Duration]float64{}
	for _, wait := range []time.Duration{0, 4, 8, 12, 16} {
		w := newWorld(t, 2, 3, 3, 2)
		wait *= time.Millisecond
		w.delay = time.Millisecond
		w.schedulers[0].Settings.Anticipate = wait
		flood := &fakeTeam{name: "flood", share: 1, cost: 300, hint: 1, keep: 20}
		farm := &fakeTeam{name: "farm", share: 1, cost: 100, hint: 1, callers: 3}
		w.teams = []*fakeTeam{flood, farm}
		for range farm.callers {
			w.ask(w.routers[0], farm)
		}
		w.run(5 * time.Second)
		w.busy, w.idle, flood.used, farm.used = 0, 0, 0, 0
		w.run(60 * time.Second)
		utilisation[wait] = w.utilisation()
		part[wait] = float64(farm.used) / float64(farm.used+flood.used)
		t.Logf("wait %4v: share got %.3f of 0.500, utilisation %.3f", wait, part[wait], utilisation[wait])
	}
	if part[12*time.Millisecond] <= part[0] || utilisation[12*time.Millisecond] > utilisation[0] {
		t.Errorf("the knob trades nothing: %v, %v", part, utilisation)
	}
}
