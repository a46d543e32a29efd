package chart

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width    = 16 * vg.Centimeter
	height   = 9 * vg.Centimeter
	barWidth = 14  // points
	radius   = 4   // points
	room     = 1.3 // of the axis above the bars, for the legend
	logRoom  = 5
)

// Chart is a picture of groups of bars.
type Chart struct {
	Title string
	Path  string // ends in .svg or .png
	Log   bool   // a logarithmic axis, with points in place of bars; all values must be positive

	series []string // one colour each, in order of first use
	groups []string // places on the axis, in order of first use
	values map[string]map[string]float64
}

// Add sets the bar of a series in a group.
func (c *Chart) Add(series, group string, value float64) {
	if c.values == nil {
		c.values = make(map[string]map[string]float64)
	}
	if c.values[series] == nil {
		c.values[series] = make(map[string]float64)
		c.series = append(c.series, series)
	}
	known := false
	for _, g := range c.groups {
		known = known || g == group
	}
	if !known {
		c.groups = append(c.groups, group)
	}
	c.values[series][group] = value
}

// Save draws the chart into its file; a chart without bars is not drawn.
func (c *Chart) Save() error {
	if len(c.series) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = c.Title
	p.Legend.Top = true
	for i, name := range c.series {
		if err := c.draw(p, i, name); err != nil {
			return err
		}
	}
	if c.Log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
		p.Y.Max *= logRoom
	} else {
		p.Y.Min = 0
		p.Y.Max *= room
	}
	p.NominalX(c.groups...)
	if err := os.MkdirAll(filepath.Dir(c.Path), 0o755); err != nil {
		return errors.Wrap(err, "folder for plots")
	}
	return errors.Wrap(p.Save(width, height, c.Path), "save plot")
}

// draw adds one series with its entry in the legend.
func (c *Chart) draw(p *plot.Plot, i int, name string) error {
	if c.Log {
		return c.points(p, i, name)
	}
	var v plotter.Values
	for _, g := range c.groups {
		v = append(v, c.values[name][g])
	}
	bars, err := plotter.NewBarChart(v, vg.Points(barWidth))
	if err != nil {
		return errors.Wrap(err, "draw bars")
	}
	bars.Color = plotutil.Color(i)
	bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(c.series)-1)/2))
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

func (c *Chart) points(p *plot.Plot, i int, name string) error {
	var v plotter.XYs
	for n, g := range c.groups {
		if c.values[name][g] > 0 {
			v = append(v, plotter.XY{X: float64(n), Y: c.values[name][g]})
		}
	}
	points, err := plotter.NewScatter(v)
	if err != nil {
		return errors.Wrap(err, "draw points")
	}
	points.Color, points.Shape, points.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(radius)
	p.Add(points)
	p.Legend.Add(name, points)
	return nil
}
