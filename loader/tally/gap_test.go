package tally

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func line(team string, share int, waiting int, service ...int64) Series {
	s := Series{Team: team, Share: share}
	for _, v := range service {
		s.Points = append(s.Points, Point{Service: v, Waiting: waiting})
	}
	return s
}

func inFlight(service float64, s Series) Series {
	s.InFlight = service
	return s
}

func TestGapOf(t *testing.T) {
	tests := map[string]struct {
		series []Series
		want   Gap
	}{
		"equal by share": {
			series: []Series{line("a", 1, 5, 0, 10, 20), line("b", 2, 5, 0, 20, 40)},
			want:   Gap{Windows: 2},
		},
		"one not backlogged": {
			series: []Series{line("a", 1, 5, 0, 10, 20), line("b", 1, 0, 0, 0, 0)},
		},
		"one starved": {
			series: []Series{line("a", 1, 5, 0, 10, 20), line("b", 1, 5, 0, 0, 0)},
			want:   Gap{Window: 10, Any: 20, Relative: 2, TeamA: "a", TeamB: "b", Windows: 2},
		},
		"in flight": {
			series: []Series{inFlight(2, line("a", 1, 5, 0, 10, 20)), inFlight(3, line("b", 1, 5, 0, 10, 17))},
			want:   Gap{Window: 3, Any: 3, Relative: 3 / 8.5, OfBound: 0.2, TeamA: "a", TeamB: "b", Windows: 2},
		},
		"swinging": {
			series: []Series{line("a", 1, 5, 0, 10, 10), line("b", 1, 5, 0, 0, 10)},
			want:   Gap{Window: 10, Any: 10, Relative: 2, TeamA: "a", TeamB: "b", Windows: 2},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if d := cmp.Diff(c.want, GapOf(c.series, 1)); d != "" {
				t.Error(d)
			}
		})
	}
}
