package help

import (
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams  *stream.Streams         `no-flag:"yes"`
	Parser   *flags.Parser           `no-flag:"yes"`
	Commands func() []*shell.Command `no-flag:"yes"`
	Args     struct {
		Command string `positional-arg-name:"COMMAND" description:"command to explain"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return helpRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory, p *flags.Parser, commands func() []*shell.Command) *shell.Command {
	return &shell.Command{
		Name:     "help",
		Short:    "Explain a command, with examples",
		Long:     "Explain a command, with examples; without a command, list all commands and exit codes.",
		Examples: "mangoctl help explain",
		Action:   &Options{Streams: f.Streams, Parser: p, Commands: commands},
	}
}

func helpRun(o *Options) error {
	if o.Args.Command == "" {
		o.Parser.Active = nil
		return Write(o.Streams.Out, o.Parser, o.Commands())
	}
	o.Parser.Active = o.Parser.Find(o.Args.Command)
	if o.Parser.Active == nil {
		return shell.Exitf(shell.ExitUsage, "no command is named %q; see mangoctl help", o.Args.Command)
	}
	return Write(o.Streams.Out, o.Parser, o.Commands())
}

// Write writes the help of the parser's active command, or of the program if no command is active.
func Write(w io.Writer, p *flags.Parser, commands []*shell.Command) error {
	p.WriteHelp(w)
	text := exitCodes
	if p.Active != nil {
		text = ""
		for _, c := range commands {
			if c.Name == p.Active.Name && c.Examples != "" {
				text = "\nExamples:\n  " + strings.ReplaceAll(c.Examples, "\n", "\n  ") + "\n"
			}
		}
	}
	_, err := fmt.Fprint(w, text)
	return errors.Wrap(err, "write help")
}

const exitCodes = `
Exit codes:
  0  done, nothing amiss
  1  a fault that no other code names
  2  the command line is wrong
  3  the fleet would refuse the rule file
  4  the rule files differ (diff --exit-code)
  5  no router answered
  6  some routers did not answer
  7  no router knows the request or team
`
