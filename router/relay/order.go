package relay

import (
	"fmt"
	"strconv"

	"mangolug.org/router/back"
)

// OrderError reports an event that does not follow the events that the caller has.
type OrderError struct {
	Last string // id of the event before; empty if there is none
	Got  string // id of the event; empty if it has none
	Step IDStep
}

// Error returns the ids of both events and how they relate.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %q does not follow event %q: %v", e.Got, e.Last, e.Step)
}

// eventOrder checks that the events passed to a caller form one stream, over all runs that it is made of. Its zero value is ready
// for a stream from its first event.
type eventOrder struct {
	last   string // id of the newest event that the caller has; empty if there is none
	sparse bool   // an id rose by more than one, so that a gap between two runs can't be detected
	blind  bool   // an event whose id can't be compared was passed on, so that no run can resume the stream
}

// accept records the next event, or returns an *OrderError if it must not be passed on. The first event of a run that resumes the
// stream must be the very next one.
func (o *eventOrder) accept(event back.Event, resumes bool) error {
	if event.Comment {
		return nil
	}
	step := stepOf(o.last, event)
	id, err := strconv.ParseUint(event.ID, 10, 64)
	if err != nil && (o.last == "" || o.blind) {
		o.blind = true
		return nil
	}
	last, _ := strconv.ParseUint(o.last, 10, 64) // 0 before the first event, whose id is 1
	follows := err == nil && id == last+1
	if step == IDRises && resumes && !o.sparse && !follows {
		step = IDSkips
	}
	if step != IDRises {
		return &OrderError{Last: o.last, Got: event.ID, Step: step}
	}
	o.sparse = o.sparse || !follows
	o.last = event.ID
	return nil
}
