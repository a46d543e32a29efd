package proc

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/route"
)

// fakePlatform is a platform with a revision that counts its reads.
type fakePlatform struct {
	mutex    sync.Mutex
	revision int64
	reads    int
	down     bool
}

func (p *fakePlatform) read() (int64, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	return p.revision, !p.down
}

func (p *fakePlatform) set(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
}

// source reads the fake platform as an adapter does.
func (p *fakePlatform) source(ctx context.Context, t *Sink) error {
	var known int64
	for ctx.Err() == nil {
		turn := Turn{}
		if known > 0 {
			turn = t.Next(ctx, at(known))
		}
		if turn.FromPeer {
			known = turn.Position.Revision
			t.Recovered(at(known))
			continue
		}
		newest, ok := p.read()
		if !ok {
			t.Lost(fmt.Errorf("platform is down"))
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if newest == known {
			time.Sleep(turn.Wait)
			newest, _ = p.read()
		}
		var changes []digest.Change
		for r := known + 1; known > 0 && r <= newest; r++ {
			changes = append(changes, digest.Change{Key: "k", Revision: r})
		}
		t.RecordRead(at(known), at(newest), changes)
		known = newest
		t.Recovered(at(known))
		if known > 1 {
			t.Configure(route.Config{Version: known})
		}
	}
	return ctx.Err()
}

// TestFewRoutersReadPlatform guards against a fleet in which every router reads the platform: a few read it and the others apply
// what these read, also after readers stop, and all notice when the platform is lost and recovers.
func TestFewRoutersReadPlatform(t *testing.T) {
	const routers = 6
	p := &fakePlatform{revision: 1}
	var all []*Process
	var stops []context.CancelFunc
	seed := freeAddress(t)
	for i := range routers {
		control := seed
		if i > 0 {
			control = freeAddress(t)
		}
		s, err := New(Settings{Name: fmt.Sprint("r", i), DataCentre: fmt.Sprint("d", i%3), Front: freeAddress(t), Readiness: freeAddress(t), Control: control, Seeds: []string{seed}, Grace: time.Second},
			dialect(), p.source)
		if err != nil {
			t.Fatal(err)
		}
		stop, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		all, stops = append(all, s), append(stops, cancel)
		go func() { _ = s.Run(stop) }() // the test ends before the process
	}
	known := func(s *Process) int64 {
		var revision int64
		s.exchanger.WithFleet(func(_ time.Duration, f *digest.Fleet) { revision = f.Known().Revision })
		return revision
	}
	waitForRevision := func(of []*Process, revision int64) {
		t.Helper()
		waitUntil(t, func() bool {
			for _, s := range of {
				if known(s) != revision {
					return false
				}
			}
			return true
		})
	}
	waitForRevision(all, 1)
	time.Sleep(2 * time.Second) // the routers know each other, and the first readers have been replaced
	p.set(func() { p.reads = 0; p.revision = 5 })
	waitForRevision(all, 5)
	time.Sleep(2 * time.Second)
	var reads int
	p.set(func() { reads = p.reads })
	if reads > 3*2*2*2 { // two readers, two reads per call, one call every 700 ms, for about 2.5 s
		t.Errorf("%d reads by %d routers in 2 s", reads, routers)
	}
	p.set(func() { p.down = true })
	waitUntil(t, func() bool {
		lost := 0
		for _, s := range all {
			if s.sourceLost.Load() {
				lost++
			}
		}
		return lost == routers
	})
	p.set(func() { p.down = false; p.revision = 8 })
	waitForRevision(all, 8)
	waitUntil(t, func() bool {
		for _, s := range all {
			if s.sourceLost.Load() {
				return false
			}
		}
		return true
	})
	for _, stop := range stops[:3] { // one in each data centre, including readers
		stop()
	}
	p.set(func() { p.revision = 11 })
	waitForRevision(all[3:], 11)
}
