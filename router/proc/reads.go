package proc

import (
	"context"
	"sync"
)

// reads numbers the calls of the platform, so that requests can wait for one that begins after they came. The zero value is ready to use.
type reads struct {
	mutex     sync.Mutex
	begun     int // number of the newest call
	succeeded int // number of the newest call that was answered
	applied   int // number of the newest call whose answer was applied
	awaited   int // number of the newest call that somebody waits for
	changed   chan struct{}
}

// begin records that a call begins.
func (r *reads) begin() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.begun++
}

// succeed records that the newest call was answered.
func (r *reads) succeed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.succeeded = r.begun
}

// apply records that the answer was applied.
func (r *reads) apply() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.applied = r.succeeded; r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// wanted reports whether somebody waits for a call that has not begun.
func (r *reads) wanted() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.awaited > r.begun
}

// await asks for a call that begins after now and returns its number.
func (r *reads) await() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.awaited = r.begun + 1
	return r.awaited
}

// done reports whether a call's answer, or that of a later call, was applied; if not, it returns a channel that is closed at the next change.
func (r *reads) done(number int) (bool, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.applied >= number {
		return true, nil
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return false, r.changed
}

// refresh waits until the platform was read by a call that begins after now, and reports whether it was.
func (p *Process) refresh(ctx context.Context) bool {
	number := p.reads.await()
	p.wakeSource()
	for {
		done, changed := p.reads.done(number)
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
