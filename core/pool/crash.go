package pool

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crashWindow is the time in which the requests of a server that ended report it.
	crashWindow = time.Second
	// provenAfter is how long a server has to live on after the first event of a response before the subjects of the request count as
	// harmless: one that crashes servers does so within some tens of milliseconds.
	provenAfter = 300 * time.Millisecond
	// maxCrashSubjects is the maximum number of subjects that are recorded for one crash.
	maxCrashSubjects = 64
)

// crash is the end of an incarnation of a server while it ran requests.
type crash struct {
	at        time.Duration // when the first request broke off
	checked   bool          // a caller of UncheckedCrash checks whether the server has ended
	confirmed bool          // the server has ended
	requests  int           // requests of this router that broke off
	subjects  []subject     // subjects of those that may have ended the server
	answered  []subject     // subjects of those that the server had just begun to answer
}

// ended reports whether the incarnation of the server is known to have ended.
func (b *backend) ended() bool { return b.crash != nil && b.crash.confirmed }

// observeBreak records that a run broke off, so that its server may have ended.
func (p *Pool) observeBreak(now time.Duration, r *Run) {
	b := r.backend
	if b.crash == nil || !b.crash.confirmed && now-b.crash.at > crashWindow {
		b.crash = &crash{at: now}
	}
	c := b.crash
	c.requests++
	if r.proven() {
		return
	}
	c.subjects = addSubjects(c.subjects, r.request.subjects())
	if r.answered.Load() {
		c.answered = addSubjects(c.answered, r.request.subjects())
	}
	if c.confirmed {
		p.accuse(now, b)
	}
}

func addSubjects(list, more []subject) []subject {
	for _, s := range more {
		if len(list) < maxCrashSubjects && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// Answered records that the header of a response has arrived; it may be called without exclusive access to the pool.
func (r *Run) Answered() { r.answered.Store(true) }

// Event records the time of the newest event of a response; it may be called without exclusive access to the pool.
func (r *Run) Event(now time.Duration) { r.lastEventAt.Store(int64(now)) }

func (r *Run) lastEvent() time.Duration { return time.Duration(r.lastEventAt.Load()) }

// proven reports whether a run shows that its request does not crash servers.
func (r *Run) proven() bool { return r.began && r.lastEvent()-r.beganAt >= provenAfter }

// UncheckedCrash reports whether the server of a run may have ended and nobody checks it yet; the caller has to check it and to call
// ConfirmCrash.
func (p *Pool) UncheckedCrash(r *Run) bool {
	c := r.backend.crash
	if c == nil || c.checked {
		return false
	}
	c.checked = true
	return true
}

// ConfirmCrash records whether the server of a run has ended.
func (p *Pool) ConfirmCrash(now time.Duration, r *Run, ended bool) {
	b := r.backend
	c := b.crash
	if c == nil || c.confirmed {
		return
	}
	if !ended {
		b.crash = nil
		return
	}
	c.confirmed = true
	p.emit(b, "ended", fmt.Sprintf("%d requests of this router broke off; those that had just begun or not begun: %s; parts of their prompts: %s", c.requests, joinNames(c.subjects, SubjectRequest), joinNames(c.subjects, SubjectPart)))
	p.accuse(now, b)
}
