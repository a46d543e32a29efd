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

// Defaults of Times.
const (
	// DefaultWait is the longest time that one watch of the rules waits at the platform.
	DefaultWait = 20 * time.Second
	// DefaultListPeriod is the time between two reads of the list by readers and schedulers.
	DefaultListPeriod = time.Second
	// DefaultSlowPeriod is the time between two reads of the list by the other routers, in a fleet of at most fleet.FullRateFleet.
	DefaultSlowPeriod = 5 * time.Second
	// DefaultRulesPeriod is the time between two reads of the rules by routers that do not watch them, in such a fleet.
	DefaultRulesPeriod = 15 * time.Second
	// DefaultBackoff is the delay after the first failure. It doubles with each consecutive failure.
	DefaultBackoff = 200 * time.Millisecond
	// DefaultBackoffLimit is the longest delay after a failure.
	DefaultBackoffLimit = 5 * time.Second
)

// responseTimeout is the time that the platform may take to respond, in addition to the requested wait.
const responseTimeout = 3 * time.Second

// retryAfterLimit is the longest Retry-After of the platform that is obeyed.
const retryAfterLimit = 30 * time.Second

// rolePollPeriod is the time between two checks by a router that does not watch of whether it has become a reader.
const rolePollPeriod = 250 * time.Millisecond

// Times holds the periods and delays of a Watcher. A zero field takes its default.
type Times struct {
	Wait         time.Duration
	ListPeriod   time.Duration
	SlowPeriod   time.Duration
	RulesPeriod  time.Duration
	Backoff      time.Duration
	BackoffLimit time.Duration
}

// Watcher reads the platform for a router. It calls its function fields from its own goroutines.
type Watcher struct {
	Client *Client
	Times  Times

	Offer        func(version uint64, text []byte) // called when a rule file was read
	List         func([]fleet.VM)                  // called when the list was read
	ConfigPolled func()                            // called when the first read of the rules has succeeded or failed
	Failed       func(error)                       // called when a read failed
	Newest       func() uint64                     // returns the highest version already decided on by this router; nil for the highest that this Watcher read
	Reader       func() bool                       // reports whether this router watches the rules; nil for always
	Urgent       func() bool                       // reports whether this router schedules and needs the current list; nil for always
	Random       func() float64                    // returns a random number in [0, 1); nil for a global source

	FleetSize func() int // returns the number of routers that read the platform; nil for a small fleet
}

// Run reads the platform until the context is done, and returns the context's error.
func (w *Watcher) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { w.watchRules(ctx) })
	group.Go(func() { w.pollList(ctx) })
	group.Wait()
	return ctx.Err()
}

// watchRules watches the rules while this router is a reader, and polls them otherwise.
func (w *Watcher) watchRules(ctx context.Context) {
	var read uint64
	backoff := backoff{pauses.Backoff{Initial: w.Times.backoff(), Max: w.Times.backoffLimit(), Random: w.random}}
	for first := true; ctx.Err() == nil; first = false {
		reader := w.reader()
		var wait time.Duration
		if reader && !first {
			wait = w.Times.wait()
		}
		if w.Newest != nil {
			read = max(read, w.Newest())
		}
		version, text, changed, err := w.readRules(ctx, read, wait)
		if ctx.Err() != nil {
			return
		}
		if changed {
			read = max(read, version)
			w.Offer(version, text)
		}
		if first && w.ConfigPolled != nil {
			w.ConfigPolled()
		}
		switch {
		case err != nil:
			w.failed(err)
			pauses.Sleep(ctx, backoff.next(err))
		case reader:
			backoff.Reset()
			pauses.Sleep(ctx, w.jitter(w.Times.backoff()))
		default:
			backoff.Reset()
			w.awaitRole(ctx, w.jitter(w.scalePeriod(w.Times.rulesPeriod())))
		}
	}
}

// readRules reads the rules once, with a timeout.
func (w *Watcher) readRules(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	return w.Client.Rules(ctx, after, wait)
}

// pollList reads the list periodically, with the shorter period while this router is a reader or needs the current list.
func (w *Watcher) pollList(ctx context.Context) {
	backoff := backoff{pauses.Backoff{Initial: w.Times.backoff(), Max: w.Times.backoffLimit(), Random: w.random}}
	for ctx.Err() == nil {
		vms, err := w.readVMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.failed(err)
			pauses.Sleep(ctx, backoff.next(err))
			continue
		}
		backoff.Reset()
		w.List(vms)
		pauses.Sleep(ctx, w.Times.listPeriod())
		w.awaitUrgent(ctx, w.jitter(w.scalePeriod(w.Times.slowPeriod())-w.Times.listPeriod()))
	}
}

func (w *Watcher) readVMs(ctx context.Context) ([]fleet.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return w.Client.VMs(ctx)
}

// awaitRole waits for the given time or until the router has become a reader.
func (w *Watcher) awaitRole(ctx context.Context, limit time.Duration) {
	for ; limit > 0 && ctx.Err() == nil && !w.reader(); limit -= rolePollPeriod {
		pauses.Sleep(ctx, min(limit, rolePollPeriod))
	}
}

// awaitUrgent waits for the given time, or until the router needs the current list or has become a reader.
func (w *Watcher) awaitUrgent(ctx context.Context, limit time.Duration) {
	for ; limit > 0 && ctx.Err() == nil && !w.urgent() && !w.reader(); limit -= rolePollPeriod {
		pauses.Sleep(ctx, min(limit, rolePollPeriod))
	}
}

// scalePeriod lengthens a polling period in proportion to the size of the fleet, so that all routers without a role together
// read no more often than a fleet of fleet.FullRateFleet routers.
func (w *Watcher) scalePeriod(period time.Duration) time.Duration {
	if w.FleetSize == nil {
		return period
	}
	return period * time.Duration(max(fleet.FullRateFleet, w.FleetSize())) / fleet.FullRateFleet
}

func (w *Watcher) reader() bool { return w.Reader == nil || w.Reader() }

func (w *Watcher) urgent() bool { return w.Urgent == nil || w.Urgent() }

func (w *Watcher) random() float64 {
	if w.Random == nil {
		return rand.Float64()
	}
	return w.Random()
}

// jitter returns a random duration between three quarters of d and d, so that routers do not read in lockstep.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d - time.Duration(w.random()*float64(d)/4)
}

func (w *Watcher) failed(err error) {
	if w.Failed != nil {
		w.Failed(err)
	}
}

// backoff computes the delay after failures, which is at least the platform's Retry-After, up to retryAfterLimit.
type backoff struct{ pauses.Backoff }

// next returns the delay after another failure.
func (b *backoff) next(err error) time.Duration {
	d := b.Next()
	var status *StatusError
	if errors.As(err, &status) {
		d = max(d, min(status.RetryAfter, retryAfterLimit)+time.Duration(b.Random()*float64(b.Initial)))
	}
	return d
}
