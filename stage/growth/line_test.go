package growth

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	tests := map[string]struct {
		points   []Point
		base     float64
		slope    float64
		residual float64
	}{
		"line":  {points: []Point{{1, 5}, {2, 7}, {4, 11}}, base: 3, slope: 2},
		"level": {points: []Point{{1, 4}, {9, 4}}, base: 4},
		"bent":  {points: []Point{{0, 0}, {1, 2}, {2, 0}}, base: 2.0 / 3, residual: 2.0 / 3},
		"none":  {},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := Fit(c.points)
			if math.Abs(l.Base-c.base) > 1e-9 || math.Abs(l.Slope-c.slope) > 1e-9 || math.Abs(l.Residual-c.residual) > 1e-9 {
				t.Errorf("got %+v, want base %g, slope %g, residual %g", l, c.base, c.slope, c.residual)
			}
		})
	}
}
