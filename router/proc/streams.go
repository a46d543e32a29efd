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

// serviceVersions returns how many software versions a service has had within a window, as far as this router knows, and the version if there was
// only one. A router that knows it has missed a change knows no sole version.
func (p *Process) serviceVersions(service uint32, window time.Duration) (sole uint32, count digest.VersionCount) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { sole, count = q.Versions(now, service, window) })
	if count == digest.VersionsOne && p.behind() {
		return 0, digest.VersionsUnknown
	}
	return sole, count
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
