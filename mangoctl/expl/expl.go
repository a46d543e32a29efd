package expl

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"mangolug.org/core/report"
	"mangolug.org/mangoctl/admin"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams `no-flag:"yes"`
	Client  *admin.Client   `no-flag:"yes"`
	Routers []string        `long:"router" env:"MANGOLUG_ROUTER" env-delim:"," value-name:"IP:PORT" required:"yes" description:"admin address of a router; its peers are asked too"`
	JSON    bool            `long:"json" description:"write the routers' answers as JSON"`
	Args    struct {
		What Subject `positional-arg-name:"WHAT" description:"request or team"`
		Name string  `positional-arg-name:"NAME" description:"the request's ID, or the team's name"`
	} `positional-args:"yes" required:"yes"`
}

// Subject is the kind of entity to explain: request or team.
type Subject string

// Complete returns the subjects that begin with text, for shell completion.
func (s *Subject) Complete(text string) []flags.Completion {
	var list []flags.Completion
	for _, name := range []string{"request", "team"} {
		if strings.HasPrefix(name, text) {
			list = append(list, flags.Completion{Item: name})
		}
	}
	return list
}

// RequestAnswer is one router's explanation of a request.
type RequestAnswer struct {
	Router      string             `json:"router"`
	Explanation report.Explanation `json:"explanation"`
}

// TeamAnswer is one router's explanation of a team.
type TeamAnswer struct {
	Router      string                 `json:"router"`
	Explanation report.TeamExplanation `json:"explanation"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return explainRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "explain",
		Short: "Say why a request or a team waits, was refused, or went where it went",
		Long:  "Ask every router what it knows of a request or a team. A request's ID is in the header X-Request-Id of its answer, and in the body of a refusal. Exit code 7 if no router knows it.",
		Examples: `mangoctl explain request 0192f3c1-7a52-7c11-8d6e-3a5b0f9e2c44
mangoctl explain team carpenters --router 127.0.0.1:8101`,
		Action: &Options{Streams: f.Streams, Client: &admin.Client{HTTP: f.HTTP}},
	}
}

func explainRun(o *Options) error {
	if err := shell.CheckRouters(o.Routers); err != nil {
		return err
	}
	routers := o.Client.Fleet(o.Routers)
	reachable := o.dropFailed(routers)
	if len(reachable) == 0 {
		return shell.Exitf(shell.ExitUnreachable, "none of %d routers answered", len(routers))
	}
	found, err := o.explain(reachable)
	if err != nil {
		return err
	}
	unreachable := len(routers) - len(o.dropFailed(reachable))
	switch {
	case unreachable == len(routers):
		return shell.Exitf(shell.ExitUnreachable, "none of %d routers answered", len(routers))
	case !found:
		return shell.Exitf(shell.ExitNotFound, "no router that answered knows the %s %s (%d of %d routers did not answer)", o.Args.What, o.Args.Name, unreachable, len(routers))
	case unreachable > 0:
		return shell.Exitf(shell.ExitPartial, "%d of %d routers did not answer", unreachable, len(routers))
	}
	return nil
}

// explain writes what the routers know, and reports whether any knows the request or team. It sets Err of routers that fail to answer.
func (o *Options) explain(routers []admin.Status) (bool, error) {
	switch o.Args.What {
	case "request":
		return o.explainRequest(routers)
	case "team":
		return o.explainTeam(routers)
	default:
		return false, shell.Exitf(shell.ExitUsage, "explain what: %q is neither request nor team", o.Args.What)
	}
}

func (o *Options) explainRequest(routers []admin.Status) (bool, error) {
	known := make([]*RequestAnswer, len(routers))
	admin.Each(admin.Addresses(routers), func(i int, address string) {
		e, err := o.Client.Request(address, o.Args.Name)
		if err != nil {
			if !admin.IsNotFound(err) {
				routers[i].Err = err
			}
			return
		}
		known[i] = &RequestAnswer{Router: routers[i].Status.Router, Explanation: e}
	})
	answers := make([]RequestAnswer, 0, 1)
	for _, a := range known {
		if a != nil {
			answers = append(answers, *a)
		}
	}
	if o.JSON {
		return len(answers) > 0, o.Streams.WriteJSON(answers)
	}
	for _, a := range answers {
		if err := writeRequest(o.Streams, a); err != nil {
			return true, err
		}
	}
	return len(answers) > 0, nil
}

func (o *Options) explainTeam(routers []admin.Status) (bool, error) {
	known := make([]*TeamAnswer, len(routers))
	admin.Each(admin.Addresses(routers), func(i int, address string) {
		e, err := o.Client.Team(address, o.Args.Name)
		if err != nil {
			if !admin.IsNotFound(err) {
				routers[i].Err = err
			}
			return
		}
		known[i] = &TeamAnswer{Router: routers[i].Status.Router, Explanation: e}
	})
	answers := make([]TeamAnswer, 0, len(known))
	for _, a := range known {
		if a != nil {
			answers = append(answers, *a)
		}
	}
	if o.JSON {
		return len(answers) > 0, o.Streams.WriteJSON(answers)
	}
	return len(answers) > 0, writeTeam(o.Streams, answers)
}

// dropFailed prints the errors of routers that did not answer, and returns the others.
func (o *Options) dropFailed(routers []admin.Status) []admin.Status {
	answered := make([]admin.Status, 0, len(routers))
	for _, r := range routers {
		if r.Err != nil {
			_, _ = fmt.Fprintln(o.Streams.ErrOut, r.Err)
			continue
		}
		answered = append(answered, r)
	}
	return answered
}
