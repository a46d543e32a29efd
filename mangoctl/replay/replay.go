package replay

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"mangolug.org/core/trace"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams                          `no-flag:"yes"`
	Open    func(name string) (io.ReadCloser, error) `no-flag:"yes"`
	JSON    bool                                     `long:"json" description:"write the result as JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"trace, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Outcome is the result of a replay in its JSON form.
type Outcome struct {
	Router     string      `json:"router"`
	Steps      int         `json:"steps"`
	Events     int         `json:"events"`
	Effects    int         `json:"effects"`
	Same       bool        `json:"same"`
	Difference *Difference `json:"difference,omitempty"`
}

// Difference is the first effect that differs from the recorded one.
type Difference struct {
	Line     int    `json:"line"`
	AtNanos  int64  `json:"atNanos"`
	Events   string `json:"events"`
	Recorded string `json:"recorded"`
	Replayed string `json:"replayed"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return replayRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "replay",
		Short: "Run a recorded trace through the decision core again",
		Long:  "Feed the events of a trace to the decision core and compare each effect with the recorded one. Reports at which step, after which events and how the outcome differs. Exit code 4 if it differs.",
		Examples: `mangoctl replay lahore-1.trace
mangoctl record --router 10.0.1.5:8082 | mangoctl replay -`,
		Action: &Options{Streams: f.Streams, Open: f.Open},
	}
}

func replayRun(o *Options) error {
	in, err := o.Open(o.Args.File)
	if err != nil {
		return errors.Wrap(err, "open trace")
	}
	defer func() { _ = in.Close() }()
	result, err := trace.Replay(in)
	var difference *trace.DifferenceError
	if err != nil && !errors.As(err, &difference) {
		return err
	}
	outcome := outcomeOf(result, difference)
	if err := write(o, outcome); err != nil {
		return err
	}
	if !outcome.Same {
		return shell.Exitf(shell.ExitDifferent, "the outcome differs at line %d", difference.Line)
	}
	return nil
}

func outcomeOf(r trace.Result, d *trace.DifferenceError) Outcome {
	o := Outcome{Router: r.Header.Start.Self, Steps: r.Steps, Events: r.Events, Effects: r.Effects, Same: d == nil}
	if d != nil {
		events, err := json.Marshal(d.Events)
		if err != nil {
			events = []byte(err.Error())
		}
		o.Difference = &Difference{
			Line: d.Line, AtNanos: int64(d.Now), Events: string(events), Recorded: d.Recorded, Replayed: d.Replayed,
		}
	}
	return o
}

func write(o *Options, outcome Outcome) error {
	if o.JSON {
		return errors.Wrap(json.NewEncoder(o.Streams.Out).Encode(outcome), "write result")
	}
	verdict := "the same outcome"
	if !outcome.Same {
		verdict = "another outcome"
	}
	_, err := fmt.Fprintf(o.Streams.Out, "%s: %d steps, %d events, %d effects: %s\n",
		outcome.Router, outcome.Steps, outcome.Events, outcome.Effects, verdict)
	if d := outcome.Difference; d != nil && err == nil {
		_, err = fmt.Fprintf(o.Streams.Out, "line %d\nevents   %s\nrecorded %s\nreplayed %s\n", d.Line, d.Events, d.Recorded, d.Replayed)
	}
	return errors.Wrap(err, "write result")
}
