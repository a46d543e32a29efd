package relay

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// smallAnswer is the size in bytes up to which the memory of an answer counts as that of its request.
	smallAnswer = 16 << 10
	// firstBuffer is the size in bytes of the first buffer for an answer without a length.
	firstBuffer = 1 << 10
	// eventCopies is the number of times that the text of an event is held while it is read: as a line, as text and as data.
	eventCopies = 3
)

// answersFullError is the reason for cutting an answer off: it was the largest of those that together reached their limit.
type answersFullError struct {
	Bytes, Limit int64
}

// Error returns a message with the size of the answer and the limit.
func (e *answersFullError) Error() string {
	return fmt.Sprintf("the answer of %d bytes so far is the largest of those held, which reached their limit of %d bytes", e.Bytes, e.Limit)
}

// heldAnswers counts the memory of servers' answers that are held until they, or an event of theirs, are complete. Its zero value is ready to use.
type heldAnswers struct {
	mutex   sync.Mutex
	sum     int64
	answers map[*heldAnswer]bool
}

// heldAnswer is the memory of one answer. Its fields are guarded by the mutex of heldAnswers.
type heldAnswer struct {
	held    *heldAnswers
	cut     func() // ends the answer while it is read
	bytes   int64
	reading bool
	full    *answersFullError // set once the answer was cut off
}

// begin returns an answer of which nothing is held yet.
func (h *heldAnswers) begin(cut func()) *heldAnswer {
	return &heldAnswer{held: h, cut: cut, reading: true}
}

// resize sets the memory of an answer. While all answers exceed the limit, the largest of those that are being read is cut off, so that small ones are
// served beside some without an end. It returns an *answersFullError if that is this one. A limit of 0 means no limit.
func (a *heldAnswer) resize(bytes, limit int64) error {
	h := a.held
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if a.full != nil {
		return a.full
	}
	h.set(a, bytes)
	for limit > 0 && h.sum > limit {
		largest := h.largest()
		if largest == nil {
			break
		}
		largest.full = &answersFullError{Bytes: largest.bytes, Limit: limit}
		h.set(largest, 0)
		if largest == a {
			return a.full
		}
		go largest.cut() // closing a connection may block
	}
	return nil
}

// set counts the memory of an answer beyond that of its request.
func (h *heldAnswers) set(a *heldAnswer, bytes int64) {
	counted := func(n int64) int64 { return max(0, n-smallAnswer) }
	h.sum += counted(bytes) - counted(a.bytes)
	if a.bytes = bytes; counted(bytes) == 0 {
		delete(h.answers, a)
		return
	}
	if h.answers == nil {
		h.answers = make(map[*heldAnswer]bool)
	}
	h.answers[a] = true
}

// largest returns the answer being read that has the most memory, or nil.
func (h *heldAnswers) largest() *heldAnswer {
	var largest *heldAnswer
	for a := range h.answers {
		if a.reading && (largest == nil || a.bytes > largest.bytes) {
			largest = a
		}
	}
	return largest
}

// complete records that an answer was read to its end, so that it is delivered.
func (a *heldAnswer) complete() error {
	a.held.mutex.Lock()
	defer a.held.mutex.Unlock()
	if a.full != nil {
		return a.full
	}
	a.reading = false
	return nil
}

// release records that nothing of an answer is held any longer.
func (a *heldAnswer) release() {
	a.held.mutex.Lock()
	defer a.held.mutex.Unlock()
	a.held.set(a, 0)
}

// cutOff returns the reason if an answer was cut off, and otherwise the given error.
func (a *heldAnswer) cutOff(err error) error {
	a.held.mutex.Lock()
	defer a.held.mutex.Unlock()
	if a.full != nil {
		return a.full
	}
	return err
}

// readAll reads an answer of at most limit bytes to its end, and one byte more of a longer one. Its buffer grows only as far as the memory for all
// answers allows.
func (a *heldAnswer) readAll(r io.Reader, length, limit, sum int64) ([]byte, error) {
	size := int64(firstBuffer)
	if length >= 0 && length < smallAnswer {
		size = length + 1 // the last read returns the end
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, a.complete()
		}
		if err != nil {
			return body, a.cutOff(err)
		}
		if int64(len(body)) > limit {
			return body, nil
		}
		if len(body) < cap(body) {
			continue
		}
		size := min(2*int64(cap(body)), limit+1)
		if err := a.resize(int64(cap(body))+size, sum); err != nil { // both buffers until the old one is copied
			return body, err
		}
		body = append(make([]byte, 0, size), body...)
		if err := a.resize(size, sum); err != nil {
			return body, err
		}
	}
}
