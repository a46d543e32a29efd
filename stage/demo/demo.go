package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/loader/tally"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
	"mangolug.org/stage/local"
	"mangolug.org/stage/trial"
	"mangolug.org/stage/works"
)

// warmup lets limits be learnt, and lasts longer than a key's home waits before it runs keys.
const warmup = 6 * time.Second

// Options are what a run needs.
type Options struct {
	Context context.Context `no-flag:"yes"`
	Streams *stream.Streams `no-flag:"yes"`
	Length  time.Duration   `long:"length" env:"MANGOLUG_DEMO_LENGTH" default:"12s" description:"how long each user's load lasts"`
	Seed    uint64          `long:"seed" env:"MANGOLUG_DEMO_SEED" default:"1" description:"seed of the load"`
	JSON    bool            `long:"json" description:"write the results as JSON"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return demoRun(o) }

// NewAction makes the command's action.
func NewAction(ctx context.Context, s *stream.Streams) *Options {
	return &Options{Context: ctx, Streams: s}
}

func demoRun(o *Options) error {
	if o.Length <= warmup {
		return errors.Errorf("--length is %v: give more than the warm-up of %v", o.Length, warmup)
	}
	programs, err := os.MkdirTemp("", "mangolug-programs-")
	if err != nil {
		return errors.Wrap(err, "folder for programs")
	}
	defer func() { _ = os.RemoveAll(programs) }()
	o.say("building the programs")
	if err := local.Build(o.Context, programs); err != nil {
		return err
	}
	sites, results, err := o.runBoth(programs)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.Streams.WriteJSON(results)
	}
	return o.write(sites, results)
}

// runBoth runs both users, one after the other, by their example rule files.
func (o *Options) runBoth(programs string) ([]local.Site, []*trial.Result, error) {
	root, err := local.Root()
	if err != nil {
		return nil, nil, err
	}
	var sites []local.Site
	var results []*trial.Result
	for _, base := range []local.Site{local.Chenab(), local.Carraig()} {
		rules := filepath.Join(root, "examples", base.Name+".rules")
		site, size, err := works.ReadSite(base, rules)
		if err != nil {
			return nil, nil, err
		}
		o.say("%s: %d routers, %d engines, %d plain services and %d teams in %s, by examples/%s; load for %v",
			site.Name, trial.Routers, size.Engines, size.Desks, len(site.Teams), strings.Join(site.DataCentres, ", "), filepath.Base(rules), o.Length)
		r, err := trial.Run(o.Context, trial.Settings{
			Site: site, Size: size, Programs: programs,
			Load: works.Load{Case: works.Balanced, Seed: o.Seed, Length: o.Length, Warmup: warmup},
		})
		if err != nil {
			return nil, nil, errors.Wrap(err, site.Name)
		}
		sites, results = append(sites, site), append(results, r)
	}
	return sites, results, nil
}

func (o *Options) say(format string, words ...any) {
	_, _ = fmt.Fprintf(o.Streams.ErrOut, format+"\n", words...)
}

func (o *Options) write(sites []local.Site, results []*trial.Result) error {
	all := &table.Table{Kind: "demo", Title: "both users", Header: []string{
		"USER", "REQUESTS", "ANSWERED WHOLE", "REFUSED", "OTHER", "FAIRNESS GAP", "OVER MEAN", "UTILISATION", "CONTROL BYTES/S A ROUTER", "OVER LIMIT", "RUN TWICE",
	}}
	teams := &table.Table{Kind: "team", Title: "teams", Header: []string{"USER", "TEAM", "PRODUCT", "SHARE", "REQUESTS", "ANSWERED", "SERVICE, STEADY", "OVER SHARE", "FIRST BYTE P95"}}
	reasons := &table.Table{Kind: "reason", Title: "not answered", Header: []string{"USER", "OUTCOME AND REASON", "COUNT"}}
	for i, r := range results {
		f := r.Figures(sites[i].Model)
		refused := ended(r.Load, tally.OutcomeRefused)
		all.Add(r.User, count(r.Load.Requests), count(r.Load.Answered), count(refused), count(r.Load.Requests-r.Load.Answered-refused),
			fmt.Sprintf("%.1f", f.Gap), fmt.Sprintf("%.2f", f.Relative), fmt.Sprintf("%.1f %%", 100*f.Utilisation),
			fmt.Sprintf("%.0f", f.ControlBytes), strconv.Itoa(f.OverLimit), strconv.Itoa(f.RunTwice))
		for _, t := range r.Load.Teams {
			wait := time.Duration(t.FirstByte.P95) * time.Microsecond
			teams.Add(r.User, t.Team, t.Product, strconv.Itoa(t.Share), count(t.Requests), count(t.Ends[tally.OutcomeAnswered.String()]),
				count(t.Steady), count(t.Steady/int64(t.Share)), wait.Round(time.Millisecond).String())
		}
		for _, name := range names(r.Load.Reasons) {
			reasons.Add(r.User, name, count(r.Load.Reasons[name]))
		}
	}
	for _, t := range []*table.Table{teams, reasons, all} {
		if len(t.Rows) == 0 {
			continue
		}
		if err := t.Write(o.Streams); err != nil {
			return err
		}
	}
	return nil
}

func ended(r *tally.Result, o tally.Outcome) int64 {
	n := int64(0)
	for _, t := range r.Teams {
		n += t.Ends[o.String()]
	}
	return n
}

func names(counts map[string]int64) []string {
	list := make([]string, 0, len(counts))
	for name := range counts {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func count(n int64) string { return strconv.FormatInt(n, 10) }
