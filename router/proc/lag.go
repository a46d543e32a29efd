package proc

import (
	"context"
	"math"
	"runtime"
	"syscall"
	"time"

	"mangolug.org/router/pauses"
)

const (
	// maxLag caps a single measurement: a request takes some ten steps, and callers give up after a second.
	maxLag = 160 * time.Millisecond
	// lagPeriod is the time between two measurements; lagWeight is the weight in the moving average of one that is not late.
	lagPeriod, lagWeight = 50 * time.Millisecond, 0.1
)

// measureLag measures how long goroutines wait for the processor and adjusts the limit of concurrent requests, until the context
// ends.
func (p *Process) measureLag(ctx context.Context) error {
	last := time.Now()
	for {
		due := time.Now().Add(lagPeriod)
		pauses.Sleep(ctx, lagPeriod)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		runtime.Gosched() // the runtime runs a goroutine woken by a timer first; yield to wait in the queue like the others
		p.observeLag(time.Since(due))
		p.limit.observeWork(p.relay.Served(), p.relay.RefusedUnread(), processorTime(), time.Since(last))
		p.limit.observe(time.Since(due), time.Since(last), p.relay.OpenRequests())
		last = time.Now()
	}
}

// processorTime returns the processor time that the process has used, in the kernel too.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0 // refusals then count as free
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// observeLag adds a measurement to the moving average, weighted by the time that it covers: a stall of seconds replaces all the
// measurements that it prevented. Each is capped at maxLag, so that the average recovers soon after a pause of the whole machine.
func (p *Process) observeLag(late time.Duration) {
	mean := p.lag.Load()
	decay := math.Pow(1-lagWeight, 1+float64(max(late, 0))/float64(lagPeriod))
	p.lag.Store(mean + int64((1-decay)*float64(int64(min(late, maxLag))-mean)))
}
