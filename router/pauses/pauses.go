package pauses

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for a time or for the context's end.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Backoff doubles the pause after each failure, with full jitter over its upper half; First and Limit must be set.
type Backoff struct {
	First, Limit time.Duration
	Random       func() float64 // from 0 to 1; nil for the system's

	failures int
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Next gives the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	d := b.First
	for range b.failures {
		d = min(2*d, b.Limit)
	}
	b.failures = min(b.failures+1, 32)
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return d/2 + time.Duration(random()*float64(d)/2)
}
