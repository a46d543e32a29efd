package wire

import (
	"fmt"
	"slices"
)

// Fields of an envelope that may be left out, as bits of Envelope.repeats.
const (
	repeatsIncarnation = 1 << iota
	repeatsEchoed
	repeatsView

	repeatsAll = 1<<iota - 1
)

// Said is what one stream's envelopes said last, at its sender or its receiver; envelopes of a stream arrive whole and in order.
type Said struct {
	incarnation, echoed uint32
	view                []uint32
	names               names
}

// Learn notes an envelope that is sent whole, as its receiver does too.
func (s *Said) Learn(e *Envelope) {
	s.note(e)
	s.names.learn(e)
}

// Shorten leaves out what the stream's last envelope with that field said too; it changes the envelope.
func (s *Said) Shorten(e *Envelope) {
	if e.Incarnation != 0 && e.Incarnation == s.incarnation {
		e.Repeats |= repeatsIncarnation
	}
	if e.Echoed != 0 && e.Echoed == s.echoed {
		e.Repeats |= repeatsEchoed
	}
	if v := e.GetHeartbeat().GetView(); len(v) > 0 && slices.Equal(v, s.view) {
		e.Repeats |= repeatsView
	}
	s.note(e)
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

// Restore puts back what Shorten left out; its error is a *FieldError.
func (s *Said) Restore(e *Envelope) error {
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
	s.note(e)
	return s.names.restore(e)
}

func (s *Said) note(e *Envelope) {
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
