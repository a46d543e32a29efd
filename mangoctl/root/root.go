package root

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/mangoctl/check"
	"mangolug.org/mangoctl/compl"
	"mangolug.org/mangoctl/diff"
	"mangolug.org/mangoctl/expl"
	"mangolug.org/mangoctl/fair"
	"mangolug.org/mangoctl/help"
	"mangolug.org/mangoctl/record"
	"mangolug.org/mangoctl/replay"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/status"
	"mangolug.org/mangoctl/story"
)

// Run runs the command that args select and returns the exit code.
func Run(f *shell.Factory, args []string) shell.ExitCode {
	p := flags.NewNamedParser("mangoctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Check rule files, and see what a fleet of mangolug routers does and why."
	var commands []*shell.Command
	commands = []*shell.Command{
		check.NewCommand(f),
		diff.NewCommand(f),
		status.NewCommand(f),
		expl.NewCommand(f),
		story.NewCommand(f),
		fair.NewCommand(f),
		record.NewCommand(f),
		replay.NewCommand(f),
		compl.NewCommand(f),
		help.NewCommand(f, p, func() []*shell.Command { return commands }),
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.Name, c.Short, c.Long, c.Action); err != nil {
			_, _ = fmt.Fprintln(f.Streams.ErrOut, errors.Wrap(err, "add command"))
			return shell.ExitFailure
		}
	}
	_, err := p.ParseArgs(args)
	return finish(f, p, commands, err)
}

func finish(f *shell.Factory, p *flags.Parser, commands []*shell.Command, err error) shell.ExitCode {
	var usage *flags.Error
	if !errors.As(err, &usage) {
		if err != nil && err.Error() != "" {
			_, _ = fmt.Fprintln(f.Streams.ErrOut, err)
		}
		return shell.CodeOf(err)
	}
	if usage.Type == flags.ErrHelp {
		return shell.CodeOf(help.Write(f.Streams.Out, p, commands))
	}
	_, _ = fmt.Fprintln(f.Streams.ErrOut, usage.Message)
	return shell.ExitUsage
}
