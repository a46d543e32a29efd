package tally

import "math"

// backlogged is how many requests of a load must wait for it to count as backlogged.
const backlogged = 2

// Point is what one load had at one sample.
type Point struct {
	Service int64 // cost units so far
	Waiting int   // least since the sample before
}

// Series is one load's points, one a sample.
type Series struct {
	Team     string
	Share    int
	InFlight float64 // most service that its requests had in flight at once, in cost units over share
	Points   []Point
}

// Served gives the cost units from the first sample to the last.
func (s *Series) Served() int64 {
	if len(s.Points) == 0 {
		return 0
	}
	return s.Points[len(s.Points)-1].Service - s.Points[0].Service
}

// Gap is the service gap of the pair of teams that differ most.
type Gap struct {
	Window   float64 `json:"window"`   // largest over windows of fixed length, in cost units over share
	Any      float64 `json:"any"`      // largest over all intervals, in cost units over share
	Relative float64 `json:"relative"` // Window over the mean service of the pair in that window
	TeamA    string  `json:"teamA"`    // of the largest window
	TeamB    string  `json:"teamB"`
	OfBound  float64 `json:"ofBound"` // largest part of its bound that a pair's gap over any interval reached
	Windows  int     `json:"windows"` // pairs of windows compared
}

// boundFactor times the service that a pair may have in flight bounds its gap.
const boundFactor = 3

// GapOf works out the service gap |a/shareA - b/shareB| of backlogged pairs.
//
// A pair counts over an interval only if both were backlogged all through it
// (Goyal, Vin and Cheng, Start-time Fair Queueing, 1996, definition of fairness).
func GapOf(series []Series, window int) Gap {
	var g Gap
	for i := range series {
		for j := i + 1; j < len(series); j++ {
			g.pair(&series[i], &series[j], window)
		}
	}
	return g
}

func (g *Gap) pair(a, b *Series, window int) {
	from := -1
	for k := range min(len(a.Points), len(b.Points)) {
		if a.Points[k].Waiting < backlogged || b.Points[k].Waiting < backlogged {
			g.stretch(a, b, from, k, window)
			from = -1
			continue
		}
		if from < 0 {
			from = k
		}
	}
	g.stretch(a, b, from, min(len(a.Points), len(b.Points)), window)
}

// stretch takes in points from to end, through which both were backlogged.
func (g *Gap) stretch(a, b *Series, from, end, window int) {
	if from < 0 {
		return
	}
	low, high := math.Inf(1), math.Inf(-1)
	for k := from; k < end; k++ {
		d := difference(a, b, k)
		low, high = min(low, d), max(high, d)
		if k-window >= from {
			g.window(a, b, k-window, k)
		}
	}
	g.Any = max(g.Any, high-low)
	if bound := boundFactor * (a.InFlight + b.InFlight); bound > 0 {
		g.OfBound = max(g.OfBound, (high-low)/bound)
	}
}

func (g *Gap) window(a, b *Series, from, to int) {
	g.Windows++
	gap := math.Abs(difference(a, b, to) - difference(a, b, from))
	if gap <= g.Window {
		return
	}
	mean := (served(a, from, to) + served(b, from, to)) / 2
	g.Window, g.TeamA, g.TeamB = gap, a.Team, b.Team
	if mean > 0 {
		g.Relative = gap / mean
	}
}

func difference(a, b *Series, k int) float64 {
	return float64(a.Points[k].Service)/float64(a.Share) - float64(b.Points[k].Service)/float64(b.Share)
}

func served(s *Series, from, to int) float64 {
	return float64(s.Points[to].Service-s.Points[from].Service) / float64(s.Share)
}
