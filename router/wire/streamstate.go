package wire

import (
	"fmt"
	"slices"
)

// Fields of an envelope that may be omitted, as bits of Envelope.repeats.
const (
	repeatsIncarnation = 1 << iota
	repeatsEchoed
	repeatsView

	repeatsAll = 1<<iota - 1
)

// StreamState holds the last values that one stream carried, at its sender or receiver, so that repeated values can be omitted.
// This relies on gRPC: the envelopes of a stream arrive complete and in order.
type StreamState struct {
	incarnation, echoed uint32
	view                []uint32
	names               nameTables
}

// Record records the values of an envelope that is sent in full, as its receiver does.
func (s *StreamState) Record(e *Envelope) {
	s.record(e)
	s.names.record(e)
}

// Shorten omits the values that the stream's last envelope with the same field carried too. It modifies the envelope.
func (s *StreamState) Shorten(e *Envelope) {
	if e.Incarnation != 0 && e.Incarnation == s.incarnation {
		e.Repeats |= repeatsIncarnation
	}
	if e.Echoed != 0 && e.Echoed == s.echoed {
		e.Repeats |= repeatsEchoed
	}
	if v := e.GetHeartbeat().GetView(); len(v) > 0 && slices.Equal(v, s.view) {
		e.Repeats |= repeatsView
	}
	s.record(e)
	if e.Repeats&repeatsIncarnation != 0 {
		e.Incarnation = 0
	}
	if e.Repeats&repeatsEchoed != 0 {
		e.Echoed = 0
	}
	if e.Repeats&repeatsView != 0 {
		e.GetHeartbeat().View = nil
	}
	s.names.shorten(e)
}

// Restore fills in the values that Shorten omitted. It modifies the envelope; the error is a *FieldError.
func (s *StreamState) Restore(e *Envelope) error {
	heartbeat := e.GetHeartbeat()
	if e.Repeats&^repeatsAll != 0 || e.Repeats&repeatsView != 0 && heartbeat == nil {
		return &FieldError{Field: "repeats", Value: fmt.Sprint(e.Repeats)}
	}
	if e.Repeats&repeatsIncarnation != 0 {
		e.Incarnation = s.incarnation
	}
	if e.Repeats&repeatsEchoed != 0 {
		e.Echoed = s.echoed
	}
	if e.Repeats&repeatsView != 0 {
		heartbeat.View = s.view
	}
	e.Repeats = 0
	s.record(e)
	return s.names.restore(e)
}

func (s *StreamState) record(e *Envelope) {
	if e.Incarnation != 0 {
		s.incarnation = e.Incarnation
	}
	if e.Echoed != 0 {
		s.echoed = e.Echoed
	}
	if v := e.GetHeartbeat().GetView(); len(v) > 0 {
		s.view = v
	}
}
