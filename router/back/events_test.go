package back

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"
)

const stream = "data: {\"n\":1}\n\n: comment\ndata: two\r\ndata: lines\r\n\r\ndata: [DONE]\n\n"

// readAll returns the text of the complete events, whether the end marker was read, and the error if it was not.
func readAll(e *Events) (string, bool, error) {
	var text strings.Builder
	for {
		event, err := e.Next()
		if err != nil {
			return text.String(), false, err
		}
		text.Write(event.Text)
		if event.End {
			return text.String(), true, nil
		}
	}
}

func TestEventsCutAtEachByte(t *testing.T) {
	for n := range len(stream) + 1 {
		text, end, err := readAll(NewEvents(iotest.OneByteReader(strings.NewReader(stream[:n]))))
		if !strings.HasPrefix(stream, text) {
			t.Errorf("cut at %d: text %q", n, text)
		}
		if end != (n == len(stream)) {
			t.Errorf("cut at %d: end %v", n, end)
		}
		var broken *EventError
		if !end && !errors.As(err, &broken) {
			t.Errorf("cut at %d: error %v", n, err)
		}
		if broken != nil && broken.Inside != (len(text) < n) {
			t.Errorf("cut at %d after %d bytes of whole events: inside %v", n, len(text), broken.Inside)
		}
	}
}

func TestEventData(t *testing.T) {
	e := NewEvents(strings.NewReader(stream))
	for _, want := range []string{`{"n":1}`, "two\nlines", "[DONE]"} {
		event, err := e.Next()
		if err != nil || string(event.Data) != want {
			t.Errorf("data %q, error %v, want %q", event.Data, err, want)
		}
	}
}

func TestEventTooLong(t *testing.T) {
	for name, text := range map[string]string{
		"one line":   "data: " + strings.Repeat("x", 10_000),
		"many lines": strings.Repeat("data: x\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvents(strings.NewReader(text))
			e.Limit = 2000
			if _, err := e.Next(); !errors.Is(err, errEventTooLong) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(stream))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, end, err := readAll(NewEvents(bytes.NewReader(text)))
		pieces, endAgain, _ := readAll(NewEvents(iotest.OneByteReader(bytes.NewReader(text))))
		if whole != pieces || end != endAgain {
			t.Errorf("read %q byte by byte, %q at once", pieces, whole)
		}
		if !bytes.HasPrefix(text, []byte(whole)) {
			t.Errorf("text %q is not a prefix of the input", whole)
		}
		if end == (err != nil) {
			t.Errorf("end %v, error %v", end, err)
		}
	})
}

// TestEventsReady requires that Ready reports whether the event after the first can be read without blocking.
func TestEventsReady(t *testing.T) {
	const first = "data: 1\n\n"
	for name, c := range map[string]struct {
		rest string
		want bool
	}{
		"nothing":            {},
		"a part":             {rest: "id: 2\ndata: 2\n"},
		"a whole one":        {rest: "id: 2\ndata: 2\n\n", want: true},
		"with line feeds":    {rest: "data: 2\r\n\r\n", want: true},
		"a part of one line": {rest: "da"},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvents(strings.NewReader(first + c.rest))
			if e.Ready() {
				t.Error("ready before anything was read")
			}
			if _, err := e.Next(); err != nil {
				t.Fatal(err)
			}
			if e.Ready() != c.want {
				t.Errorf("ready %t, want %t", !c.want, c.want)
			}
		})
	}
}

// TestEventLines guards against taking another response's header for part of an event, and against taking comments for content.
func TestEventLines(t *testing.T) {
	for name, c := range map[string]struct {
		text             string
		comment, foreign bool
	}{
		"an event":                 {text: "id: 1\nevent: delta\ndata: a\n\n"},
		"comments":                 {text: ": ping\r\n:\n\n", comment: true},
		"fields without content":   {text: "retry: 100\nevent: x\n\n", comment: true},
		"an empty line":            {text: "\n", comment: true},
		"an id alone":              {text: "id: 1\n\n"},
		"a version before the id":  {text: "weight-versions: 3\nid: 1\ndata: a\n\n"},
		"a response's header":      {text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", foreign: true},
		"a header inside an event": {text: "id: 1\ndata: aHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", foreign: true},
		"a field without a value":  {text: "data: a\nx\n\n", foreign: true},
	} {
		t.Run(name, func(t *testing.T) {
			event, err := NewEvents(strings.NewReader(c.text)).Next()
			if err != nil || event.Comment != c.comment || event.Foreign != c.foreign {
				t.Errorf("comment %v, foreign %v, %v", event.Comment, event.Foreign, err)
			}
		})
	}
}
