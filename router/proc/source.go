package proc

import (
	"context"
	"math/rand/v2"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

// Source reads what the platform publishes until the context ends, and tells it to the process.
type Source func(ctx context.Context, t *Taker) error

// Taker takes in what a source reads; the process sets all fields.
type Taker struct {
	Configure func(c route.Config)                     // a configuration; one that is not newer than that in force is ignored
	Server    func(s pool.Server)                      // a backend server that is told, or told anew
	Gone      func(id string)                          // a server is no longer told
	Only      func(ids map[string]bool)                // no other servers than these are told
	Out       func(names map[string]bool)              // the data centres that are out of service
	Lost      func(err error)                          // the platform can't be read
	Regained  func(revision int64)                     // all changes up to a revision are taken in
	Note      func(what string, fields ...interface{}) // something about what was read that operators should see

	// Next waits until there is something to do for a source that knows all changes up to a revision.
	Next func(ctx context.Context, revision int64) Turn
	// Read notes what was read for the other routers: all changes after a revision up to another, or all of the state if the
	// first is 0.
	Read func(from, to int64, changes []digest.Change)
}

func (p *Process) taker() *Taker {
	return &Taker{
		Configure: p.configure, Server: p.server, Gone: p.gone, Only: p.only, Out: p.out, Lost: p.lost, Regained: p.regained,
		Note: func(what string, fields ...interface{}) { p.log.Warn(what, fields...) },
		Next: (&follower{process: p, limit: followAge + time.Duration(rand.Int64N(int64(followSpread)))}).next,
		Read: p.noteRead,
	}
}

// configure takes a configuration in; one that is not newer than that in force is ignored.
func (p *Process) configure(c route.Config) {
	old := p.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		return
	}
	table := route.NewTable(c)
	p.table.Store(table)
	p.gate.With(func(_ time.Duration, q *pool.Pool) { q.Configure(table) })
	p.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "teams", len(c.Teams))
}

// server takes in a backend server that is told, or told anew.
func (p *Process) server(s pool.Server) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SetServer(now, s) })
}

// gone takes in that a server is no longer told.
func (p *Process) gone(id string) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.RemoveServer(now, id) })
}

// only takes in that no other servers than these are told.
func (p *Process) only(ids map[string]bool) {
	p.gate.With(func(now time.Duration, q *pool.Pool) {
		for _, id := range q.Servers() {
			if !ids[id] {
				q.RemoveServer(now, id)
			}
		}
	})
}

// out takes in which data centres are out of service.
func (p *Process) out(names map[string]bool) {
	p.gate.With(func(now time.Duration, q *pool.Pool) {
		for _, name := range q.Evacuated() {
			if !names[name] {
				q.Evacuate(now, name, false)
				p.log.Info("data centre back", "dataCentre", name)
			}
		}
		for name := range names {
			if q.Evacuate(now, name, true) {
				p.log.Info("data centre out", "dataCentre", name)
			}
		}
	})
}

// lost notes that the platform can't be read.
func (p *Process) lost(err error) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SourceLost(now) })
	if !p.sourceLost.Swap(true) {
		p.log.Warn("platform lost", "error", err)
	}
	p.count("platform.failed")
}

// regained notes that the platform was read, at a revision.
func (p *Process) regained(revision int64) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SourceBack(now) })
	if p.sourceLost.Swap(false) {
		p.log.Info("platform back", "revision", revision)
	}
}
