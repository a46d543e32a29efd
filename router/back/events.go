package back

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// endMarker is the data of the event that ends a model's stream.
const endMarker = "[DONE]"

// DefaultEventBytes bounds one server-sent event.
const DefaultEventBytes = 1 << 20

// eventBuffer holds some events; longer lines are put together from several reads.
const eventBuffer = 1 << 10

// EventError tells that a stream of server-sent events is not whole.
type EventError struct {
	Events int  // whole events read before
	Inside bool // the stream ended inside an event
	Err    error
}

// Error says where the stream broke.
func (e *EventError) Error() string {
	if e.Inside {
		return fmt.Sprintf("stream broke inside event %d: %v", e.Events+1, e.Err)
	}
	return fmt.Sprintf("stream broke after %d events without its end marker: %v", e.Events, e.Err)
}

// Unwrap gives the cause.
func (e *EventError) Unwrap() error { return e.Err }

// AtEnd reports a stream that ended between two events, as its sender meant it to.
func AtEnd(err error) bool {
	var e *EventError
	return errors.As(err, &e) && !e.Inside && errors.Is(e.Err, io.EOF)
}

// Event is one whole server-sent event.
type Event struct {
	Text []byte // as received, with its closing empty line
	Data []byte // its data lines, joined by line feeds
	ID   string // its id line; empty if it has none
	End  bool   // the end marker
}

var errEventTooLong = errors.New("event too long")

// Events reads server-sent events and gives only whole ones.
type Events struct {
	Limit int // bytes of one event; 0 for DefaultEventBytes

	reader *bufio.Reader
	count  int
}

// NewEvents reads events from a server's answer.
func NewEvents(r io.Reader) *Events { return &Events{reader: bufio.NewReaderSize(r, eventBuffer)} }

// Next gives the next whole event; all errors are of type *EventError.
func (e *Events) Next() (Event, error) {
	limit := e.Limit
	if limit == 0 {
		limit = DefaultEventBytes
	}
	var event Event
	var lines [][]byte
	for {
		line, err := e.line(limit - len(event.Text))
		if err != nil {
			return Event{}, &EventError{Events: e.count, Inside: len(event.Text)+len(line) > 0, Err: err}
		}
		event.Text = append(event.Text, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			break
		}
		if data, ok := bytes.CutPrefix(text, []byte("data:")); ok {
			lines = append(lines, bytes.Clone(bytes.TrimPrefix(data, []byte(" "))))
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
	e.count++
	event.Data = bytes.Join(lines, []byte("\n"))
	event.End = string(event.Data) == endMarker
	return event, nil
}

// Ready reports whether a whole further event has come, so that Next will not wait.
func (e *Events) Ready() bool {
	here, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(here, []byte("\n\n")) || bytes.Contains(here, []byte("\n\r\n")))
}

// line reads one line with its line feed; a line that is cut short comes with an error.
func (e *Events) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return line, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, io.ErrUnexpectedEOF
		}
		return line, err
	}
}
