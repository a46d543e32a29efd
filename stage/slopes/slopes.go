package slopes

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
	"mangolug.org/stage/growth"
	"mangolug.org/stage/local"
	"mangolug.org/stage/steps"
)

// Options are what a run needs.
type Options struct {
	Context context.Context `no-flag:"yes"`
	Streams *stream.Streams `no-flag:"yes"`
	Fleet   bool            `long:"fleet" description:"measure running fleets rather than the decision core"`
	Length  time.Duration   `long:"length" default:"6s" description:"how long each point lasts, with --fleet"`
	Seed    uint64          `long:"seed" default:"1" description:"seed of the loads, with --fleet"`
	JSON    bool            `long:"json" description:"write the points and lines as JSON"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return slopesRun(o) }

// NewAction makes the command's action.
func NewAction(ctx context.Context, s *stream.Streams) *Options {
	return &Options{Context: ctx, Streams: s}
}

func slopesRun(o *Options) error {
	all, err := o.measure()
	if err != nil {
		return err
	}
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

func (o *Options) measure() ([]growth.Series, error) {
	if !o.Fleet {
		return growth.All(), nil
	}
	programs, err := os.MkdirTemp("", "mangolug-programs-")
	if err != nil {
		return nil, errors.Wrap(err, "folder for programs")
	}
	defer func() { _ = os.RemoveAll(programs) }()
	if err := local.Build(o.Context, programs); err != nil {
		return nil, err
	}
	run := &steps.Run{Context: o.Context, Programs: programs, Length: o.Length, Seed: o.Seed}
	return run.All()
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
