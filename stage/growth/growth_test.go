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
