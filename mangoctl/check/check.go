package check

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"mangolug.org/core/rule"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams  *stream.Streams                       `no-flag:"yes"`
	ReadFile func(name string) ([]byte, error)     `no-flag:"yes"`
	Parse    func(text []byte) (*rule.File, error) `no-flag:"yes"`
	JSON     bool                                  `long:"json" description:"write the verdict as JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"rule file"`
	} `positional-args:"yes" required:"yes"`
}

// Verdict is the result of validating a rule file, in its JSON form.
type Verdict struct {
	File        string  `json:"file"`
	Accepted    bool    `json:"accepted"`
	DataCentres int     `json:"dataCentres"`
	Products    int     `json:"products"`
	Servers     int     `json:"servers"`
	Teams       int     `json:"teams"`
	Errors      []Error `json:"errors"`
}

// Error is one error in a rule file.
type Error struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	Instead string `json:"instead"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return checkRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "check",
		Short: "Give the fleet's verdict on a rule file",
		Long:  "Read a rule file as every router would, and list each error with line, column, reason and what to write instead. Exit code 3 if the fleet would refuse the file.",
		Examples: `mangoctl check examples/chenab.rules
mangoctl check --json next.rules | jq .errors`,
		Action: &Options{Streams: f.Streams, ReadFile: f.ReadFile, Parse: f.Parse},
	}
}

func checkRun(o *Options) error {
	text, err := o.ReadFile(o.Args.File)
	if err != nil {
		return errors.Wrap(err, "read rule file")
	}
	file, err := o.Parse(text)
	v, err := newVerdict(o.Args.File, file, err)
	if err != nil {
		return err
	}
	if err := write(o, v); err != nil {
		return err
	}
	if !v.Accepted {
		return shell.Exitf(shell.ExitRefused, "%s: refused whole, %d errors", v.File, len(v.Errors))
	}
	return nil
}

func newVerdict(name string, file *rule.File, parseErr error) (Verdict, error) {
	v := Verdict{File: name, Errors: []Error{}}
	if parseErr == nil {
		v.Accepted = true
		v.DataCentres, v.Products = len(file.DataCentres), len(file.Products)
		v.Servers, v.Teams = len(file.Servers), len(file.Teams)
		return v, nil
	}
	var faults *rule.Errors
	if !errors.As(parseErr, &faults) {
		return v, errors.Wrap(parseErr, "parse rule file")
	}
	for _, e := range faults.List {
		v.Errors = append(v.Errors, Error{
			Line: e.Line, Column: e.Column, Reason: e.Reason.String(), Text: e.Text, Instead: e.Instead,
		})
	}
	return v, nil
}

func write(o *Options, v Verdict) error {
	if o.JSON {
		return o.Streams.WriteJSON(v)
	}
	if v.Accepted {
		_, err := fmt.Fprintf(o.Streams.Out, "%s: accepted, %d data centres, %d products, %d backend servers, %d teams\n",
			v.File, v.DataCentres, v.Products, v.Servers, v.Teams)
		return errors.Wrap(err, "write verdict")
	}
	t := table.Table{Kind: "error", Header: []string{"LINE", "COLUMN", "REASON", "FOUND", "WRITE INSTEAD"}}
	for _, e := range v.Errors {
		t.Add(strconv.Itoa(e.Line), strconv.Itoa(e.Column), e.Reason, e.Text, e.Instead)
	}
	return t.Write(o.Streams)
}
