package delay

import (
	"context"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/loader/drive"
	"mangolug.org/loader/plan"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
	"mangolug.org/stage/local"
)

// Sizes of the fleet and of the loads.
const (
	engines     = 6
	engineLimit = 32
	desks       = 3
	deskLimit   = 64
	modelOpen   = 4
	plainOpen   = 96
	warmup      = 2 * time.Second
	timeout     = 10 * time.Second
)

// Options are what a run needs.
type Options struct {
	Context context.Context `no-flag:"yes"`
	Streams *stream.Streams `no-flag:"yes"`
	Routers int             `long:"routers" default:"3" description:"routers of the fleet; one of them is called"`
	Cores   int             `long:"cores" default:"2" description:"cores that each program may use"`
	Runs    int             `long:"runs" default:"5" description:"runs"`
	Length  time.Duration   `long:"length" default:"8s" description:"how long each load lasts"`
	Seed    uint64          `long:"seed" default:"1" description:"seed of the first run; the next ones count up"`
	JSON    bool            `long:"json" description:"write the figures as JSON"`
}

// Figures are what one run showed; times are in milliseconds.
type Figures struct {
	Seed            uint64  `json:"seed"`
	FirstByteDirect float64 `json:"firstByteDirect"` // p95
	FirstByteRouted float64 `json:"firstByteRouted"` // p95
	TokenDirect     float64 `json:"tokenDirect"`     // p99
	TokenRouted     float64 `json:"tokenRouted"`     // p99
	CallsPerSecond  float64 `json:"callsPerSecond"`
	NotAnswered     int64   `json:"notAnswered"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return delayRun(o) }

// NewAction makes the command's action.
func NewAction(ctx context.Context, s *stream.Streams) *Options {
	return &Options{Context: ctx, Streams: s}
}

func delayRun(o *Options) error {
	if o.Length <= warmup {
		return errors.Errorf("--length is %v: give more than the warm-up of %v", o.Length, warmup)
	}
	programs, err := os.MkdirTemp("", "mangolug-programs-")
	if err != nil {
		return errors.Wrap(err, "folder for programs")
	}
	defer func() { _ = os.RemoveAll(programs) }()
	if err := local.Build(o.Context, programs); err != nil {
		return err
	}
	// The programs of the fleet inherit the environment.
	if err := os.Setenv("GOMAXPROCS", strconv.Itoa(o.Cores)); err != nil {
		return errors.Wrap(err, "limit cores")
	}
	var all []Figures
	for run := range o.Runs {
		f, err := o.one(programs, o.Seed+uint64(run))
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	if o.JSON {
		return o.Streams.WriteJSON(all)
	}
	return write(o.Streams, all)
}

func (o *Options) one(programs string, seed uint64) (Figures, error) {
	figures := Figures{Seed: seed}
	f, err := local.Start(local.Settings{
		Site: local.Chenab(), Programs: programs, Routers: o.Routers, Engines: engines, Desks: desks,
		EngineLimit: engineLimit, DeskLimit: deskLimit,
		EngineArgs: []string{"--token-time", "10ms", "--growth", "0"}, DeskArgs: []string{"--service-time", "1ms"},
	})
	if err != nil {
		return figures, errors.Wrap(err, "start fleet")
	}
	defer f.Close()
	models, err := drive.Run(o.Context, o.models(f, seed))
	if err != nil {
		return figures, err
	}
	direct, routed := models.Teams[0], models.Teams[1]
	figures.FirstByteDirect, figures.FirstByteRouted = millis(direct.FirstByte.P95), millis(routed.FirstByte.P95)
	figures.TokenDirect, figures.TokenRouted = millis(direct.Between.P99), millis(routed.Between.P99)
	short, err := drive.Run(o.Context, o.calls(f, seed))
	if err != nil {
		return figures, err
	}
	figures.CallsPerSecond = float64(short.Answered) / (float64(short.DurationMillis) / 1000)
	figures.NotAnswered = models.Requests - models.Answered + short.Requests - short.Answered
	return figures, nil
}

// models gives two equal loads in one run: one at the engines themselves, one through a router.
func (o *Options) models(f *local.Fleet, seed uint64) *plan.Plan {
	router := plan.Target{Name: f.Routers[0].Name, Address: f.Routers[0].Listen, Weight: 1}
	p := &plan.Plan{Name: "added latency", Seed: seed, DurationMillis: o.Length.Milliseconds(), Targets: []plan.Target{router}}
	straight := make(map[string]float64)
	for _, s := range f.ServersOf(f.Site.Model) {
		p.Targets = append(p.Targets, plan.Target{Name: s.Name, Address: s.Listen, Weight: 1, Direct: true})
		straight[s.Name] = 1
	}
	for n, targets := range []map[string]float64{straight, {router.Name: 1}} {
		t := f.Site.Teams[n]
		p.Loads = append(p.Loads, plan.Load{
			Team: t.Name, Key: t.Key(), Share: t.Share, Product: f.Site.Model, Concurrency: modelOpen, Targets: targets,
			StartMillis: warmup.Milliseconds(), TimeoutMillis: timeout.Milliseconds(), Stream: true,
			PromptTokens: plan.Range{Min: 50, Max: 50}, AnswerTokens: plan.Range{Min: 20, Max: 20},
		})
	}
	return p
}

// calls gives a load of short calls on one router.
func (o *Options) calls(f *local.Fleet, seed uint64) *plan.Plan {
	t := f.Site.Teams[0]
	return &plan.Plan{
		Name: "short calls", Seed: seed, DurationMillis: o.Length.Milliseconds(),
		Targets: []plan.Target{{Name: f.Routers[0].Name, Address: f.Routers[0].Listen, Weight: 1}},
		Loads: []plan.Load{{
			Team: t.Name, Key: t.Key(), Share: t.Share, Product: f.Site.Plain, Plain: true, Path: f.Site.Harmless + "1",
			Concurrency: plainOpen, TimeoutMillis: timeout.Milliseconds(),
		}},
	}
}

func write(s *stream.Streams, all []Figures) error {
	t := &table.Table{Kind: "latency", Header: []string{
		"SEED", "FIRST BYTE P95 DIRECT", "ROUTED", "ADDED", "TOKEN P99 DIRECT", "ROUTED", "ADDED", "CALLS/S", "NOT ANSWERED",
	}}
	for _, f := range all {
		t.Add(strconv.FormatUint(f.Seed, 10), text(f.FirstByteDirect), text(f.FirstByteRouted), text(f.FirstByteRouted-f.FirstByteDirect),
			text(f.TokenDirect), text(f.TokenRouted), text(f.TokenRouted-f.TokenDirect),
			strconv.FormatFloat(f.CallsPerSecond, 'f', 0, 64), strconv.FormatInt(f.NotAnswered, 10))
	}
	return t.Write(s)
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func text(millis float64) string { return strconv.FormatFloat(millis, 'f', 2, 64) + " ms" }
