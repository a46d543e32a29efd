package events

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxLine bounds one line of a stream, in bytes.
const maxLine = 1 << 20

// ErrNoEnd says that a stream ended without its end marker.
var ErrNoEnd = errors.New("stream ended without [DONE]")

// ErrAfterEnd says that a stream went on after its end marker.
var ErrAfterEnd = errors.New("stream went on after [DONE]")

// Chunk is the part of an event that the loader reads.
type Chunk struct {
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
	Reason  string   `json:"reason"` // set in an error event
}

// Choice is a piece of an answer.
type Choice struct {
	Text    string  `json:"text"`
	Delta   Message `json:"delta"`
	Message Message `json:"message"`
}

// Message is a piece of a chat answer.
type Message struct {
	Content string `json:"content"`
}

// Usage is what an answer cost, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Content gives the text of a chunk.
func (c *Chunk) Content() string {
	text := ""
	for _, v := range c.Choices {
		text += v.Text + v.Delta.Content + v.Message.Content
	}
	return text
}

// Read calls each for every chunk until the end marker, and gives ErrNoEnd if that is missing and ErrAfterEnd if more follows it.
func Read(r io.Reader, each func(c *Chunk)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return afterEnd(s)
		}
		c := &Chunk{}
		if err := json.Unmarshal(data, c); err != nil {
			return errors.Wrap(err, "read event")
		}
		each(c)
	}
	if err := s.Err(); err != nil {
		return errors.Wrap(err, "read stream")
	}
	return ErrNoEnd
}

// afterEnd gives ErrAfterEnd unless only comments and empty lines follow. Callers stop at the end marker, so that a connection that
// breaks after it does them no harm.
func afterEnd(s *bufio.Scanner) error {
	for s.Scan() {
		if line := s.Bytes(); len(line) > 0 && line[0] != ':' {
			return ErrAfterEnd
		}
	}
	return nil
}
