package gauge

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/mangoctl/stream"
	"mangolug.org/stage/chart"
	"mangolug.org/stage/local"
	"mangolug.org/stage/trial"
	"mangolug.org/stage/works"
)

// Options are what a run needs.
type Options struct {
	Context  context.Context `no-flag:"yes"`
	Streams  *stream.Streams `no-flag:"yes"`
	Users    []string        `long:"user" default:"chenab" default:"carraig" choice:"chenab" choice:"carraig" description:"whose size and teams; may be given more than once"`
	Cases    []string        `long:"case" default:"balanced" default:"skewed" default:"flooded" default:"centreOut" description:"how requests spread; may be given more than once"`
	Policies []string        `long:"policy" default:"fair" default:"leastLoaded" default:"alone" description:"policy of the routers; may be given more than once"`
	Runs     int             `long:"runs" default:"5" description:"runs of each"`
	Length   time.Duration   `long:"length" default:"10s" description:"how long a run's load lasts"`
	Warmup   time.Duration   `long:"warmup" default:"5s" description:"left out at a run's start"`
	Seed     uint64          `long:"seed" default:"1" description:"seed of the first run; the next ones count up"`
	From     string          `long:"from" value-name:"FILE" description:"take the figures from this file, written by --out, in place of runs"`
	Out      string          `long:"out" value-name:"FILE" description:"also write every run's figures to this file as JSON"`
	Plots    string          `long:"plots" value-name:"FOLDER" description:"also draw plots into this folder"`
	Wait     bool            `long:"wait" description:"wait for what is open at the end, rather than hang up"`
	JSON     bool            `long:"json" description:"write the spreads as JSON"`
}

// Row is the measures of one user, case and policy over all runs.
type Row struct {
	User   string          `json:"user"`
	Case   string          `json:"case"`
	Policy string          `json:"policy"`
	Failed int             `json:"failed"` // runs that gave no figures
	Runs   []trial.Figures `json:"runs"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return gaugeRun(o) }

// NewAction makes the command's action.
func NewAction(ctx context.Context, s *stream.Streams) *Options {
	return &Options{Context: ctx, Streams: s}
}

func gaugeRun(o *Options) error {
	if o.From != "" {
		rows, err := read(o.From)
		if err != nil {
			return err
		}
		return o.write(rows)
	}
	cases, err := o.check()
	if err != nil {
		return err
	}
	programs, err := os.MkdirTemp("", "mangolug-programs-")
	if err != nil {
		return errors.Wrap(err, "folder for programs")
	}
	defer func() { _ = os.RemoveAll(programs) }()
	if err := local.Build(o.Context, programs); err != nil {
		return err
	}
	var rows []*Row
	for _, site := range []local.Site{local.Chenab(), local.Carraig()} {
		if !contains(o.Users, site.Name) {
			continue
		}
		for _, c := range cases {
			rows = append(rows, o.measure(site, c, programs)...)
		}
	}
	return o.write(rows)
}

func read(name string) ([]*Row, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read figures")
	}
	var rows []*Row
	return rows, errors.Wrap(json.Unmarshal(text, &rows), "read figures")
}

func (o *Options) check() ([]works.Case, error) {
	if o.Runs < 1 {
		return nil, errors.Errorf("--runs is %d: give at least 1", o.Runs)
	}
	if o.Length <= o.Warmup {
		return nil, errors.Errorf("--length is %v: give more than the warm-up of %v", o.Length, o.Warmup)
	}
	var list []works.Case
	for _, name := range o.Cases {
		known := false
		for _, c := range works.Cases() {
			if c.String() == name {
				list, known = append(list, c), true
			}
		}
		if !known {
			return nil, errors.Errorf("--case is %q: give balanced, skewed, flooded or centreOut", name)
		}
	}
	return list, nil
}

// measure runs one case under every policy in turn, so that noise of the machine meets all alike.
func (o *Options) measure(site local.Site, c works.Case, programs string) []*Row {
	rows := make([]*Row, 0, len(o.Policies))
	for _, policy := range o.Policies {
		rows = append(rows, &Row{User: site.Name, Case: c.String(), Policy: policy})
	}
	for run := range o.Runs {
		for _, row := range rows {
			if o.Context.Err() != nil {
				return rows
			}
			o.one(site, c, programs, run, row)
		}
	}
	return rows
}

func (o *Options) one(site local.Site, c works.Case, programs string, run int, row *Row) {
	r, err := trial.Run(o.Context, trial.Settings{
		Site: site, Programs: programs, Policy: row.Policy,
		Load: works.Load{Case: c, Seed: o.Seed + uint64(run), Length: o.Length, Warmup: o.Warmup, Cut: !o.Wait},
	})
	if o.Context.Err() != nil {
		return // stopped in its midst
	}
	if err != nil {
		row.Failed++
		o.say("%s %s %s, run %d: %v", row.User, row.Case, row.Policy, run+1, err)
		return
	}
	f := r.Figures(site.Model)
	row.Runs = append(row.Runs, f)
	o.say("%s %s %s, run %d: gap %.1f, utilisation %.3f, %d requests, not answered %v",
		row.User, row.Case, row.Policy, run+1, f.Gap, f.Utilisation, r.Load.Requests, r.Load.Reasons)
}

func (o *Options) write(rows []*Row) error {
	if o.Out != "" {
		text, err := json.MarshalIndent(rows, "", " ")
		if err != nil {
			return errors.Wrap(err, "encode figures")
		}
		if err := os.WriteFile(o.Out, text, 0o644); err != nil {
			return errors.Wrap(err, "write figures")
		}
	}
	if o.Plots != "" {
		if err := draw(o.Plots, rows); err != nil {
			return err
		}
	}
	if o.JSON {
		return o.Streams.WriteJSON(rows)
	}
	return o.writePage(rows)
}

// draw draws the gap and the utilisation of every user.
func draw(folder string, rows []*Row) error {
	for _, user := range []string{"chenab", "carraig"} {
		gap := chart.Chart{Title: user + ": fairness gap over any time, cost units over share", Log: true, Path: fmt.Sprintf("%s/%s-gap.svg", folder, user)}
		busy := chart.Chart{Title: user + ": utilisation while work waits", Path: fmt.Sprintf("%s/%s-utilisation.svg", folder, user)}
		for _, r := range rows {
			if r.User == user && len(r.Runs) > 0 {
				gap.Add(r.Policy, r.Case, trial.SpreadOf(r.Runs, func(f trial.Figures) float64 { return f.GapAny }).Median)
				busy.Add(r.Policy, r.Case, trial.SpreadOf(r.Runs, func(f trial.Figures) float64 { return f.Utilisation }).Median)
			}
		}
		for _, c := range []*chart.Chart{&gap, &busy} {
			if err := c.Save(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (o *Options) say(format string, words ...any) {
	_, _ = fmt.Fprintf(o.Streams.ErrOut, format+"\n", words...)
}

func contains(list []string, name string) bool {
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}
