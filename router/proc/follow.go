package proc

import (
	"context"
	"math/rand/v2"
	"time"

	"mangolug.org/core/digest"
)

const (
	// readWait is how long a call of a reader router may wait at the platform for changes. The platform may return no changes
	// from a call during which they are made, so that only the next call returns them.
	readWait = 700 * time.Millisecond
	// readPause batches changes that are made close together, since every call is charged for.
	readPause = 100 * time.Millisecond
	// maxStateAge is the age of the fleet's last read of the platform above which this router reads for itself; a little longer
	// than readWait and the propagation between routers. A change has to be in force within 2 s.
	maxStateAge = 1200 * time.Millisecond
	// maxStateAgeJitter spreads that age over the routers, so that the first to read spares the others a call.
	maxStateAgeJitter = 400 * time.Millisecond
	// minCallInterval is the minimum time between two calls of a router that is not a reader.
	minCallInterval = time.Second
	// fleetCallRate is the number of calls per second by all routers together while none of them reaches the platform, since each
	// call is charged for. The first router to reach it again notifies the others within some tenths of a second.
	fleetCallRate = 20
	// lostAge is the age of the fleet's last read above which a router considers the platform unreachable without a call of its
	// own: entries of live servers expire after three heartbeats of 1.2 s.
	lostAge = 3 * time.Second
	// announceTimeout is how long an announced change may take to arrive from another router.
	announceTimeout = 400 * time.Millisecond
	// eraSpread times the number of routers is the time over which they read the state of a new era.
	eraSpread = 2 * time.Millisecond
	// checkPeriod is how often a waiting router checks the age of its state.
	checkPeriod = 100 * time.Millisecond
)

// Turn is the next step of a source.
type Turn struct {
	FromPeer bool            // apply Changes, which another router read; otherwise read the platform
	Changes  []digest.Change // all after the source's position up to Position
	Position digest.Position
	Wait     time.Duration // how long the platform may hold the call while there is no change
}

// follower decides when a router reads the platform and when it applies what other routers read.
type follower struct {
	process     *Process
	maxAge      time.Duration   // age of the fleet's last read above which this router reads
	lastRead    time.Duration   // time of this router's last call
	announced   digest.Position // one whose changes have not arrived yet; zero if none
	announcedAt time.Duration   // when it was first announced
	spread      time.Duration   // random delay before this router reads the state of a new era
	nextTry     time.Duration   // time of the next call while no router reaches the platform; 0 while one does
	overdueRead bool            // the newest call was made as the fleet's last read was too old
	acting      actingReader    // reads for the routers whose duty it is, while these can't reach the platform
}

// next waits for the next turn of a source that has all changes up to a position.
func (f *follower) next(ctx context.Context, known digest.Position) Turn {
	for ctx.Err() == nil {
		turn, wait := f.decide(known)
		if wait <= 0 {
			return turn
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-f.process.newerState:
		case <-timer.C:
		}
		timer.Stop()
	}
	return Turn{FromPeer: true, Position: known}
}

// decide returns the next turn, or how long to wait before deciding again.
func (f *follower) decide(applied digest.Position) (Turn, time.Duration) {
	p := f.process
	now := p.now()
	lost := p.sourceLost.Load()
	reader, fresh, late := true, false, false
	pause, age := minCallInterval, time.Duration(0)
	turn := Turn{Position: applied}
	if p.exchanger != nil {
		p.exchanger.WithFleet(func(now time.Duration, fleet *digest.Fleet) {
			if changes, to, ok := fleet.Since(applied); ok && applied.Before(to) {
				turn = Turn{FromPeer: true, Changes: changes, Position: to}
			}
			known := false
			age, known = fleet.PlatformAge(now)
			fresh = known && age <= f.maxAge
			if fleet.Connected(now) {
				pause = max(pause, time.Duration(fleet.Size(now))*time.Second/fleetCallRate)
			}
			late = f.overdue(now, applied, fleet)
			reader = fleet.Reader(now)
		})
	}
	p.overdue.Store(late)
	f.overdueRead = false
	if lost || reader {
		f.acting.stop()
	}
	switch {
	case turn.FromPeer:
		return turn, 0
	case p.reads.wanted() && (f.lastRead == 0 || now-f.lastRead >= readPause):
		return f.call(now, turn)
	case reader:
		if left := f.lastRead + readPause - now; left > 0 && f.lastRead > 0 {
			return turn, left
		}
		if !lost {
			turn.Wait = readWait
		}
		return f.call(now, turn)
	case f.acting.due(now, now-age) && now-f.lastRead >= readWait:
		turn.Wait = readWait
		return f.call(now, turn)
	case late && (f.lastRead == 0 || now-f.lastRead >= minCallInterval):
		return f.call(now, turn)
	case !fresh && f.due(now, pause):
		f.overdueRead = true
		return f.call(now, turn)
	case fresh && lost && f.announced == digest.Position{}:
		turn.FromPeer = true
		return turn, 0
	case !fresh && !lost && age > lostAge:
		p.platformLost(&unreachableError{age})
	}
	if fresh {
		f.nextTry = 0
	}
	return turn, checkPeriod
}

// call returns a turn that reads the platform now.
func (f *follower) call(now time.Duration, turn Turn) (Turn, time.Duration) {
	f.lastRead = now
	f.process.reads.begin()
	return turn, 0
}

// unreachableError means that no router has read the platform for some time.
type unreachableError struct{ age time.Duration }

// Error returns the time since the last read.
func (e *unreachableError) Error() string {
	return "no router has read the platform for " + e.age.Round(time.Millisecond).String()
}

// due reports whether this router calls the platform now while no router reaches it: once per pause, from a random offset on.
func (f *follower) due(now, pause time.Duration) bool {
	if f.nextTry == 0 {
		f.nextTry = now + time.Duration(rand.Float64()*float64(pause-minCallInterval))
		if f.lastRead > 0 {
			f.nextTry = max(f.nextTry, f.lastRead+minCallInterval)
		}
	}
	if now < f.nextTry {
		return false
	}
	f.nextTry = now + pause
	return true
}

// overdue reports whether an announced change has not arrived within announceTimeout, as happens if it is too large for a message. The state of a new
// era never arrives, so that each router reads it, and they spread their calls.
func (f *follower) overdue(now time.Duration, applied digest.Position, fleet *digest.Fleet) bool {
	if !applied.Before(f.announced) {
		f.announced = digest.Position{}
	}
	if !applied.Before(fleet.Position) {
		return false
	}
	if f.announced == (digest.Position{}) || f.announced.Era != fleet.Position.Era {
		f.announced, f.announcedAt = fleet.Position, now
		f.spread = time.Duration(rand.Float64() * float64(fleet.Size(now)) * float64(eraSpread))
	}
	if applied.Era < f.announced.Era {
		return now-f.announcedAt >= f.spread
	}
	return now-f.announcedAt > announceTimeout
}

// recordRead stores the changes that were read, to be sent to the other routers.
func (f *follower) recordRead(from, to digest.Position, changes []digest.Change) {
	p := f.process
	p.count("platform.read")
	p.reads.succeed()
	if p.exchanger == nil {
		p.outages.Observe(max(1, p.now()), to)
		return
	}
	p.exchanger.WithFleet(func(now time.Duration, fleet *digest.Fleet) {
		age, known := fleet.PlatformAge(now)
		if f.overdueRead && known && age > f.maxAge && fleet.Connected(now) {
			f.acting.start(now, rand.IntN(maxOverlapJitter))
			p.count("platform.actingReader")
			p.log.Info("reads the platform for the others", "lastRead", age)
		} else {
			f.acting.observe(now, now-age)
		}
		fleet.ObservePlatform(now, from, to, changes)
	})
}

// readContext returns a context for a call of the platform, which ends with a *SupersededError if the call hangs while the changes after the known
// position arrive from another router.
func (f *follower) readContext(ctx context.Context, known digest.Position) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancelCause(ctx)
	if f.process.exchanger == nil {
		return call, func() { cancel(nil) }
	}
	go f.supersede(call, cancel, known)
	return call, func() { cancel(nil) }
}

// supersede cancels a call once another router's changes have been known for hangPeriods checks: a platform that answers has returned them by then,
// or returns them to the next call.
func (f *follower) supersede(call context.Context, cancel context.CancelCauseFunc, known digest.Position) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for periods := 0; periods < hangPeriods; {
		select {
		case <-call.Done():
			return
		case <-ticker.C:
		}
		f.process.exchanger.WithFleet(func(_ time.Duration, fleet *digest.Fleet) {
			if _, to, ok := fleet.Since(known); ok && known.Before(to) {
				periods++
			}
		})
	}
	f.process.count("platform.superseded")
	cancel(&SupersededError{})
}

// hangPeriods is how many checks a call may go on after its result has arrived from another router.
const hangPeriods = 3

// SupersededError means that a call of the platform was cancelled, as it hung while its result arrived from another router.
type SupersededError struct{}

// Error returns a fixed message.
func (e *SupersededError) Error() string { return "another router read the platform meanwhile" }
