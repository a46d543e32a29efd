package events

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

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
