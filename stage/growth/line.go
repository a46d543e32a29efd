package growth

import "math"

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is the straight line that fits points best by least squares.
type Line struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // largest distance of a point from the line, over the largest value
}

// At gives the line's value.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit gives the line through points; fewer than two points give a level line.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	var l Line
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		l.Slope = (n*sumXY - sumX*sumY) / spread
	}
	if n > 0 {
		l.Base = (sumY - l.Slope*sumX) / n
	}
	largest := 0.0
	for _, p := range points {
		l.Residual = max(l.Residual, math.Abs(p.Y-l.At(p.X)))
		largest = max(largest, math.Abs(p.Y))
	}
	if largest > 0 {
		l.Residual /= largest
	}
	return l
}
