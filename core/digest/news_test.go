package digest

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func change(revision int64, bytes int) Change {
	return Change{Key: fmt.Sprint("k", revision), Value: make([]byte, bytes), Revision: revision}
}

// rev returns a position of the first era.
func rev(revision int64) Position { return Position{Revision: revision} }

func TestLog(t *testing.T) {
	tests := map[string]struct {
		build func(l *Log)
		since int64
		limit int
		want  []int64 // revisions
		to    int64
		known bool
	}{
		"nothing read":         {build: func(*Log) {}},
		"nothing new":          {build: func(l *Log) { l.Reset(rev(5)) }, since: 5, to: 5, known: true},
		"older than the start": {build: func(l *Log) { l.Reset(rev(5)) }, since: 4},
		"changes":              {build: func(l *Log) { l.Reset(rev(5)); l.Add(rev(5), rev(9), []Change{change(6, 1), change(8, 1)}) }, since: 5, want: []int64{6, 8}, to: 9, known: true},
		"some of the changes":  {build: func(l *Log) { l.Reset(rev(5)); l.Add(rev(5), rev(9), []Change{change(6, 1), change(8, 1)}) }, since: 6, want: []int64{8}, to: 9, known: true},
		"repeated changes": {
			build: func(l *Log) {
				l.Reset(rev(5))
				l.Add(rev(5), rev(8), []Change{change(6, 1), change(8, 1)})
				l.Add(rev(5), rev(9), []Change{change(6, 1), change(8, 1), change(9, 1)})
			},
			since: 5, want: []int64{6, 8, 9}, to: 9, known: true,
		},
		"a gap": {build: func(l *Log) { l.Reset(rev(5)); l.Add(rev(7), rev(9), []Change{change(8, 1)}) }, since: 5, to: 5, known: true},
		"more than a message": {
			build: func(l *Log) { l.Reset(rev(5)); l.Add(rev(5), rev(9), []Change{change(6, 50), change(8, 500)}) },
			since: 5, limit: 200, want: []int64{6}, to: 6, known: true,
		},
		"more than is kept": {
			build: func(l *Log) { l.Reset(rev(5)); l.Add(rev(5), rev(9), []Change{change(6, logBytes), change(8, 1)}) },
			since: 5,
		},
		"the kept part": {
			build: func(l *Log) { l.Reset(rev(5)); l.Add(rev(5), rev(9), []Change{change(6, logBytes), change(8, 1)}) },
			since: 6, want: []int64{8}, to: 9, known: true,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var l Log
			c.build(&l)
			changes, to, known := l.Since(rev(c.since), c.limit)
			var got []int64
			for _, e := range changes {
				got = append(got, e.Revision)
			}
			if d := cmp.Diff(c.want, got); d != "" || to != rev(c.to) || known != c.known {
				t.Errorf("%v up to %v, known %t; want %v up to %d, %t", got, to, known, c.want, c.to, c.known)
			}
		})
	}
}

// readers returns the number of routers that read the platform for all.
func (n *net) readers(now time.Duration) int {
	count := 0
	for address, f := range n.fleets {
		if !n.down[address] && f.Reader(now) {
			count++
		}
	}
	return count
}

// checkRevision verifies that all live routers know all changes up to a revision, and that the platform was read at most
// a second ago.
func (n *net) checkRevision(t *testing.T, at time.Duration, revision int64) {
	t.Helper()
	for address, f := range n.fleets {
		if n.down[address] {
			continue
		}
		if _, to, known := f.Since(rev(1)); !known || to != rev(revision) {
			t.Errorf("%s knows changes up to %v at %v, want %d", address, to, at, revision)
		}
		if age, known := f.PlatformAge(at); !known || age > time.Second {
			t.Errorf("%s: the platform was read %v ago, known %t", address, age, known)
		}
	}
}

// A change that one router reads reaches all routers within a second, despite lost datagrams and relays. Only a few
// routers read for all.
func TestChangesReachAllRouters(t *testing.T) {
	tests := map[string]struct {
		near, centres int
		loss          float64
		reads         string // router that reads the change
		down          []string
	}{
		"nine":                       {near: 3, centres: 3, reads: "c0-0"},
		"88":                         {near: 22, centres: 4, reads: "c0-0"},
		"read by an ordinary router": {near: 22, centres: 4, reads: "c3-17"},
		"a tenth lost":               {near: 3, centres: 3, loss: 0.1, reads: "c1-2"},
		"without the relays":         {near: 3, centres: 3, reads: "c2-1", down: []string{"c0-0", "c1-0"}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNet(c.near, c.centres, 8)
			n.loss = c.loss
			for _, f := range n.fleets {
				f.ObservePlatform(time.Millisecond, Position{}, rev(1), nil)
			}
			at := 10 * time.Second
			n.run(0, at)
			for _, address := range c.down {
				n.down[address] = true
			}
			n.run(at, at+2*time.Second)
			at += 2 * time.Second
			if got := n.readers(at); got > 2*readerCentres {
				t.Errorf("%d routers read for all", got)
			}
			n.fleets[c.reads].ObservePlatform(at, rev(1), rev(7), []Change{change(4, 100), change(7, 12000)})
			n.run(at, at+900*time.Millisecond)
			n.checkRevision(t, at+900*time.Millisecond, 7)
		})
	}
}

// A change that does not fit a datagram is announced by its revision only, so that each router reads it from the platform.
func TestLargeChangesAreAnnounced(t *testing.T) {
	n := newNet(3, 3, 9)
	for _, f := range n.fleets {
		f.ObservePlatform(time.Millisecond, Position{}, rev(1), nil)
	}
	n.run(0, 5*time.Second)
	n.fleets["c0-0"].ObservePlatform(5*time.Second, rev(1), rev(3), []Change{change(2, 10), change(3, updateBytes)})
	n.run(5*time.Second, 6*time.Second)
	for address, f := range n.fleets {
		if _, to, _ := f.Since(rev(1)); address != "c0-0" && (to != rev(2) || f.Position != rev(3)) {
			t.Errorf("%s knows changes up to %v and of %v, want 2 and 3", address, to, f.Position)
		}
	}
}

// TestLargeChangesReachRoutersWithoutPlatform guards against a router that the platform turns away and that learns neither of a change that does not fit a
// datagram nor of any that follows it (CONFIG, DRAIN, EVAC).
func TestLargeChangesReachRoutersWithoutPlatform(t *testing.T) {
	const large = 5*updateBytes + 7
	for name, d := range map[string]struct {
		near, centres int
		loss          float64
		within        time.Duration
	}{
		"nine":             {near: 3, centres: 3, within: time.Second},
		"a fifth is lost":  {near: 3, centres: 3, loss: 0.2, within: 3 * time.Second},
		"88":               {near: 22, centres: 4, within: 2 * time.Second},
		"large, 295":       {near: 59, centres: 5, within: 4 * time.Second},
		"in a data centre": {near: 9, centres: 1, within: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNet(d.near, d.centres, 9)
			n.loss = d.loss
			for _, f := range n.fleets {
				f.ObservePlatform(time.Millisecond, Position{}, rev(1), nil)
			}
			at := 5 * time.Second
			n.run(0, at)
			turnedAway := n.fleets[fmt.Sprintf("c%d-%d", d.centres-1, d.near-1)]
			turnedAway.SourceLost = true
			for _, f := range n.fleets {
				if f != turnedAway { // the others read the large change by themselves
					f.ObservePlatform(at, rev(1), rev(4), []Change{change(2, 10), change(3, large), change(4, 10)})
				}
			}
			n.run(at, at+d.within)
			changes, to, _ := turnedAway.Since(rev(1))
			if to != rev(4) || len(changes) != 3 || len(changes[1].Value) != large {
				t.Fatalf("%d changes up to %v after %v, want 3 up to 4", len(changes), to, d.within)
			}
		})
	}
}
