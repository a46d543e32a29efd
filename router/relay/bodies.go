package relay

import (
	"fmt"
	"io"
	"sync"
)

// bodiesFullError is returned when the bodies held for all callers would exceed their limit.
type bodiesFullError struct{ Limit int64 }

// Error returns a message with the limit.
func (e *bodiesFullError) Error() string {
	return fmt.Sprintf("held request bodies reached their limit of %d bytes", e.Limit)
}

// bodies counts the bytes of callers' bodies held in memory. Its zero value is ready to use.
type bodies struct {
	mutex sync.Mutex
	held  int64
}

// reserve adds n bytes unless the sum would exceed the limit, and reports whether it did. A limit of 0 means no limit.
func (b *bodies) reserve(n, limit int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if limit > 0 && b.held+n > limit {
		return false
	}
	b.held += n
	return true
}

// release subtracts n bytes.
func (b *bodies) release(n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held -= n
}

// bodyReader reads a call's body while the held bodies stay within the limit.
type bodyReader struct {
	io.Reader
	call  *call
	limit int64
}

// Read returns a *bodiesFullError if the bytes read exceed the limit on held bodies.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.call.relay.bodies.reserve(int64(n), r.limit) {
		return 0, &bodiesFullError{r.limit}
	}
	r.call.heldBytes += int64(n)
	return n, err
}
