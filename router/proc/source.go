package proc

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/past"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

// Source reads what the platform publishes and passes it to a Sink until the context ends.
type Source func(ctx context.Context, t *Sink) error

// Sink receives what a source reads; the process sets all fields.
type Sink struct {
	Configure       func(c route.Config)                     // applies a configuration unless the one in force is as new
	SetServer       func(s pool.Server)                      // adds or updates a backend server
	RemoveServer    func(id string, revision int64)          // removes a server whose entry was removed at a revision
	RetainServers   func(ids map[string]bool, l Listing)     // removes all servers but these, which were read together
	SetOutOfService func(names map[string]bool)              // sets the data centres that are out of service
	Lost            func(err error)                          // reports that the platform can't be read
	Recovered       func(at digest.Position)                 // reports that all changes up to a position have been applied
	Warn            func(what string, fields ...interface{}) // logs a warning about what was read

	// Rewound reports that what follows, up to RetainServers, is the state of a platform that came back from an older copy.
	Rewound func(from, to digest.Position)
	// Next waits for the next turn of a source that has all changes up to a position.
	Next func(ctx context.Context, known digest.Position) Turn
	// ReadContext returns a context for a call that reads the changes after a position. Its cause is a *SupersededError if these arrived from another
	// router while the call hung.
	ReadContext func(ctx context.Context, known digest.Position) (context.Context, context.CancelFunc)
	// RecordRead stores what was read for the other routers, before it is applied: all changes after one position up to another, or the whole state if from
	// is zero.
	RecordRead func(from, to digest.Position, changes []digest.Change)
}

// Listing says what a complete read of the platform tells of the time before it.
type Listing struct {
	past.Listing
	FromCopy bool          // the platform tells an era, so that it may have come back from an older copy just before
	Former   []pool.Server // servers that the history tells, listed or not
}

func (p *Process) newSink() *Sink {
	f := &follower{process: p, maxAge: maxStateAge + time.Duration(rand.Int64N(int64(maxStateAgeJitter)))}
	return &Sink{
		Configure: p.configure, SetServer: p.setServer, RemoveServer: p.removeServer, RetainServers: p.retainServers, SetOutOfService: p.setOutOfService, Lost: p.platformLost, Recovered: p.platformRecovered, Rewound: p.rewound,
		Warn: func(what string, fields ...interface{}) { p.log.Warn(what, fields...) },
		Next: f.next, ReadContext: f.readContext, RecordRead: f.recordRead,
	}
}

// configure applies a configuration unless the one in force is as new.
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

// setServer adds or updates a backend server.
func (p *Process) setServer(s pool.Server) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SetServer(now, s) })
}

// removeServer removes a server whose entry was removed at a revision, at once unless it may have expired in an outage.
func (p *Process) removeServer(id string, revision int64) {
	outages := p.knownOutages()
	p.gate.With(func(now time.Duration, q *pool.Pool) { remove(now, q, id, revision, &outages) })
}

func remove(now time.Duration, q *pool.Pool, id string, revision int64, outages *digest.Outages) {
	if returnedAt, ok := outages.MayHaveExpired(revision); ok {
		q.Lapse(now, id, returnedAt)
		return
	}
	q.RemoveServer(now, id)
}

// knownOutages returns the outages of the platform.
func (p *Process) knownOutages() (outages digest.Outages) {
	if p.exchanger == nil {
		return p.outages
	}
	p.exchanger.WithFleet(func(_ time.Duration, f *digest.Fleet) { outages = f.Outages() })
	return outages
}

// retainServers removes all servers but these, which were read together with all other items.
func (p *Process) retainServers(ids map[string]bool, l Listing) {
	outages := p.knownOutages()
	c := l.coverage(time.Now())
	p.log.Info("servers read", "servers", len(ids), "revision", l.Revision, "knownBefore", l.Known, "nothingMissed", c.Continuous, "nothingMissedFor", c.Before)
	p.gate.With(func(now time.Duration, q *pool.Pool) {
		for _, id := range q.Servers() {
			if !ids[id] {
				remove(now, q, id, 0, &outages)
			}
		}
		for _, f := range l.Former {
			q.RecordFormer(now, f.Service, f.Version)
		}
		q.ReadAnew(now, c)
	})
	if p.learned.Swap(true) {
		go p.streams.TellOwn() // this router can no longer tell that a service had one version, and others may be in the same place
		return
	}
	go p.learnRuns()
}

// maxClockError bounds the difference between the time of day here and at the backend servers.
const maxClockError = 5 * time.Second

// coverage returns what a router that reads a listing can't have missed, given the time of day.
func (l *Listing) coverage(now time.Time) pool.Coverage {
	c := pool.Coverage{FromCopy: l.FromCopy}
	switch covered := l.Coverage(); {
	case covered.Complete && l.Known > 0:
		c.Continuous = true
	case covered.Complete:
		c.Before = math.MaxInt64
	case !covered.Since.IsZero():
		c.Before = max(0, now.Sub(covered.Since)-maxClockError)
	}
	return c
}

// setOutOfService sets which data centres are out of service, and puts the others back.
func (p *Process) setOutOfService(names map[string]bool) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SetOutOfService(now, names) })
}

// logEvacuation logs that a data centre was taken out of service or put back.
func (p *Process) logEvacuation(dataCentre string, out bool) {
	what := "data centre back"
	if out {
		what = "data centre out"
	}
	p.log.Info(what, "dataCentre", dataCentre)
}

// rewound records that the platform came back from an older copy, which is read next.
func (p *Process) rewound(from, to digest.Position) {
	p.count("platform.rewound")
	p.log.Warn("platform came back from a copy", "from", from, "to", to)
	p.gate.With(func(_ time.Duration, q *pool.Pool) { q.Rewound() })
}

// platformLost records that the platform can't be read.
func (p *Process) platformLost(err error) {
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SourceLost(now) })
	p.setSourceLost(true)
	if !p.sourceLost.Swap(true) {
		p.log.Warn("platform lost", "error", err)
	}
	p.count("platform.failed")
}

// platformRecovered records that all changes up to a position have been applied.
func (p *Process) platformRecovered(at digest.Position) {
	p.applied.Store(&at)
	p.reads.apply()
	p.gate.With(func(now time.Duration, q *pool.Pool) { q.SourceBack(now) })
	p.setSourceLost(false)
	if p.sourceLost.Swap(false) {
		p.log.Info("platform back", "revision", at.Revision, "era", at.Era)
	}
}

// setSourceLost sets whether this router asks others for changes that are too large for one message.
func (p *Process) setSourceLost(lost bool) {
	if p.exchanger != nil {
		p.exchanger.WithFleet(func(_ time.Duration, f *digest.Fleet) { f.SourceLost = lost })
	}
}
