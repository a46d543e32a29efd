package story

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams `no-flag:"yes"`
	Open    shell.OpenFunc  `no-flag:"yes"`
	Around  time.Duration   `long:"around" default:"2s" value-name:"TIME" description:"how long before and after the request other lines are looked at"`
	JSON    bool            `long:"json" description:"write the story as JSON"`
	Args    struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes" description:"the request's id"`
		Logs    []string `positional-arg-name:"LOG" description:"routers' logs; - or none for standard input"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return storyRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "why",
		Short: "Show the history of a request from the logs of several routers",
		Long: "Read routers' logs, list in order what they decided on a request and the state of its servers and of the routers around that time, " +
			"and name what the logs lack. Exit code 7 if no log has the request.",
		Examples: `mangoctl why dbfdff587a13730a router-*.log
collect-logs | mangoctl why dbfdff587a13730a --around 5s`,
		Action: &Options{Streams: f.Streams, Open: f.Open},
	}
}

func storyRun(o *Options) error {
	c := collector{request: o.Args.Request}
	malformed, err := ReadLogs(o.Open, o.Args.Logs, c.add)
	if err != nil {
		return err
	}
	c.malformed = malformed
	s := c.timeline(o.Around)
	if len(s.Steps) == 0 {
		return shell.Exitf(shell.ExitNotFound, "no line of %d logs names request %s (%d lines could not be read)", max(1, len(o.Args.Logs)), o.Args.Request, c.malformed)
	}
	if o.JSON {
		return o.Streams.WriteJSON(s)
	}
	return o.write(s)
}

func (o *Options) write(s Timeline) error {
	t := &table.Table{Kind: "step", Title: "request " + s.Request, Header: []string{"AFTER", "ROUTER", "WHAT", "DETAIL"}}
	for _, step := range s.Steps {
		detail := make([]string, 0, len(step.Line.Fields))
		for _, f := range step.Line.Fields {
			if f.Key != "request" {
				detail = append(detail, f.Key+"="+f.Value)
			}
		}
		what := step.Line.Message
		if !step.Own {
			what = "(" + what + ")"
		}
		t.Add(step.After.Round(time.Millisecond).String(), step.Line.Router, what, strings.Join(detail, " "))
	}
	if err := t.Write(o.Streams); err != nil {
		return err
	}
	gaps := &table.Table{Kind: "gap", Title: "missing", Header: []string{"WHAT"}}
	for _, g := range s.Gaps {
		gaps.Add(g)
	}
	doubts := &table.Table{Kind: "doubt", Title: "doubtful", Header: []string{"WHAT"}}
	for _, d := range s.Doubts {
		doubts.Add(d)
	}
	for _, lines := range []*table.Table{gaps, doubts} {
		if len(lines.Rows) == 0 {
			continue
		}
		if err := lines.Write(o.Streams); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(o.Streams.Out, "end\t%s\n", s.End)
	return errors.Wrap(err, "write end")
}
