package pauses

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep sleeps for d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Backoff computes pauses of exponential backoff, with jitter over the upper half of each; First and Limit must be set.
type Backoff struct {
	Initial, Max time.Duration
	Random       func() float64 // returns a number in [0, 1); nil for math/rand

	failures int
}

// Reset restarts the backoff after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Next returns the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	d := b.Initial
	for range b.failures {
		d = min(2*d, b.Max)
	}
	b.failures = min(b.failures+1, 32)
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return d/2 + time.Duration(random()*float64(d)/2)
}
