package relay

import (
	"context"
	"errors"
	"io"
	"strconv"
	"syscall"

	"mangolug.org/router/back"
)

//go:generate stringer -type=End,IDStep -linecomment -output=enums_string.go

// End is what ended the body of a server's answer.
type End int

// Ends of an answer.
const (
	EndNone       End = iota // none
	EndLastChunk             // lastChunk
	EndLength                // length
	EndConnection            // connection
	EndCut                   // cut
	EndReset                 // reset
	EndCancelled             // cancelled
	EndMalformed             // malformed
	EndUnread                // unread
)

// IDStep is the order of an event's id relative to the last id before it.
type IDStep int

// Orders of an event's id. Events without a preceding id and events that are only comments are in order.
const (
	IDRises     IDStep = iota // rises
	IDRepeated                // repeated
	IDLower                   // lower
	IDMissing                 // missing
	IDNotNumber               // notNumber
	IDSkips                   // skips
)

// progress records how far an attempt's answer came.
type progress struct {
	resumedAfter string // id after which the server was asked to resume; empty for the start
	framing      back.Framing
	end          End
	insideEvent  bool   // the answer ended inside an event
	firstEvent   string // id of the first event
	outOfOrder   int    // events whose ids are not in order
}

// fields returns the progress as fields of a log line.
func (p *progress) fields() []interface{} {
	fields := []interface{}{"framing", p.framing, "firstEvent", p.firstEvent, "end", p.end}
	if p.resumedAfter != "" {
		fields = append(fields, "resumedAfter", p.resumedAfter)
	}
	if p.insideEvent {
		fields = append(fields, "insideEvent", p.insideEvent)
	}
	if p.outOfOrder > 0 {
		fields = append(fields, "outOfOrder", p.outOfOrder)
	}
	return fields
}

// recordEnd records what ended the body, given the error of reading it. A nil error means that the rest was not read.
func (p *progress) recordEnd(err error) {
	switch {
	case err == nil:
		p.end = EndUnread
	case errors.Is(err, io.EOF):
		p.end = map[back.Framing]End{
			back.FramingChunked: EndLastChunk, back.FramingLength: EndLength, back.FramingConnection: EndConnection,
		}[p.framing]
	case errors.Is(err, io.ErrUnexpectedEOF):
		p.end = EndCut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		p.end = EndReset
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		p.end = EndCancelled
	default:
		p.end = EndMalformed
	}
}

// bodyEnd is a reader that keeps the error that ended a body, which readers on top of it may replace.
type bodyEnd struct {
	reader io.Reader
	err    error
}

// Read reads from the body.
func (b *bodyEnd) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// stepOf returns the order of an event's id after the event with the id last, which is empty if there was none.
func stepOf(last string, event back.Event) IDStep {
	if event.ID == "" {
		if last == "" || event.Comment {
			return IDRises
		}
		return IDMissing
	}
	id, err := strconv.ParseUint(event.ID, 10, 64)
	if err != nil {
		return IDNotNumber
	}
	if last == "" {
		return IDRises
	}
	before, err := strconv.ParseUint(last, 10, 64)
	switch {
	case err != nil:
		return IDNotNumber
	case id == before:
		return IDRepeated
	case id < before:
		return IDLower
	}
	return IDRises
}
