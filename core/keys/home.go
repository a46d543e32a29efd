package keys

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// Settings bounds a home; a zero field takes its default.
type Settings struct {
	Retention   time.Duration // how long a record is kept, and the age at which a key is no longer run
	OpenLimit   time.Duration // how long a request may be in progress before its outcome is called unknown
	Bytes       int64         // held by all records with their answers
	RunAhead    time.Duration // how far ahead of this router's wall clock a key may be minted to be run at once
	FutureLimit time.Duration // how far ahead it may be minted to be run later
	ClockError  time.Duration // largest error of any router's wall clock
	HoldFresh   time.Duration // how long after Hold a slot may be answered for
	SettleTime  time.Duration // how long a home that took over no records runs nothing
}

// Defaults of Settings.
const (
	DefaultRetention   = 10 * time.Minute
	DefaultOpenLimit   = 2 * time.Minute
	DefaultBytes       = 8 << 20
	DefaultRunAhead    = 250 * time.Millisecond
	DefaultFutureLimit = 2 * time.Second
	DefaultClockError  = 500 * time.Millisecond
	DefaultHoldFresh   = 250 * time.Millisecond
	DefaultSettleTime  = 2 * time.Second
)

// freedLeast is how many freed records stay in the lists before these are swept.
const freedLeast = 64

// recordBytes is charged for a record besides its key and its answer.
const recordBytes = 256

// Home holds the records of the key slots that this router is home of.
type Home struct {
	Settings   Settings
	ClockJumps int64 // times that the wall clock and the monotonic clock disagreed

	slots   [Slots]slot
	records map[recordKey]*record
	order   []*record // by begin, for expiry
	bodies  []*record // with an answer, the oldest first
	bytes   int64
	freed   int // records in the lists that were freed
}

// slot says whether and since when this router is a slot's home.
type slot struct {
	holds     bool
	since     time.Time     // on the wall clock: of a key that was run after it, this home would have a record
	wall      time.Time     // begin of the hold on the wall clock
	begun     time.Duration // the same moment on the monotonic clock
	heard     time.Duration // of the last Hold
	inherited bool
	waits     time.Duration // until then a handover may come, and nothing is answered
}

type recordKey struct {
	team string
	key  string
}

// record is one key's request.
type record struct {
	key     recordKey
	slot    int
	router  string // that was permitted to send the request
	ticket  uint64 // of its question
	digest  uint64
	verdict fleet.KeyVerdict // KeyInProgress, KeyAnswered or KeyUnknown
	begun   time.Duration
	answer  fleet.Answer
	freed   bool // it did not run, or was kept long enough
}

func (r *record) size() int64 {
	return recordBytes + int64(len(r.key.team)+len(r.key.key)+len(r.answer.ContentType)+len(r.answer.Body))
}

func (h *Home) init() {
	if h.records != nil {
		return
	}
	h.records = make(map[recordKey]*record)
	s := &h.Settings
	s.Retention = orDefault(s.Retention, DefaultRetention)
	s.OpenLimit = orDefault(s.OpenLimit, DefaultOpenLimit)
	s.RunAhead = orDefault(s.RunAhead, DefaultRunAhead)
	s.FutureLimit = orDefault(s.FutureLimit, DefaultFutureLimit)
	s.ClockError = orDefault(s.ClockError, DefaultClockError)
	s.HoldFresh = orDefault(s.HoldFresh, DefaultHoldFresh)
	s.SettleTime = orDefault(s.SettleTime, DefaultSettleTime)
	if s.Bytes == 0 {
		s.Bytes = DefaultBytes
	}
}

func orDefault(value, other time.Duration) time.Duration {
	if value == 0 {
		return other
	}
	return value
}

// Guard is how long after the begin of a home a key must be minted for the home to run it.
func (h *Home) Guard() time.Duration {
	h.init()
	// An earlier home ran only keys minted at most RunAhead ahead of its clock, the two homes'
	// clocks differ by at most twice ClockError, and the earlier one may answer HoldFresh too long.
	return h.Settings.RunAhead + 2*h.Settings.ClockError + h.Settings.HoldFresh
}

// Hold tells whether this router is a slot's home now; it is to be called at each step of the control loop.
func (h *Home) Hold(now time.Duration, number int, holds bool, wall time.Time) {
	h.init()
	s := &h.slots[number]
	switch {
	case !holds:
		s.holds = false
	case !s.holds:
		*s = slot{holds: true, since: wall, wall: wall, begun: now}
	default:
		h.check(now, number, wall)
	}
	s.heard = now
}

// check begins the hold of a slot anew when the wall clock moved otherwise than the monotonic clock since.
func (h *Home) check(now time.Duration, number int, wall time.Time) {
	s := &h.slots[number]
	moved := wall.Sub(s.wall) - (now - s.begun)
	if moved.Abs() > h.Settings.ClockError {
		h.ClockJumps++
		s.since, s.wall, s.begun, s.inherited = wall, wall, now, false
	}
}

func (h *Home) holds(now time.Duration, number int) bool {
	s := &h.slots[number]
	return s.holds && now-s.heard <= h.Settings.HoldFresh
}

// Open decides whether the request of a key may be sent; only KeyRun permits it, and only once.
func (h *Home) Open(now time.Duration, wall time.Time, from string, o fleet.KeyOpen) fleet.KeyAnswer {
	h.init()
	refused := func(v fleet.KeyVerdict, r fleet.Reason) fleet.KeyAnswer {
		return fleet.KeyAnswer{Ticket: o.Ticket, Verdict: v, Reason: r}
	}
	minted, ok := Minted(o.Key)
	if !ok {
		return refused(fleet.KeyRefused, fleet.ReasonKeyInvalid)
	}
	number := Slot(o.Team, o.Key)
	if !h.holds(now, number) || h.Waits(now, number) {
		return refused(fleet.KeyRefused, fleet.ReasonNoMajority)
	}
	h.check(now, number, wall)
	key := recordKey{o.Team, strings.ToLower(o.Key)}
	if r := h.records[key]; r != nil {
		return h.recorded(now, r, o)
	}
	ahead := minted.Sub(wall)
	settles := h.settles(now, number)
	switch {
	case ahead > h.Settings.FutureLimit:
		return refused(fleet.KeyRefused, fleet.ReasonKeyInvalid)
	case -ahead > h.oldest():
		return refused(fleet.KeyUnknown, fleet.ReasonKeyTooOld)
	case settles > 0: // what others know of older keys may come meanwhile
		return wait(refused(fleet.KeyUnknown, fleet.ReasonKeyTooOld), max(settles, ahead-h.Settings.RunAhead))
	case !minted.After(h.slots[number].since.Add(h.Guard())):
		return refused(fleet.KeyUnknown, fleet.ReasonKeyTooOld)
	case ahead > h.Settings.RunAhead:
		return wait(refused(fleet.KeyRefused, fleet.ReasonKeyInvalid), ahead-h.Settings.RunAhead)
	case !h.begin(now, &record{key: key, slot: number, router: from, ticket: o.Ticket, digest: o.Digest}):
		return refused(fleet.KeyRefused, fleet.ReasonTooManyOpen)
	}
	return fleet.KeyAnswer{Ticket: o.Ticket, Verdict: fleet.KeyRun, Reason: fleet.ReasonGranted}
}

// wait tells the asker when its key may be run if it asks again.
func wait(a fleet.KeyAnswer, after time.Duration) fleet.KeyAnswer {
	a.Wait = after.Milliseconds() + 1
	return a
}

// settles gives how long a home that took over no records will run nothing yet. A former home can hold a slot again without the
// next one's notice, but not run a key in that time; so a handover that is younger holds all that the former home ran.
func (h *Home) settles(now time.Duration, number int) time.Duration {
	s := &h.slots[number]
	if s.inherited {
		return 0
	}
	return s.begun + h.Settings.SettleTime - now
}

// oldest is the age above which a key is not run: a record of it might have been forgotten.
func (h *Home) oldest() time.Duration {
	return h.Settings.Retention - h.Settings.FutureLimit - 2*h.Settings.ClockError
}

// recorded answers for a key whose request this home permitted before.
func (h *Home) recorded(now time.Duration, r *record, o fleet.KeyOpen) fleet.KeyAnswer {
	a := fleet.KeyAnswer{Ticket: o.Ticket, Verdict: r.verdict}
	if r.digest != o.Digest {
		a.Verdict, a.Reason = fleet.KeyRefused, fleet.ReasonKeyMismatch
		return a
	}
	if r.verdict == fleet.KeyInProgress && now-r.begun > h.Settings.OpenLimit {
		a.Verdict = fleet.KeyUnknown
	}
	switch a.Verdict {
	case fleet.KeyAnswered:
		a.Answer = r.answer
	case fleet.KeyInProgress:
		a.Reason = fleet.ReasonKeyInProgress
	default:
		a.Reason = fleet.ReasonOutcomeUnknown
	}
	return a
}

// begin records that a key's request may run; it fails when there is no room for the record.
func (h *Home) begin(now time.Duration, r *record) bool {
	r.verdict, r.begun = fleet.KeyInProgress, now
	h.shrink(r.size())
	if h.bytes+r.size() > h.Settings.Bytes {
		return false
	}
	h.records[r.key] = r
	h.order = append(h.order, r)
	h.bytes += r.size()
	return true
}

// shrink drops the oldest recorded bodies until there is room; that a key ran is never dropped.
func (h *Home) shrink(room int64) {
	for len(h.bodies) > 0 && h.bytes+room > h.Settings.Bytes {
		r := h.bodies[0]
		h.bodies = h.bodies[1:]
		if r.freed {
			continue
		}
		h.bytes -= int64(len(r.answer.Body))
		r.answer.Body, r.answer.Truncated = nil, true
	}
}

// Close records how a key's request ended; it has no effect unless it belongs to the question that was answered KeyRun:
// a router that asked in vain, or no longer waits, must not end another router's attempt. It reports whether it changed a record.
func (h *Home) Close(_ time.Duration, from string, c fleet.KeyClose) bool {
	h.init()
	r := h.records[recordKey{c.Team, strings.ToLower(c.Key)}]
	if r == nil || r.verdict == fleet.KeyAnswered || r.router != from || r.ticket != c.Ticket || r.verdict == c.Outcome {
		return false
	}
	switch c.Outcome {
	case fleet.KeyRefused:
		h.free(r)
	case fleet.KeyAnswered:
		h.keep(r, c.Answer)
	case fleet.KeyUnknown:
		r.verdict = fleet.KeyUnknown
	default:
		return false
	}
	return true
}

func (h *Home) keep(r *record, a fleet.Answer) {
	h.bytes -= r.size()
	r.verdict, r.answer = fleet.KeyAnswered, a
	h.shrink(r.size())
	if h.bytes+r.size() > h.Settings.Bytes {
		r.answer.Body, r.answer.Truncated = nil, true
	}
	h.bytes += r.size()
	h.bodies = append(h.bodies, r)
}

func (h *Home) free(r *record) {
	r.freed = true
	delete(h.records, r.key)
	h.bytes -= r.size()
	h.freed++
	if h.freed > len(h.records)+freedLeast {
		h.sweep()
	}
}

// sweep takes freed records out of the lists.
func (h *Home) sweep() {
	gone := func(r *record) bool { return r.freed }
	h.order = slices.DeleteFunc(h.order, gone)
	h.bodies = slices.DeleteFunc(h.bodies, gone)
	h.freed = 0
}

// Tick forgets the records that were kept for the retention and checks the clocks.
func (h *Home) Tick(now time.Duration, wall time.Time) {
	h.init()
	for number := range h.slots {
		if h.slots[number].holds {
			h.check(now, number, wall)
		}
	}
	var old []*record
	for _, r := range h.order {
		if !r.freed && now-r.begun < h.Settings.Retention {
			break
		}
		if !r.freed {
			old = append(old, r)
		}
	}
	for _, r := range old {
		h.free(r)
	}
}

// Records gives the number of keys on record and the bytes that they hold.
func (h *Home) Records() (int, int64) { return len(h.records), h.bytes }
