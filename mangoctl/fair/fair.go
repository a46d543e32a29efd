package fair

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/story"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams `no-flag:"yes"`
	Open    shell.OpenFunc  `no-flag:"yes"`
	Window  int             `long:"window" default:"6" value-name:"SECONDS" description:"over how many seconds teams are compared"`
	Most    int             `long:"most" default:"10" value-name:"N" description:"how many times to show, the least even first"`
	JSON    bool            `long:"json" description:"write the times as JSON"`
	Args    struct {
		Logs []string `positional-arg-name:"LOG" description:"logs of all routers; - or none for standard input"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return fairRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "fair",
		Short: "Show from the logs of all routers how evenly teams were served",
		Long: "Read the logs of all routers and show when a team that was refused requests in each second was served least compared with the best served team, in tokens of " +
			"requests that began to run (output counts twice). What refused requests would have taken is estimated from the team's other requests.",
		Examples: `mangoctl fair router-*.log
collect-logs | mangoctl fair --window 10 --json`,
		Action: &Options{Streams: f.Streams, Open: f.Open},
	}
}

func fairRun(o *Options) error {
	if o.Window < 1 {
		return shell.Exitf(shell.ExitUsage, "--window %d: at least one second is needed", o.Window)
	}
	var t tally
	malformed, err := story.ReadLogs(o.Open, o.Args.Logs, t.add)
	if err != nil {
		return err
	}
	if malformed > 0 {
		_, _ = fmt.Fprintf(o.Streams.ErrOut, "%d lines could not be read\n", malformed) // best effort: the figures do not depend on this warning
	}
	spans := t.spans(o.Window)
	spans = spans[:min(max(0, o.Most), len(spans))]
	if o.JSON {
		return o.Streams.WriteJSON(spans)
	}
	return o.write(spans)
}

func (o *Options) write(spans []Span) error {
	if len(spans) == 0 {
		_, err := fmt.Fprintf(o.Streams.ErrOut, "no team was refused requests in each of %d seconds\n", o.Window)
		return errors.Wrap(err, "write")
	}
	t := &table.Table{Kind: "span", Title: "least even times", Header: []string{"FROM", "TEAM", "ASKED", "GOT", "BEST", "BEST GOT", "PART"}}
	for _, s := range spans {
		t.Add(s.From.UTC().Format(time.TimeOnly), s.Team, fmt.Sprint(s.Demand), fmt.Sprint(s.Served), s.Best, fmt.Sprint(s.BestServed), fmt.Sprintf("%.2f", s.Ratio))
	}
	return t.Write(o.Streams)
}
