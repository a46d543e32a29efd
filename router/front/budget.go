package front

import "sync"

// retryBudget limits retries to a fraction of first attempts, plus a burst.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
	filled bool
}

// earn adds the fraction of a retry that one first attempt earns.
func (b *retryBudget) earn(fraction, burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.filled {
		b.tokens, b.filled = burst, true
	}
	b.tokens = min(b.tokens+fraction, burst)
}

// spend takes one retry from the budget and reports whether one was left.
func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
