package story

import (
	"strings"
	"testing"
)

// TestCutLog guards against the last line of a log that was cut in its last value, and reads as a whole line with another value.
func TestCutLog(t *testing.T) {
	const line = "time=2026-12-04T07:00:23.500Z level=info msg=answered router=one request=a server=i-2 status=200\n"
	for name, tt := range map[string]struct {
		log              string
		lines, malformed int
	}{
		"whole":               {line + line, 2, 0},
		"cut in a value":      {line + strings.TrimSuffix(line, "00\n"), 1, 1},
		"without its newline": {line + strings.TrimSuffix(line, "\n"), 1, 1},
		"cut in a prefix":     {line + "17.281 one ti", 1, 0},
		"empty":               {"", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			lines := 0
			malformed, err := Read(strings.NewReader(tt.log), func(Line) { lines++ })
			if lines != tt.lines || malformed != tt.malformed || err != nil {
				t.Errorf("%d lines, %d malformed, error %v; want %d and %d", lines, malformed, err, tt.lines, tt.malformed)
			}
		})
	}
}
