package diff

import (
	"fmt"

	"github.com/pkg/errors"

	"mangolug.org/core/rule"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams  *stream.Streams                         `no-flag:"yes"`
	ReadFile func(name string) ([]byte, error)       `no-flag:"yes"`
	Parse    func(text []byte) (*rule.File, error)   `no-flag:"yes"`
	Diff     func(from, to *rule.File) []rule.Change `no-flag:"yes"`
	JSON     bool                                    `long:"json" description:"write the changes as JSON"`
	ExitCode bool                                    `long:"exit-code" description:"exit with 4 if the files differ"`
	Args     struct {
		Old string `positional-arg-name:"OLD" description:"rule file in force"`
		New string `positional-arg-name:"NEW" description:"rule file to publish"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return diffRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "diff",
		Short: "Say what a new rule file would change",
		Long:  "Compare two rule files by their rules, so that order, blanks and comments do not count as changes.",
		Examples: `mangoctl diff rules.now rules.next
mangoctl diff --exit-code rules.now rules.next`,
		Action: &Options{Streams: f.Streams, ReadFile: f.ReadFile, Parse: f.Parse, Diff: f.Diff},
	}
}

func diffRun(o *Options) error {
	from, err := load(o, o.Args.Old)
	if err != nil {
		return err
	}
	to, err := load(o, o.Args.New)
	if err != nil {
		return err
	}
	changes := o.Diff(from, to)
	if err := write(o, changes); err != nil {
		return err
	}
	if o.ExitCode && len(changes) > 0 {
		return &shell.ExitError{Code: shell.ExitDifferent}
	}
	return nil
}

func load(o *Options, name string) (*rule.File, error) {
	text, err := o.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read rule file")
	}
	file, err := o.Parse(text)
	if err != nil {
		return nil, shell.Exitf(shell.ExitRefused, "%s: refused whole; see mangoctl check %s", name, name)
	}
	return file, nil
}

func write(o *Options, changes []rule.Change) error {
	if o.JSON {
		return o.Streams.WriteJSON(append([]rule.Change{}, changes...))
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(o.Streams.Out, c.String()); err != nil {
			return errors.Wrap(err, "write change")
		}
	}
	if len(changes) == 0 {
		_, err := fmt.Fprintln(o.Streams.ErrOut, "no change")
		return errors.Wrap(err, "write")
	}
	return nil
}
