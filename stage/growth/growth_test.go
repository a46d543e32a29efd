package growth

import "testing"

func TestSchedulerIsKeptBusy(t *testing.T) {
	d := newScheduled(10, 3)
	d.backlog(50)
	d.decide(5000)
	if d.now > 5000*step/serverLimit {
		t.Errorf("5000 grants took %v of virtual time: the servers were not filled", d.now)
	}
}

func TestKnownTeamsLeaveNoQueue(t *testing.T) {
	d := newScheduled(10, 3)
	d.known(100)
	if n := len(d.s.Status(d.now).Teams); n > 1 {
		t.Errorf("%d teams are still in the scheduler's account", n)
	}
}

func TestFleetIsLive(t *testing.T) {
	f := newFleetView(9)
	f.beat(20)
	if n := len(f.m.Live()); n != 9 {
		t.Errorf("%d of 9 routers are live", n)
	}
	if lenders, _ := f.m.Lenders(f.now, "stain-llm/0"); f.m.Holder("stain-llm/0") == "router-0" && len(lenders) == 0 {
		t.Error("the holder has no lenders")
	}
}

func TestRoomServesWhatArrives(t *testing.T) {
	w := newWaitingRoom()
	w.serve(200, 5)
	if u := w.room.Unused; u.Lapsed+u.Foreign+u.Duplicate+u.Unwanted > 0 {
		t.Errorf("grants were not used: %+v", u)
	}
}

func TestEveryKeyIsLetRun(t *testing.T) {
	h := newKeyHome()
	if n := h.run(200); n != 200 {
		t.Errorf("%d of 200 keys were let run", n)
	}
	if n, bytes := h.home.Records(); n != 200 || bytes < 200*200 {
		t.Errorf("%d keys are recorded, with %d bytes of answers", n, bytes)
	}
}

func TestStreamsFillTheEngines(t *testing.T) {
	d := newScheduled(10, 3)
	d.warm(10 * serverLimit)
	running := 0
	for _, list := range d.start() {
		running += len(list)
	}
	if running != 10*serverLimit {
		t.Errorf("%d streams run, want %d", running, 10*serverLimit)
	}
}
