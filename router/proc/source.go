package proc

import (
	"context"
	"time"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

// Source reads what the platform publishes until the context ends, and tells it to the process.
type Source func(ctx context.Context, t *Taker) error

// Taker takes in what a source reads.
type Taker struct {
	process *Process
}

// Configure takes a configuration in; one that is not newer than that in force is ignored.
func (t *Taker) Configure(c route.Config) {
	p := t.process
	old := p.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		return
	}
	table := route.NewTable(c)
	p.table.Store(table)
	p.gate.With(func(_ time.Duration, q *pool.Pool) { q.Configure(table) })
	p.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "teams", len(c.Teams))
}

// Server takes in a backend server that is told, or told anew.
func (t *Taker) Server(s pool.Server) {
	t.process.gate.With(func(now time.Duration, p *pool.Pool) { p.Set(now, s) })
}

// Gone takes in that a server is no longer told.
func (t *Taker) Gone(id string) {
	t.process.gate.With(func(now time.Duration, p *pool.Pool) { p.Remove(now, id) })
}

// Only takes in that no other servers than these are told.
func (t *Taker) Only(ids map[string]bool) {
	t.process.gate.With(func(now time.Duration, p *pool.Pool) {
		for _, id := range p.Servers() {
			if !ids[id] {
				p.Remove(now, id)
			}
		}
	})
}

// Out takes in which data centres are out of service.
func (t *Taker) Out(names map[string]bool) {
	t.process.gate.With(func(now time.Duration, p *pool.Pool) {
		for _, name := range p.Evacuated() {
			if !names[name] {
				p.Evacuate(now, name, false)
				t.process.log.Info("data centre back", "dataCentre", name)
			}
		}
		for name := range names {
			if p.Evacuate(now, name, true) {
				t.process.log.Info("data centre out", "dataCentre", name)
			}
		}
	})
}

// Lost notes that the platform can't be read.
func (t *Taker) Lost(err error) {
	p := t.process
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SourceLost(now) })
	if !p.sourceLost.Swap(true) {
		p.log.Warn("platform lost", "error", err)
	}
	p.count("platform.failed")
}

// Regained notes that the platform was read, at a revision.
func (t *Taker) Regained(revision int64) {
	p := t.process
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SourceBack(now) })
	if p.sourceLost.Swap(false) {
		p.log.Info("platform back", "revision", revision)
	}
}

// Note logs something about what was read.
func (t *Taker) Note(what string, fields ...interface{}) { t.process.log.Warn(what, fields...) }
