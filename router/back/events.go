package back

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
)

// endMarker is the data of the event that ends a model's response stream.
const endMarker = "[DONE]"

// DefaultEventBytes is the default maximum size of a server-sent event.
const DefaultEventBytes = 1 << 20

// eventBufferSize is the size of the read buffer in bytes. Longer lines are assembled from several reads.
const eventBufferSize = 1 << 10

// IsEventStream reports whether a response with the given header is a stream of server-sent events.
func IsEventStream(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && media == "text/event-stream"
}

// EventError reports that a stream of server-sent events is incomplete.
type EventError struct {
	Events int  // complete events read before
	Inside bool // the stream ended inside an event
	Err    error
}

// Error returns where the stream broke.
func (e *EventError) Error() string {
	if e.Inside {
		return fmt.Sprintf("stream broke inside event %d: %v", e.Events+1, e.Err)
	}
	return fmt.Sprintf("stream broke after %d events without its end marker: %v", e.Events, e.Err)
}

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.Err }

// IsCleanEnd reports whether a stream ended cleanly between two events.
func IsCleanEnd(err error) bool {
	var e *EventError
	return errors.As(err, &e) && !e.Inside && errors.Is(e.Err, io.EOF)
}

// Event is a complete server-sent event.
type Event struct {
	Text []byte // as received, with its closing empty line
	Data []byte // data lines, joined by line feeds
	ID   string // value of the id line; empty if there is none
	End  bool   // whether the event is the end marker

	Comment bool // whether it has only comments and fields that carry no content
	Foreign bool // whether it has a line that is no part of an event, such as one of another response's header
}

var errEventTooLong = errors.New("event too long")

// Events reads server-sent events and returns only complete ones.
type Events struct {
	Limit int // maximum size of an event in bytes; 0 for DefaultEventBytes
	// Grow is called with the number of bytes of an event read so far whenever those fill the buffer; its error ends the stream. It may be nil.
	Grow func(bytes int) error

	reader *bufio.Reader
	count  int
}

// NewEvents returns a reader of the events in a server's response.
func NewEvents(r io.Reader) *Events { return &Events{reader: bufio.NewReaderSize(r, eventBufferSize)} }

// Next returns the next complete event. All errors are of type *EventError.
func (e *Events) Next() (Event, error) {
	limit := e.Limit
	if limit == 0 {
		limit = DefaultEventBytes
	}
	event := Event{Comment: true}
	var lines [][]byte
	for {
		line, err := e.line(limit-len(event.Text), len(event.Text))
		if err != nil {
			return Event{}, &EventError{Events: e.count, Inside: len(event.Text)+len(line) > 0, Err: err}
		}
		event.Text = append(event.Text, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			break
		}
		event.Comment = event.Comment && isComment(text)
		event.Foreign = event.Foreign || !isEventLine(text)
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

// isComment reports whether a line is a comment or a field that carries no content without a data line.
func isComment(line []byte) bool {
	return line[0] == ':' || bytes.HasPrefix(line, []byte("retry:")) || bytes.HasPrefix(line, []byte("event:"))
}

// isEventLine reports whether a line is a comment, a field of server-sent events, or a number under a lowercase name, which servers may
// add to an event.
func isEventLine(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	value = bytes.TrimSpace(value)
	return len(value) > 0 && len(bytes.Trim(value, "0123456789")) == 0 && bytes.Equal(name, bytes.ToLower(name))
}

// Ready reports whether a complete further event is buffered, so that Next will not block.
func (e *Events) Ready() bool {
	buffered, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// line reads a line of an event, of which some bytes were read before, including its line feed. A truncated line is returned with an error.
func (e *Events) line(limit, before int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return line, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			if e.Grow != nil {
				if err := e.Grow(before + len(line)); err != nil {
					return line, err
				}
			}
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, io.ErrUnexpectedEOF
		}
		return line, err
	}
}
