package root

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/mangoctl/stream"
	"mangolug.org/stage/delay"
	"mangolug.org/stage/demo"
	"mangolug.org/stage/gauge"
	"mangolug.org/stage/serve"
	"mangolug.org/stage/slopes"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one command and what it runs.
type command struct {
	name, short, long string
	action            flags.Commander
}

// Run runs the command that args name and gives the exit code.
func Run(ctx context.Context, s *stream.Streams, args []string) int {
	p := flags.NewNamedParser("stage", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands(ctx, s) {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.action); err != nil {
			_, _ = fmt.Fprintln(s.ErrOut, errors.Wrap(err, "add command"))
			return exitFailure
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(s.Out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(s.ErrOut, usage.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(s.ErrOut, err)
	return exitFailure
}

func commands(ctx context.Context, s *stream.Streams) []command {
	return []command{
		{"demo", "Show mangolug at work on this machine", "Start a fleet for each user in turn, with stand-ins for the platform and the backend servers, put a short mixed load on it, and end in a table.", demo.NewAction(ctx, s)},
		{"serve", "Start a fleet and keep it", "Start a fleet for one user by its example rule file, say where it is to be reached, and keep it until interrupted.", serve.NewAction(ctx, s)},
		{"measure", "Measure fairness, utilisation, waiting and control traffic", "Run both users' loads under each policy in turn and write the median and spread as Markdown: docs/MEASURES.md.", gauge.NewAction(ctx, s)},
		{"latency", "Measure what a router adds to a call", "Put equal loads on the engines directly and through a router, then short calls on one router.", delay.NewAction(ctx, s)},
		{"slopes", "Measure how costs grow", "Vary one factor at a time, in the decision core in virtual time or, with --fleet, on running fleets, and fit a line: the slopes of docs/CAPACITY.md.", slopes.NewAction(ctx, s)},
	}
}
