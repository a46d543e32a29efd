package proc

import (
	"context"
	"math"
	"runtime"
	"time"

	"mangolug.org/router/pauses"
)

const (
	// lagMost bounds what one measurement counts: a request takes some ten steps, and callers give up after a second.
	lagMost = 160 * time.Millisecond
	// lagPeriod is the time between two measurements, and lagWeight the part in the mean of one that is not late.
	lagPeriod, lagWeight = 50 * time.Millisecond, 0.1
)

// measureLag follows how long the process's goroutines wait for the processor, and bounds the requests that are served at once
// by it, until the context ends.
func (p *Process) measureLag(ctx context.Context) error {
	last := time.Now()
	for {
		due := time.Now().Add(lagPeriod)
		pauses.For(ctx, lagPeriod)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		runtime.Gosched() // the runtime lets a goroutine run first that a timer wakes; this one waits its turn like all others
		p.noteLag(time.Since(due))
		p.limit.note(time.Since(due), time.Since(last), p.relay.OpenRequests())
		last = time.Now()
	}
}

// noteLag takes one measurement in, weighed by the time that it covers: a stall of seconds stands for all the measurements
// that it kept from being taken. Each counts up to a bound, so that the mean is back soon after a pause of the whole machine.
func (p *Process) noteLag(late time.Duration) {
	mean := p.lag.Load()
	old := math.Pow(1-lagWeight, 1+float64(max(late, 0))/float64(lagPeriod))
	p.lag.Store(mean + int64((1-old)*float64(int64(min(late, lagMost))-mean)))
}
