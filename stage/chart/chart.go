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
	barWidth = 14 // points
)

// Chart is a picture of groups of bars.
type Chart struct {
	Title string
	Path  string // ends in .svg or .png

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
	p.Y.Min = 0
	for i, name := range c.series {
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
	}
	p.NominalX(c.groups...)
	if err := os.MkdirAll(filepath.Dir(c.Path), 0o755); err != nil {
		return errors.Wrap(err, "folder for plots")
	}
	return errors.Wrap(p.Save(width, height, c.Path), "save plot")
}
