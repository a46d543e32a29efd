package proc

import (
	"context"
	"runtime/metrics"
	"time"

	"mangolug.org/core/pool"
	"mangolug.org/router/pauses"
)

// usagePeriod is the interval of usage log lines: short enough to show what led to a memory limit.
const usagePeriod = 5 * time.Second

// Names of runtime metrics.
const (
	usageGoroutines = "/sched/goroutines:goroutines"
	usageHeap       = "/memory/classes/heap/objects:bytes"
	usageStacks     = "/memory/classes/heap/stacks:bytes"
	usageTotal      = "/memory/classes/total:bytes"
	usageReleased   = "/memory/classes/heap/released:bytes"
)

// logUsage logs the process's resource usage until the context ends.
func (p *Process) logUsage(ctx context.Context) error {
	samples := []metrics.Sample{{Name: usageGoroutines}, {Name: usageHeap}, {Name: usageStacks}, {Name: usageTotal}, {Name: usageReleased}}
	for {
		pauses.Sleep(ctx, usagePeriod)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		metrics.Read(samples)
		waiting := 0
		p.gate.With(func(_ time.Duration, q *pool.Pool) { waiting = q.Waiting() })
		value := func(i int) uint64 { return samples[i].Value.Uint64() }
		p.log.Info("usage", "goroutines", value(0), "heapBytes", value(1), "stackBytes", value(2), "residentBytes", value(3)-value(4),
			"callers", p.entrance.Conns.Count(), "open", p.relay.OpenRequests(), "waiting", waiting, "lag", time.Duration(p.lag.Load()), "bound", p.limit.bound(), "floor", p.limit.floor(), "droppedLines", p.lines.dropped.Load())
	}
}
