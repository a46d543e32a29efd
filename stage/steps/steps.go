package steps

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/loader/drive"
	"mangolug.org/loader/plan"
	"mangolug.org/stage/growth"
	"mangolug.org/stage/local"
	"mangolug.org/stage/trial"
)

// Sizes of the fleets and loads.
const (
	engines     = 10
	desks       = 3
	limit       = 64
	settle      = 3 * time.Second // after the fleet is ready, for limits to be learnt and links to be open
	timeout     = 10 * time.Second
	fewRouters  = 9
	fewTokens   = 10
	someStreams = 10 // requests a second while tokens vary
)

// Run measures on real fleets; each point lasts for length.
type Run struct {
	Context  context.Context
	Programs string // folder that local.Build filled
	Length   time.Duration
	Seed     uint64
}

// point is what one router spent on average.
type point struct {
	control   float64 // bytes a second
	processor float64 // microseconds a second
	resident  float64 // bytes
}

// All measures every factor.
func (r *Run) All() ([]growth.Series, error) {
	var all []growth.Series
	for _, factor := range []struct {
		name, fixed string
		values      []int
		measure     func(n int) (point, error)
	}{
		{"routers", "no requests", []int{3, 6, 9, 15}, r.idle},
		{"short calls a second at the fleet", "9 routers", []int{50, 150, 300, 600}, r.calls},
		{"streams a second at the fleet", "9 routers, 10 tokens a stream", []int{10, 30, 60, 120}, r.streams},
		{"tokens a stream", "9 routers, 10 streams a second", []int{10, 40, 80, 160}, r.tokens},
	} {
		control := growth.Series{Role: "router", Quantity: "control bytes a second", Factor: factor.name, Fixed: factor.fixed}
		processor := growth.Series{Role: "router", Quantity: "microseconds of processor a second", Factor: factor.name, Fixed: factor.fixed}
		resident := growth.Series{Role: "router", Quantity: "resident bytes", Factor: factor.name, Fixed: factor.fixed}
		for _, n := range factor.values {
			p, err := factor.measure(n)
			if err != nil {
				return nil, errors.Wrapf(err, "%s: %d", factor.name, n)
			}
			control.Points = append(control.Points, growth.Point{X: float64(n), Y: p.control})
			resident.Points = append(resident.Points, growth.Point{X: float64(n), Y: p.resident})
			processor.Points = append(processor.Points, growth.Point{X: float64(n), Y: p.processor})
		}
		for _, s := range []*growth.Series{&control, &processor, &resident} {
			s.Line = growth.Fit(s.Points)
			all = append(all, *s)
		}
	}
	return all, nil
}

func (r *Run) idle(routers int) (point, error) {
	return r.measure(routers, nil)
}

func (r *Run) calls(rate int) (point, error) {
	return r.measure(fewRouters, func(f *local.Fleet) plan.Load {
		return plan.Load{Product: f.Site.Plain, Plain: true, Path: f.Site.Harmless + "1", ArrivalsPerSecond: float64(rate)}
	})
}

func (r *Run) streams(rate int) (point, error) {
	return r.measure(fewRouters, func(f *local.Fleet) plan.Load { return stream(f, rate, fewTokens) })
}

func (r *Run) tokens(tokens int) (point, error) {
	return r.measure(fewRouters, func(f *local.Fleet) plan.Load { return stream(f, someStreams, tokens) })
}

func stream(f *local.Fleet, rate, tokens int) plan.Load {
	return plan.Load{
		Product: f.Site.Model, Stream: true, ArrivalsPerSecond: float64(rate),
		PromptTokens: plan.Range{Min: 50, Max: 50}, AnswerTokens: plan.Range{Min: tokens, Max: tokens},
	}
}

// measure starts a fleet, puts the load on it or none, and gives the mean over its routers.
func (r *Run) measure(routers int, load func(f *local.Fleet) plan.Load) (point, error) {
	f, err := local.Start(local.Settings{
		Site: local.Carraig(), Programs: r.Programs, Routers: routers, Engines: engines, Desks: desks,
		EngineLimit: limit, DeskLimit: limit, EngineArgs: []string{"--token-time", "10ms", "--growth", "0"},
	})
	if err != nil {
		return point{}, err
	}
	defer f.Close()
	if err := r.put(f, load, settle); err != nil {
		return point{}, err
	}
	spent, err := trial.Spend(f, func() error { return r.put(f, load, r.Length) })
	if err != nil {
		return point{}, err
	}
	var p point
	for _, v := range spent {
		p.control += v.ControlBytes / float64(len(spent))
		p.resident += float64(v.Resident) / float64(len(spent))
		p.processor += v.Processor * float64(time.Second/time.Microsecond) / float64(len(spent))
	}
	return p, nil
}

// put keeps the load on for a time.
func (r *Run) put(f *local.Fleet, load func(f *local.Fleet) plan.Load, length time.Duration) error {
	if load == nil {
		select {
		case <-r.Context.Done():
			return r.Context.Err()
		case <-time.After(length):
			return nil
		}
	}
	p := &plan.Plan{Name: "slope", Seed: r.Seed, DurationMillis: length.Milliseconds()}
	for _, router := range f.Routers {
		p.Targets = append(p.Targets, plan.Target{Name: router.Name, Address: router.Listen, Weight: 1})
	}
	teams := f.Site.Teams
	for _, t := range teams {
		l := load(f)
		l.Team, l.Key, l.Share, l.TimeoutMillis = t.Name, t.Key(), t.Share, timeout.Milliseconds()
		l.ArrivalsPerSecond /= float64(len(teams))
		p.Loads = append(p.Loads, l)
	}
	result, err := drive.Run(r.Context, p)
	if err != nil {
		return err
	}
	if result.Answered < result.Requests {
		return errors.Errorf("%d of %d requests were not answered: %v", result.Requests-result.Answered, result.Requests, result.Reasons)
	}
	return nil
}
