package front

import "sync"

// budget bounds retries to a fraction of first tries.
type budget struct {
	mutex  sync.Mutex
	tokens float64
	begun  bool
}

// first counts a first try, which earns a fraction of a retry.
func (b *budget) first(fraction, burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.begun {
		b.tokens, b.begun = burst, true
	}
	b.tokens = min(b.tokens+fraction, burst)
}

// take spends a retry if one is left.
func (b *budget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
