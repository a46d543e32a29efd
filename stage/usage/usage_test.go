package usage

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	page := int64(os.Getpagesize())
	tests := map[string]struct {
		stat string
		want Use
		bad  bool
	}{
		"plain": {
			stat: "7 (router) S 1 2 3 4 5 6 7 8 9 10 120 30 0 0 20 0 9 0 100 2000 50 1 1",
			want: Use{Processor: 1500 * time.Millisecond, Resident: 50 * page},
		},
		"space in name": {
			stat: "7 (a b) S 1 2 3 4 5 6 7 8 9 10 0 1 0 0 20 0 9 0 100 2000 1 1 1",
			want: Use{Processor: 10 * time.Millisecond, Resident: page},
		},
		"short": {stat: "7 (router) S 1", bad: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := parse(c.stat)
			if (err != nil) != c.bad {
				t.Fatal(err)
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestNameIn(t *testing.T) {
	tests := map[string]struct{ line, want string }{
		"named":     {line: "router\x00--name\x00router-1\x00", want: "router-1"},
		"not named": {line: "platform\x00--listen\x00x\x00", want: "platform"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := nameIn([]byte(c.line)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
