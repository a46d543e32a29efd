package proc

import (
	"context"
	"math/rand/v2"
	"time"

	"mangolug.org/core/digest"
)

const (
	// readWait is how long routers that read for all let the platform hold a call for changes. The platform may silence a call
	// while changes are made, so that only the next one tells of them.
	readWait = 700 * time.Millisecond
	// readPause collects changes that come together, since every call is priced.
	readPause = 100 * time.Millisecond
	// followAge is how long ago any router may have read the platform before this one reads for itself; a bit longer than
	// readWait and the way of news. A change has to be in force 2 s after it is made.
	followAge = 1200 * time.Millisecond
	// followSpread is by how much that differs from router to router, so that the first to read spares the others.
	followSpread = 400 * time.Millisecond
	// followPause is the least time between two calls of a router that does not read for all.
	followPause = time.Second
	// fleetTries is how many calls a second all routers together make while none of them reaches the platform, each of which is
	// priced: the first to reach it again tells the others within some tenths of a second.
	fleetTries = 20
	// lostAge is how long nobody may have read the platform before a router takes it to be out of reach without a try of its own:
	// entries of live servers lapse after three heartbeats of 1.2 s.
	lostAge = 3 * time.Second
	// followMiss is how long a change that was announced may take to be told.
	followMiss = 400 * time.Millisecond
	// followCheck is how often a router that waits looks at the age of what it knows.
	followCheck = 100 * time.Millisecond
)

// Turn is what a source does next.
type Turn struct {
	Told    bool            // take in Changes, which another router read; else read the platform
	Changes []digest.Change // all after the source's revision up to At
	At      int64
	Wait    time.Duration // to let the platform hold the call while there is no change
}

// follower decides when a router reads the platform, and when it takes over what others read.
type follower struct {
	process   *Process
	limit     time.Duration // of the age of what is known
	read      time.Duration // when this router read last
	announced int64         // a revision that is not told yet
	since     time.Duration // when it was announced first
	tryAt     time.Duration // when to read next while nobody reaches the platform; 0 while somebody does
}

// next waits until there is something to do.
func (f *follower) next(ctx context.Context, revision int64) Turn {
	for ctx.Err() == nil {
		turn, wait := f.decide(revision)
		if wait <= 0 {
			return turn
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-f.process.news:
		case <-timer.C:
		}
		timer.Stop()
	}
	return Turn{Told: true, At: revision}
}

// decide gives the next turn, or how long to wait for one.
func (f *follower) decide(revision int64) (Turn, time.Duration) {
	p := f.process
	now := p.now()
	lost := p.sourceLost.Load()
	reader, fresh, late := true, false, false
	pause, age := followPause, time.Duration(0)
	turn := Turn{At: revision}
	if p.share != nil {
		p.share.WithFleet(func(now time.Duration, fleet *digest.Fleet) {
			if changes, to, ok := fleet.Since(revision); ok && to > revision {
				turn = Turn{Told: true, Changes: changes, At: to}
			}
			known := false
			age, known = fleet.PlatformAge(now)
			fresh = known && age <= f.limit
			if fleet.Connected(now) {
				pause = max(pause, time.Duration(fleet.Size(now))*time.Second/fleetTries)
			}
			late = f.late(now, revision, fleet.Revision)
			reader = fleet.Reader(now)
		})
	}
	switch {
	case turn.Told:
		return turn, 0
	case reader:
		if left := f.read + readPause - now; left > 0 && f.read > 0 {
			return turn, left
		}
		f.read = now
		if !lost {
			turn.Wait = readWait
		}
		return turn, 0
	case late && (f.read == 0 || now-f.read >= followPause), !fresh && f.due(now, pause):
		f.read = now
		return turn, 0
	case fresh && lost:
		turn.Told = true
		return turn, 0
	case !fresh && !lost && age > lostAge:
		p.lost(&unreadError{age})
	}
	if fresh {
		f.tryAt = 0
	}
	return turn, followCheck
}

// unreadError tells that no router has read the platform for some time.
type unreadError struct{ age time.Duration }

// Error gives the time.
func (e *unreadError) Error() string {
	return "no router has read the platform for " + e.age.Round(time.Millisecond).String()
}

// due reports whether it is this router's turn to try the platform, which nobody reaches: once in a pause, from a moment in it by chance
// on.
func (f *follower) due(now, pause time.Duration) bool {
	if f.tryAt == 0 {
		f.tryAt = now + time.Duration(rand.Float64()*float64(pause-followPause))
		if f.read > 0 {
			f.tryAt = max(f.tryAt, f.read+followPause)
		}
	}
	if now < f.tryAt {
		return false
	}
	f.tryAt = now + pause
	return true
}

// late reports a change that was announced and not told for too long, as it is too large for a message.
func (f *follower) late(now time.Duration, revision, announced int64) bool {
	if announced <= revision {
		f.announced = 0
		return false
	}
	if f.announced == 0 {
		f.announced, f.since = announced, now
	}
	return now-f.since > followMiss
}

// noteRead keeps what was read for the other routers.
func (p *Process) noteRead(from, to int64, changes []digest.Change) {
	p.count("platform.read")
	if p.share == nil {
		return
	}
	p.share.WithFleet(func(now time.Duration, f *digest.Fleet) { f.ObservePlatform(now, from, to, changes) })
}
