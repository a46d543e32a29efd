package batch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// answer writes one response, as a single body or as a stream of events.
type answer struct {
	writer        http.ResponseWriter
	request       Request
	chat          bool
	attempt       string
	headerWritten bool
	text          strings.Builder
}

func (a *answer) event() Response {
	event := Response{ID: "cmpl-" + a.attempt, Object: "text_completion", Model: a.request.Model}
	if a.chat {
		event.Object = "chat.completion"
		if a.request.Stream {
			event.Object = "chat.completion.chunk"
		}
	}
	return event
}

func (a *answer) choices(text, finish string) []Choice {
	switch {
	case !a.chat:
		return []Choice{{Text: text, FinishReason: finish}}
	case a.request.Stream:
		return []Choice{{Delta: &Message{Content: text}, FinishReason: finish}}
	}
	return []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: finish}}
}

func (a *answer) writeHeader(contentType string) {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
	a.writer.Header().Set("Content-Type", contentType)
	a.writer.Header().Set("X-Attempt-Id", a.attempt)
	a.writer.WriteHeader(http.StatusOK)
}

// writeToken sends a writeToken at once in a stream and keeps it otherwise.
func (a *answer) writeToken(text string) error {
	if !a.request.Stream {
		a.text.WriteString(text)
		return nil
	}
	event := a.event()
	event.Choices = a.choices(text, "")
	return a.send(event)
}

// send writes one event of a stream.
func (a *answer) send(event Response) error {
	a.writeHeader("text/event-stream")
	line, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "marshal event")
	}
	return a.write(fmt.Sprintf("data: %s\n\n", line))
}

func (a *answer) write(text string) error {
	if _, err := a.writer.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(http.NewResponseController(a.writer).Flush(), "flush")
}

// finish completes the response with its usage and, in a stream, the [DONE] marker.
func (a *answer) finish(usage Usage) error {
	event := a.event()
	event.Usage = &usage
	if a.request.Stream {
		event.Choices = a.choices("", "stop")
		if err := a.send(event); err != nil {
			return err
		}
		return a.write("data: [DONE]\n\n")
	}
	event.Choices = a.choices(a.text.String(), "stop")
	a.writeHeader("application/json")
	line, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "marshal response")
	}
	return a.write(string(line) + "\n")
}

// fail aborts a response that has started and sends status 500 otherwise.
func (a *answer) fail() {
	if a.headerWritten {
		panic(http.ErrAbortHandler)
	}
	a.writer.Header().Set("X-Attempt-Id", a.attempt)
	http.Error(a.writer, "failed", http.StatusInternalServerError)
}
