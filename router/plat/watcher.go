package plat

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/router/pauses"
)

// Defaults of a Watcher's times.
const (
	// DefaultWait is how long one watch of the rules waits at the platform.
	DefaultWait = 20 * time.Second
	// DefaultListPeriod is the time between two reads of the list by readers and schedulers.
	DefaultListPeriod = time.Second
	// DefaultSlowPeriod is the time between two reads of the list by the other routers, in a fleet of up to fleet.FullPace.
	DefaultSlowPeriod = 5 * time.Second
	// DefaultRulesPeriod is the time between two reads of the rules by routers that do not watch them, in such a fleet.
	DefaultRulesPeriod = 15 * time.Second
	// DefaultBackoff is the first pause after a failure; it doubles with each further one.
	DefaultBackoff = 200 * time.Millisecond
	// DefaultBackoffLimit bounds the pause after failures.
	DefaultBackoffLimit = 5 * time.Second
)

// answerLimit is how long the platform may take to answer beyond the wait that it was asked for.
const answerLimit = 3 * time.Second

// retryAfterLimit bounds the pause that the platform may ask for.
const retryAfterLimit = 30 * time.Second

// rolePoll is how often a router that does not watch looks whether it has become a reader.
const rolePoll = 250 * time.Millisecond

// Times are a Watcher's periods; zero values mean the defaults.
type Times struct {
	Wait         time.Duration
	ListPeriod   time.Duration
	SlowPeriod   time.Duration
	RulesPeriod  time.Duration
	Backoff      time.Duration
	BackoffLimit time.Duration
}

// Watcher keeps a router informed by the platform; its function fields are called from its own goroutines.
type Watcher struct {
	Client *Client
	Times  Times

	Offer  func(version uint64, text []byte) // a rule file was read
	List   func([]fleet.VM)                  // the list was read
	Asked  func()                            // the first read of the rules was answered or failed
	Failed func(error)                       // a read failed
	Newest func() uint64                     // highest version already decided here; nil: what this watcher read
	Reader func() bool                       // this router watches the rules; nil: yes
	Urgent func() bool                       // this router chooses backend servers and needs the list at once; nil: yes
	Random func() float64                    // from 0 to below 1; nil: a global source

	FleetSize func() int // routers that read the platform; nil: few
}

// Run reads until the context ends, and gives its error.
func (w *Watcher) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { w.watchRules(ctx) })
	group.Go(func() { w.pollList(ctx) })
	group.Wait()
	return ctx.Err()
}

// watchRules watches as a reader and reads now and then otherwise.
func (w *Watcher) watchRules(ctx context.Context) {
	var read uint64
	backoff := backoff{pauses.Backoff{First: w.Times.backoff(), Limit: w.Times.backoffLimit(), Random: w.random}}
	for first := true; ctx.Err() == nil; first = false {
		reader := w.reader()
		var wait time.Duration
		if reader && !first {
			wait = w.Times.wait()
		}
		if w.Newest != nil {
			read = max(read, w.Newest())
		}
		version, text, changed, err := w.rules(ctx, read, wait)
		if ctx.Err() != nil {
			return
		}
		if changed {
			read = max(read, version)
			w.Offer(version, text)
		}
		if first && w.Asked != nil {
			w.Asked()
		}
		switch {
		case err != nil:
			w.failed(err)
			pauses.For(ctx, backoff.next(err))
		case reader:
			backoff.Reset()
			pauses.For(ctx, w.spread(w.Times.backoff()))
		default:
			backoff.Reset()
			w.awaitRole(ctx, w.spread(w.share(w.Times.rulesPeriod())))
		}
	}
}

// rules is one read of the rules with a bound on its time.
func (w *Watcher) rules(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerLimit)
	defer cancel()
	return w.Client.Rules(ctx, after, wait)
}

// pollList reads the list, often while the router needs it at once.
func (w *Watcher) pollList(ctx context.Context) {
	backoff := backoff{pauses.Backoff{First: w.Times.backoff(), Limit: w.Times.backoffLimit(), Random: w.random}}
	for ctx.Err() == nil {
		vms, err := w.vms(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.failed(err)
			pauses.For(ctx, backoff.next(err))
			continue
		}
		backoff.Reset()
		w.List(vms)
		pauses.For(ctx, w.Times.listPeriod())
		w.awaitUrgent(ctx, w.spread(w.share(w.Times.slowPeriod())-w.Times.listPeriod()))
	}
}

func (w *Watcher) vms(ctx context.Context) ([]fleet.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	return w.Client.VMs(ctx)
}

// awaitRole waits until the time is up or the router has become a reader.
func (w *Watcher) awaitRole(ctx context.Context, limit time.Duration) {
	for ; limit > 0 && ctx.Err() == nil && !w.reader(); limit -= rolePoll {
		pauses.For(ctx, min(limit, rolePoll))
	}
}

// awaitUrgent waits until the time is up or the router needs the list at once.
func (w *Watcher) awaitUrgent(ctx context.Context, limit time.Duration) {
	for ; limit > 0 && ctx.Err() == nil && !w.urgent() && !w.reader(); limit -= rolePoll {
		pauses.For(ctx, min(limit, rolePoll))
	}
}

// share lengthens a period of routers without a role as the fleet grows, so that all of them together read no more often
// than a fleet of FullPace routers.
func (w *Watcher) share(period time.Duration) time.Duration {
	if w.FleetSize == nil {
		return period
	}
	return period * time.Duration(max(fleet.FullPace, w.FleetSize())) / fleet.FullPace
}

func (w *Watcher) reader() bool { return w.Reader == nil || w.Reader() }

func (w *Watcher) urgent() bool { return w.Urgent == nil || w.Urgent() }

func (w *Watcher) random() float64 {
	if w.Random == nil {
		return rand.Float64()
	}
	return w.Random()
}

// spread gives between three quarters and all of a time, so that routers do not read in step.
func (w *Watcher) spread(d time.Duration) time.Duration {
	return d - time.Duration(w.random()*float64(d)/4)
}

func (w *Watcher) failed(err error) {
	if w.Failed != nil {
		w.Failed(err)
	}
}

// backoff pauses after failures, for at least as long as the platform asked for.
type backoff struct{ pauses.Backoff }

// next gives the pause after one more failure.
func (b *backoff) next(err error) time.Duration {
	d := b.Next()
	var status *StatusError
	if errors.As(err, &status) {
		d = max(d, min(status.RetryAfter, retryAfterLimit)+time.Duration(b.Random()*float64(b.First)))
	}
	return d
}
