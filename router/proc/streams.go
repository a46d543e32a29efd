package proc

import (
	"context"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
)

// liveRouters returns the addresses of the other live routers.
func (p *Process) liveRouters() (live []string) {
	p.exchanger.WithFleet(func(now time.Duration, fleet *digest.Fleet) { live = fleet.Live(now) })
	return live
}

// startedRouters returns the other live routers that started within a window.
func (p *Process) startedRouters(window time.Duration) (started []string) {
	p.exchanger.WithFleet(func(now time.Duration, fleet *digest.Fleet) { started = fleet.StartedWithin(now, window) })
	return started
}

// knownRouters returns the other routers that have been live within a window, also those that ended.
func (p *Process) knownRouters(window time.Duration) (known []string) {
	p.exchanger.WithFleet(func(now time.Duration, fleet *digest.Fleet) { known = fleet.SeenWithin(now, window) })
	return known
}

// serviceVersions returns what this router knows of the software versions that a service has had within a window. A router that knows it has missed a
// change knows no sole version. It knows the earlier version if it would have been told of all streams that have begun since others joined it: all routers
// knew it by then, and it has lost sight of none since, as one that lives beyond a cut tells others.
func (p *Process) serviceVersions(service uint32, window time.Duration) (known digest.Versions) {
	var earlier uint32
	var joined time.Duration
	p.gate.With(func(now time.Duration, q *pool.Pool) {
		known = q.Versions(now, service, window)
		if known.Count == digest.VersionsSeveral {
			earlier, joined, _ = q.EarlierVersion(now, service, window)
		}
	})
	switch {
	case known.Count == digest.VersionsOne && p.behind():
		return digest.Versions{}
	case earlier != 0 && p.exchanger != nil && !p.behind():
		p.exchanger.WithFleet(func(now time.Duration, fleet *digest.Fleet) {
			spread := fleet.SpreadTime() // gossip about a router that ended may be passed on for as long after its end
			if joined >= spread && !fleet.LostSince(now, joined+spread) {
				known.Earlier = earlier
			}
		})
	}
	return known
}

// behind reports whether another router knows of changes of the platform's state that this one has not applied.
func (p *Process) behind() (behind bool) {
	if p.exchanger != nil {
		applied := p.applied.Load()
		p.exchanger.WithFleet(func(_ time.Duration, fleet *digest.Fleet) { behind = applied == nil || applied.Before(fleet.Position) })
	}
	return behind
}

// tellDelay is the time from the start of a router until it tells others what it learned from servers: by then it knows most of them.
const tellDelay = time.Second

// learnRuns learns from servers what routers that ended have begun, and tells the others.
func (p *Process) learnRuns() {
	p.relay.LearnRuns(context.Background()) // bounded by its own timeouts
	time.AfterFunc(tellDelay, p.streams.TellAll)
}

// severalVersions lets other routers know the streams that this one began, since a service has another software version now. It is called with
// exclusive access to the pool.
func (p *Process) severalVersions(service string) {
	p.count("versions.joined")
	p.log.Info("versions", "service", service, "are", "several")
	go p.streams.TellAll()
}
