package back

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// writeEndTimeout is how long an answer's end waits for a write that is running: one whose bytes have all arrived returns as soon as its goroutine runs.
const writeEndTimeout = 100 * time.Millisecond

// headEnd is what ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// UnfinishedError reports that a connection ended before the request on it was written. Only a reset does that to a server's answer that is not
// complete, and the system tells a reset once, to the reader or to the writer; the other one sees an end in order.
type UnfinishedError struct {
	Err error // of the write; nil if it did not fail
}

// Error returns the cause.
func (e *UnfinishedError) Error() string {
	text := "the connection ended before the request was written"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e *UnfinishedError) Unwrap() error { return io.ErrUnexpectedEOF }

// upload follows how much of a request has been written to a connection. The zero value is that of a connection without a request.
type upload struct {
	mutex   sync.Mutex
	pending bool // the request is not written whole
	inHead  bool
	tail    []byte        // the last bytes of the head, of which the end is looked for
	left    int64         // bytes of the body that are not written; negative if its length is not known
	err     error         // of the first write that failed
	running bool          // a write is running
	ended   chan struct{} // closed at its end; nil if nobody waits for that
}

// begin expects a request with a body of some bytes, or of an unknown number if that is negative.
func (u *upload) begin(length int64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.pending, u.inHead, u.tail, u.left, u.err = true, true, u.tail[:0], length, nil
}

// writes records that a write begins.
func (u *upload) writes() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running = true
}

// wrote records the end of the write that was running, and the bytes that the system accepted.
func (u *upload) wrote(b []byte, err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.running = false; u.ended != nil {
		close(u.ended)
		u.ended = nil
	}
	if err != nil && u.err == nil {
		u.err = err
	}
	if u.inHead {
		before := len(u.tail)
		text := append(u.tail, b...)
		at := bytes.Index(text, headEnd)
		if at < 0 {
			u.tail = append(u.tail[:0], text[max(0, len(text)-len(headEnd)+1):]...)
			return
		}
		u.inHead = false
		b = b[at+len(headEnd)-before:]
	}
	if u.left >= 0 {
		u.left -= min(u.left, int64(len(b)))
		u.pending = u.left > 0
	}
}

// check returns an *UnfinishedError unless the request is written whole. It waits for a write that is running.
func (u *upload) check() error {
	if ended := u.waitEnd(); ended != nil {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
		}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.pending || u.err != nil {
		return &UnfinishedError{u.err}
	}
	return nil
}

// waitEnd returns a channel that is closed at the end of the write that is running, or nil if there is none.
func (u *upload) waitEnd() <-chan struct{} {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.running {
		return nil
	}
	if u.ended == nil {
		u.ended = make(chan struct{})
	}
	return u.ended
}
