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

// platform is a stand-in for what a source reads: a revision, and how often it was read.
type platform struct {
	mutex    sync.Mutex
	revision int64
	reads    int
	away     bool
}

func (p *platform) read() (int64, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	return p.revision, !p.away
}

func (p *platform) set(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
}

// source reads the stand-in as an adapter does.
func (p *platform) source(ctx context.Context, t *Taker) error {
	var known int64
	for ctx.Err() == nil {
		turn := Turn{}
		if known > 0 {
			turn = t.Next(ctx, known)
		}
		if turn.Told {
			known = turn.At
			t.Regained(known)
			continue
		}
		at, ok := p.read()
		if !ok {
			t.Lost(fmt.Errorf("away"))
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if at == known {
			time.Sleep(turn.Wait)
			at, _ = p.read()
		}
		var changes []digest.Change
		for r := known + 1; known > 0 && r <= at; r++ {
			changes = append(changes, digest.Change{Key: "k", Revision: r})
		}
		t.Read(known, at, changes)
		known = at
		t.Regained(known)
		if known > 1 {
			t.Configure(route.Config{Version: known})
		}
	}
	return ctx.Err()
}

// Of some routers a few read the platform; the others take over what these read, also when the readers stop, and all know
// when the platform is away and back.
func TestFewReadForAll(t *testing.T) {
	const routers = 6
	p := &platform{revision: 1}
	var all []*Process
	var stops []context.CancelFunc
	seed := free(t)
	for i := range routers {
		control := seed
		if i > 0 {
			control = free(t)
		}
		s, err := New(Settings{Name: fmt.Sprint("r", i), DataCentre: fmt.Sprint("d", i%3), Front: free(t), Ready: free(t), Control: control, Seeds: []string{seed}, Grace: time.Second},
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
		s.share.WithFleet(func(_ time.Duration, f *digest.Fleet) { revision = f.KnownRevision() })
		return revision
	}
	reach := func(of []*Process, revision int64) {
		t.Helper()
		until(t, func() bool {
			for _, s := range of {
				if known(s) != revision {
					return false
				}
			}
			return true
		})
	}
	reach(all, 1)
	time.Sleep(2 * time.Second) // the fleet is known, and the first readers have given way
	p.set(func() { p.reads = 0; p.revision = 5 })
	reach(all, 5)
	time.Sleep(2 * time.Second)
	var reads int
	p.set(func() { reads = p.reads })
	if reads > 3*2*2*2 { // two readers, two looks a call, a call each 700 ms, over some 2.5 s
		t.Errorf("%d reads by %d routers in 2 s", reads, routers)
	}
	p.set(func() { p.away = true })
	until(t, func() bool {
		lost := 0
		for _, s := range all {
			if s.sourceLost.Load() {
				lost++
			}
		}
		return lost == routers
	})
	p.set(func() { p.away = false; p.revision = 8 })
	reach(all, 8)
	until(t, func() bool {
		for _, s := range all {
			if s.sourceLost.Load() {
				return false
			}
		}
		return true
	})
	for _, stop := range stops[:3] { // one of each data centre, readers among them
		stop()
	}
	p.set(func() { p.revision = 11 })
	reach(all[3:], 11)
}
