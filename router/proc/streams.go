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

// soleVersion returns the only software version that servers of a service have had within a window, as far as this router knows.
func (p *Process) soleVersion(service uint32, window time.Duration) (version uint32, ok bool) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { version, ok = q.SoleVersion(now, service, window) })
	return version, ok
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
