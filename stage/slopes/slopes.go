package slopes

import (
	"fmt"
	"strconv"
	"strings"

	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
	"mangolug.org/stage/growth"
)

// Options are what a run needs.
type Options struct {
	Streams *stream.Streams `no-flag:"yes"`
	JSON    bool            `long:"json" description:"write the points and lines as JSON"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return slopesRun(o) }

// NewAction makes the command's action.
func NewAction(s *stream.Streams) *Options { return &Options{Streams: s} }

func slopesRun(o *Options) error {
	all := growth.All()
	if o.JSON {
		return o.Streams.WriteJSON(all)
	}
	t := &table.Table{Kind: "slope", Header: []string{"ROLE", "QUANTITY", "FACTOR", "HELD", "POINTS", "BASE", "SLOPE", "RESIDUAL"}}
	for _, s := range all {
		t.Add(s.Role, s.Quantity, s.Factor, s.Fixed, points(s.Points), number(s.Line.Base), number(s.Line.Slope),
			fmt.Sprintf("%.0f %%", 100*s.Line.Residual))
	}
	return t.Write(o.Streams)
}

func points(list []growth.Point) string {
	texts := make([]string, 0, len(list))
	for _, p := range list {
		texts = append(texts, number(p.X)+": "+number(p.Y))
	}
	return strings.Join(texts, ", ")
}

// number gives four significant digits without an exponent where that is short.
func number(v float64) string {
	if v > -1 && v < 1 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	if v > -100 && v < 100 {
		return strconv.FormatFloat(v, 'f', 1, 64)
	}
	return strconv.FormatFloat(v, 'f', 0, 64)
}
