package events

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// TestAfterEnd guards against a second answer behind the end marker that no run of the loader would show.
func TestAfterEnd(t *testing.T) {
	const whole = "data: {\"choices\":[{\"text\":\"wal\"}]}\n\ndata: [DONE]\n\n"
	for name, tt := range map[string]struct {
		stream string
		want   error
	}{
		"nothing":             {whole, nil},
		"a comment":           {whole + ": wait\n\n", nil},
		"an event":            {whole + "data: {\"choices\":[{\"text\":\"oak\"}]}\n\n", ErrAfterEnd},
		"a second end marker": {whole + "data: [DONE]\n\n", ErrAfterEnd},
		"another header":      {whole + "HTTP/1.1 200 OK\r\n\r\n", ErrAfterEnd},
	} {
		t.Run(name, func(t *testing.T) {
			text := ""
			err := Read(strings.NewReader(tt.stream), func(v *Chunk) { text += v.Content() })
			if !errors.Is(err, tt.want) || text != "wal" {
				t.Errorf("text %q, error %v, want %v", text, err, tt.want)
			}
		})
	}
}

func TestRead(t *testing.T) {
	tests := map[string]struct {
		stream string
		text   string
		whole  bool
	}{
		"whole":          {stream: "data: {\"choices\":[{\"text\":\"wal\"}]}\n\ndata: {\"choices\":[{\"text\":\"nut\"}]}\n\ndata: [DONE]\n\n", text: "walnut", whole: true},
		"chat":           {stream: "data: {\"choices\":[{\"delta\":{\"content\":\"oak\"}}]}\n\ndata: [DONE]\n\n", text: "oak", whole: true},
		"no end":         {stream: "data: {\"choices\":[{\"text\":\"wal\"}]}\n\n", text: "wal"},
		"cut in event":   {stream: "data: {\"choices\":[{\"te", text: ""},
		"comments apart": {stream: ": wait\n\ndata: [DONE]\n\n", whole: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			text := ""
			err := Read(strings.NewReader(c.stream), func(v *Chunk) { text += v.Content() })
			if (err == nil) != c.whole {
				t.Errorf("error %v, want whole %v", err, c.whole)
			}
			if name == "no end" && !errors.Is(err, ErrNoEnd) {
				t.Errorf("error %v, want ErrNoEnd", err)
			}
			if d := cmp.Diff(c.text, text); d != "" {
				t.Error(d)
			}
		})
	}
}
