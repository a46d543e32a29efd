package status

import (
	"fmt"

	"mangolug.org/core/report"
	"mangolug.org/mangoctl/admin"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams `no-flag:"yes"`
	Client  *admin.Client   `no-flag:"yes"`
	Routers []string        `long:"router" env:"MANGOLUG_ROUTER" env-delim:"," value-name:"IP:PORT" required:"yes" description:"admin address of a router; may be given more than once"`
	All     bool            `long:"all" description:"also ask every peer that these routers name"`
	JSON    bool            `long:"json" description:"write the routers' answers as JSON"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return statusRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "status",
		Short: "Show routers, data centres, backend servers and teams",
		Long:  "Ask routers for their status: the fleet, data centres, backend servers, teams, and the configuration version in force at each router. Exit code 5 if none answers, 6 if some do not.",
		Examples: `mangoctl status --router 127.0.0.1:8101
MANGOLUG_ROUTER=127.0.0.1:8101 mangoctl status --all
mangoctl status --all --json | jq '.[].status.configVersion'`,
		Action: &Options{Streams: f.Streams, Client: &admin.Client{HTTP: f.HTTP}},
	}
}

func statusRun(o *Options) error {
	if err := shell.CheckRouters(o.Routers); err != nil {
		return err
	}
	answers := o.fetch()
	reached := make([]admin.Status, 0, len(answers))
	for _, a := range answers {
		if a.Err != nil {
			_, _ = fmt.Fprintln(o.Streams.ErrOut, a.Err)
			continue
		}
		reached = append(reached, a)
	}
	if len(reached) == 0 {
		return shell.Exitf(shell.ExitUnreachable, "none of %d routers answered", len(answers))
	}
	if err := o.write(reached); err != nil {
		return err
	}
	if len(reached) < len(answers) {
		return shell.Exitf(shell.ExitPartial, "%d of %d routers did not answer", len(answers)-len(reached), len(answers))
	}
	return nil
}

func (o *Options) fetch() []admin.Status {
	if o.All {
		return o.Client.Fleet(o.Routers)
	}
	answers := make([]admin.Status, len(o.Routers))
	admin.Each(o.Routers, func(i int, router string) { answers[i] = o.Client.Status(router) })
	return answers
}

func (o *Options) write(answers []admin.Status) error {
	if o.JSON {
		return o.Streams.WriteJSON(answers)
	}
	warn(o.Streams, answers)
	for _, t := range tables(answers) {
		if len(t.Rows) == 0 {
			continue
		}
		if err := t.Write(o.Streams); err != nil {
			return err
		}
	}
	return nil
}

// rejectedConfig is a configuration version that a router refused, with the reason.
type rejectedConfig struct {
	version uint64
	reason  string
}

func warn(s *stream.Streams, answers []admin.Status) {
	warnRejectedConfigs(s, answers)
	for _, a := range answers {
		if why := notReadyReason(a.Status); why != "" {
			_, _ = fmt.Fprintf(s.ErrOut, "router %s is not ready: %s\n", a.Status.Router, why)
		}
		if !a.Status.Majority {
			_, _ = fmt.Fprintf(s.ErrOut, "router %s reaches no majority of the listed routers: it refuses keyed non-idempotent calls\n", a.Status.Router)
		}
	}
}

// warnRejectedConfigs prints each refused configuration once, with the number of routers that refused it for the same reason.
func warnRejectedConfigs(s *stream.Streams, answers []admin.Status) {
	var order []rejectedConfig
	count := map[rejectedConfig]int{}
	for _, a := range answers {
		r := rejectedConfig{version: a.Status.RefusedNumber, reason: a.Status.ConfigRefused}
		if r.reason == "" {
			continue
		}
		if count[r] == 0 {
			order = append(order, r)
		}
		count[r]++
	}
	for _, r := range order {
		_, _ = fmt.Fprintf(s.ErrOut, "configuration %d was refused by %d of %d routers:\n%s\n", r.version, count[r], len(answers), r.reason)
	}
}

// notReadyReason returns why a router is not ready. It returns an empty string for a router that is ready or draining.
func notReadyReason(s report.Status) string {
	if s.Ready || s.Draining {
		return ""
	}
	live, newest := 0, s.ConfigVersion
	for _, p := range s.Peers {
		if p.Live && p.Name != s.Router {
			live++
			newest = max(newest, p.ConfigVersion)
		}
	}
	switch {
	case len(s.Peers) == 0:
		return "it has no list of VMs, from the platform or a peer"
	case live == 0 && len(s.Peers) > 1:
		return "it hears no peer"
	case newest == 0:
		return "neither it nor a peer has rules in force"
	case newest > s.ConfigVersion:
		return fmt.Sprintf("a peer has configuration %d, it has %d", newest, s.ConfigVersion)
	default:
		return "it has begun just now"
	}
}
