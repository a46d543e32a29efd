package gauge

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"mangolug.org/stage/trial"
)

// measure is one column of the page.
type measure struct {
	name   string
	format string
	figure func(f trial.Figures) float64
}

var measures = []measure{
	{"gap, 1 s", "%.1f", func(f trial.Figures) float64 { return f.Gap }},
	{"gap, any time", "%.1f", func(f trial.Figures) float64 { return f.GapAny }},
	{"part of bound", "%.2f", func(f trial.Figures) float64 { return f.OfBound }},
	{"gap over mean", "%.2f", func(f trial.Figures) float64 { return f.Relative }},
	{"utilisation, %", "%.1f", func(f trial.Figures) float64 { return 100 * f.Utilisation }},
	{"first byte p95, small teams, s", "%.2f", func(f trial.Figures) float64 { return f.Small }},
	{"large teams, s", "%.2f", func(f trial.Figures) float64 { return f.Large }},
	{"control bytes/s a router", "%.0f", func(f trial.Figures) float64 { return f.ControlBytes }},
	{"processor a router, % of a core", "%.1f", func(f trial.Figures) float64 { return 100 * f.Processor }},
}

// writePage writes Markdown: the median of the runs, and the least and most in brackets.
func (o *Options) writePage(rows []*Row) error {
	var b strings.Builder
	b.WriteString("| user | case | policy | runs |")
	for _, m := range measures {
		b.WriteString(" " + m.name + " |")
	}
	b.WriteString(" servers over limit | not answered | not whole | run twice |\n|---|---|---|---|")
	b.WriteString(strings.Repeat("---|", len(measures)+4) + "\n")
	for _, r := range rows {
		b.WriteString(line(r))
	}
	_, err := fmt.Fprint(o.Streams.Out, b.String())
	return errors.Wrap(err, "write page")
}

func line(r *Row) string {
	var b strings.Builder
	runs := fmt.Sprint(len(r.Runs))
	if r.Failed > 0 {
		runs += fmt.Sprintf(", %d failed", r.Failed)
	}
	fmt.Fprintf(&b, "| %s | %s | %s | %s |", r.User, r.Case, r.Policy, runs)
	for _, m := range measures {
		s := trial.SpreadOf(r.Runs, m.figure)
		fmt.Fprintf(&b, " "+m.format+" ("+m.format+" to "+m.format+") |", s.Median, s.Least, s.Most)
	}
	var sum trial.Figures
	for _, f := range r.Runs {
		sum.OverLimit += f.OverLimit
		sum.Lost += f.Lost
		sum.NotWhole += f.NotWhole
		sum.RunTwice += f.RunTwice
	}
	fmt.Fprintf(&b, " %d | %d | %d | %d |\n", sum.OverLimit, sum.Lost, sum.NotWhole, sum.RunTwice)
	return b.String()
}
