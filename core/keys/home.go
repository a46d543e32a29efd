package keys

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// Settings configures a Home; a zero field takes its default.
type Settings struct {
	Retention   time.Duration // how long a record is kept; older keys are not run
	OpenLimit   time.Duration // how long a request may be in progress before its outcome is unknown
	Bytes       int64         // limit on the size of all records with their answers
	RunAhead    time.Duration // how far a key's timestamp may be ahead of this router's wall clock to be run at once
	FutureLimit time.Duration // how far it may be ahead to be run later
	ClockError  time.Duration // largest error of any router's wall clock
	HoldMaxAge  time.Duration // how long after SetHeld a slot may be answered for
	SettleTime  time.Duration // how long a home that received no handover runs nothing
}

// Defaults of Settings.
const (
	DefaultRetention   = 10 * time.Minute
	DefaultOpenLimit   = 2 * time.Minute
	DefaultBytes       = 8 << 20
	DefaultRunAhead    = 250 * time.Millisecond
	DefaultFutureLimit = 2 * time.Second
	DefaultClockError  = 500 * time.Millisecond
	DefaultHoldMaxAge  = 250 * time.Millisecond
	DefaultSettleTime  = 2 * time.Second
)

// sweepThreshold is the number of removed records above which the lists are swept, not counting the live ones.
const sweepThreshold = 64

// recordOverhead is the size charged for a record besides its key and its answer, in bytes.
const recordOverhead = 256

// Home holds the records of the key slots for which this router is the home.
type Home struct {
	Settings   Settings
	ClockJumps int64 // times that the wall clock and the monotonic clock diverged by more than ClockError

	slots    [Slots]slotState
	records  map[recordKey]*record
	byStart  []*record // in order of their start, for expiry
	answered []*record // records with an answer, the oldest first
	bytes    int64
	removed  int // removed records that are still in the lists
}

// slotState is what the home knows of one key slot.
type slotState struct {
	held          bool
	recordedSince time.Time     // on the wall clock: every key run after this time has a record here
	heldSinceWall time.Time     // start of the hold on the wall clock
	heldSince     time.Duration // start of the hold on the monotonic clock
	confirmedAt   time.Duration // time of the last SetHeld
	inherited     bool
	waitUntil     time.Duration // a handover may arrive before this time, and until then nothing is answered
}

type recordKey struct {
	team string
	key  string
}

// record is the state of one key's request.
type record struct {
	key     recordKey
	slot    int
	router  string // the router that was permitted to send the request
	ticket  uint64 // of the KeyOpen that was answered KeyRun
	digest  uint64
	verdict fleet.KeyVerdict // KeyInProgress, KeyAnswered or KeyUnknown
	started time.Duration
	answer  fleet.Answer
	removed bool // the request did not run, or the record expired
}

func (r *record) size() int64 {
	return recordOverhead + int64(len(r.key.team)+len(r.key.key)+len(r.answer.ContentType)+len(r.answer.Body))
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
	s.HoldMaxAge = orDefault(s.HoldMaxAge, DefaultHoldMaxAge)
	s.SettleTime = orDefault(s.SettleTime, DefaultSettleTime)
	if s.Bytes == 0 {
		s.Bytes = DefaultBytes
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// Guard returns how long after the start of a hold a key's timestamp must be for this home to run it.
func (h *Home) Guard() time.Duration {
	h.init()
	// An earlier home ran only keys timestamped at most RunAhead ahead of its clock, the two
	// homes' clocks differ by at most twice ClockError, and the earlier one may answer HoldMaxAge too long.
	return h.Settings.RunAhead + 2*h.Settings.ClockError + h.Settings.HoldMaxAge
}

// SetHeld records whether this router is the home of a slot now. It must be called at each step of the control
// loop.
func (h *Home) SetHeld(now time.Duration, slot int, held bool, wall time.Time) {
	h.init()
	s := &h.slots[slot]
	switch {
	case !held:
		s.held = false
	case !s.held:
		*s = slotState{held: true, recordedSince: wall, heldSinceWall: wall, heldSince: now}
	default:
		h.checkClocks(now, slot, wall)
	}
	s.confirmedAt = now
}

// checkClocks restarts the hold of a slot if the wall clock has drifted from the monotonic clock by more than
// ClockError since the hold began.
func (h *Home) checkClocks(now time.Duration, slot int, wall time.Time) {
	s := &h.slots[slot]
	drift := wall.Sub(s.heldSinceWall) - (now - s.heldSince)
	if drift.Abs() > h.Settings.ClockError {
		h.ClockJumps++
		s.recordedSince, s.heldSinceWall, s.heldSince, s.inherited = wall, wall, now, false
	}
}

// isHome reports whether the slot is held and its hold was confirmed within HoldMaxAge.
func (h *Home) isHome(now time.Duration, slot int) bool {
	s := &h.slots[slot]
	return s.held && now-s.confirmedAt <= h.Settings.HoldMaxAge
}

// Open decides whether the request of a key may be sent. Only KeyRun permits it, and each key gets KeyRun only
// once.
func (h *Home) Open(now time.Duration, wall time.Time, from string, o fleet.KeyOpen) fleet.KeyAnswer {
	h.init()
	decline := func(v fleet.KeyVerdict, r fleet.Reason) fleet.KeyAnswer {
		return fleet.KeyAnswer{Ticket: o.Ticket, Verdict: v, Reason: r}
	}
	timestamp, ok := Timestamp(o.Key)
	if !ok {
		return decline(fleet.KeyRefused, fleet.ReasonKeyInvalid)
	}
	slot := Slot(o.Team, o.Key)
	if !h.isHome(now, slot) || h.AwaitsHandover(now, slot) {
		return decline(fleet.KeyRefused, fleet.ReasonNoMajority)
	}
	h.checkClocks(now, slot, wall)
	key := recordKey{o.Team, strings.ToLower(o.Key)}
	if r := h.records[key]; r != nil {
		return h.answerRecorded(now, r, o)
	}
	ahead := timestamp.Sub(wall)
	settling := h.settleTimeLeft(now, slot)
	switch {
	case ahead > h.Settings.FutureLimit:
		return decline(fleet.KeyRefused, fleet.ReasonKeyInvalid)
	case -ahead > h.maxKeyAge():
		return decline(fleet.KeyUnknown, fleet.ReasonKeyTooOld)
	case settling > 0: // meanwhile other routers may still report older keys
		return withWait(decline(fleet.KeyUnknown, fleet.ReasonKeyTooOld), max(settling, ahead-h.Settings.RunAhead))
	case !timestamp.After(h.slots[slot].recordedSince.Add(h.Guard())):
		return decline(fleet.KeyUnknown, fleet.ReasonKeyTooOld)
	case ahead > h.Settings.RunAhead:
		return withWait(decline(fleet.KeyRefused, fleet.ReasonKeyInvalid), ahead-h.Settings.RunAhead)
	case !h.start(now, &record{key: key, slot: slot, router: from, ticket: o.Ticket, digest: o.Digest}):
		return decline(fleet.KeyRefused, fleet.ReasonTooManyOpen)
	}
	return fleet.KeyAnswer{Ticket: o.Ticket, Verdict: fleet.KeyRun, Reason: fleet.ReasonGranted}
}

// withWait sets the time after which the key may be run if it is asked for again.
func withWait(a fleet.KeyAnswer, after time.Duration) fleet.KeyAnswer {
	a.Wait = after.Milliseconds() + 1
	return a
}

// settleTimeLeft returns how long a home that received no handover must still refuse to run keys. A former home
// can hold a slot again unnoticed by its successor, but it cannot run a key within that time. A handover younger
// than that therefore covers everything that the former home ran.
func (h *Home) settleTimeLeft(now time.Duration, slot int) time.Duration {
	s := &h.slots[slot]
	if s.inherited {
		return 0
	}
	return s.heldSince + h.Settings.SettleTime - now
}

// maxKeyAge returns the age above which a key is not run, because its record may have expired.
func (h *Home) maxKeyAge() time.Duration {
	return h.Settings.Retention - h.Settings.FutureLimit - 2*h.Settings.ClockError
}

// answerRecorded answers for a key that already has a record.
func (h *Home) answerRecorded(now time.Duration, r *record, o fleet.KeyOpen) fleet.KeyAnswer {
	a := fleet.KeyAnswer{Ticket: o.Ticket, Verdict: r.verdict}
	if r.digest != o.Digest {
		a.Verdict, a.Reason = fleet.KeyRefused, fleet.ReasonKeyMismatch
		return a
	}
	if r.verdict == fleet.KeyInProgress && now-r.started > h.Settings.OpenLimit {
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

// start records that a key's request may run. It returns false if there is no room for the record.
func (h *Home) start(now time.Duration, r *record) bool {
	r.verdict, r.started = fleet.KeyInProgress, now
	h.evictBodies(r.size())
	if h.bytes+r.size() > h.Settings.Bytes {
		return false
	}
	h.records[r.key] = r
	h.byStart = append(h.byStart, r)
	h.bytes += r.size()
	return true
}

// evictBodies drops the oldest answer bodies until there is room. The record that a key ran is never dropped.
func (h *Home) evictBodies(room int64) {
	for len(h.answered) > 0 && h.bytes+room > h.Settings.Bytes {
		r := h.answered[0]
		h.answered = h.answered[1:]
		if r.removed {
			continue
		}
		h.bytes -= int64(len(r.answer.Body))
		r.answer.Body, r.answer.Truncated = nil, true
	}
}

// Close records how a key's request ended and reports whether it changed a record. It has no effect unless the
// router and the ticket are those that were answered KeyRun: a router that was refused, or that has stopped
// waiting, must not end another router's attempt.
func (h *Home) Close(_ time.Duration, from string, c fleet.KeyClose) bool {
	h.init()
	r := h.records[recordKey{c.Team, strings.ToLower(c.Key)}]
	if r == nil || r.verdict == fleet.KeyAnswered || r.router != from || r.ticket != c.Ticket || r.verdict == c.Outcome {
		return false
	}
	switch c.Outcome {
	case fleet.KeyRefused:
		h.remove(r)
	case fleet.KeyAnswered:
		h.storeAnswer(r, c.Answer)
	case fleet.KeyUnknown:
		r.verdict = fleet.KeyUnknown
	default:
		return false
	}
	return true
}

// storeAnswer records the answer, without its body if there is no room.
func (h *Home) storeAnswer(r *record, a fleet.Answer) {
	h.bytes -= r.size()
	r.verdict, r.answer = fleet.KeyAnswered, a
	h.evictBodies(r.size())
	if h.bytes+r.size() > h.Settings.Bytes {
		r.answer.Body, r.answer.Truncated = nil, true
	}
	h.bytes += r.size()
	h.answered = append(h.answered, r)
}

func (h *Home) remove(r *record) {
	r.removed = true
	delete(h.records, r.key)
	h.bytes -= r.size()
	h.removed++
	if h.removed > len(h.records)+sweepThreshold {
		h.sweepRemoved()
	}
}

// sweepRemoved deletes removed records from the lists.
func (h *Home) sweepRemoved() {
	isRemoved := func(r *record) bool { return r.removed }
	h.byStart = slices.DeleteFunc(h.byStart, isRemoved)
	h.answered = slices.DeleteFunc(h.answered, isRemoved)
	h.removed = 0
}

// Tick removes expired records and checks the clocks of held slots.
func (h *Home) Tick(now time.Duration, wall time.Time) {
	h.init()
	for slot := range h.slots {
		if h.slots[slot].held {
			h.checkClocks(now, slot, wall)
		}
	}
	var expired []*record
	for _, r := range h.byStart {
		if !r.removed && now-r.started < h.Settings.Retention {
			break
		}
		if !r.removed {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		h.remove(r)
	}
}

// Records returns the number of recorded keys and their size in bytes.
func (h *Home) Records() (int, int64) { return len(h.records), h.bytes }
