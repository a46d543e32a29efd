package trial

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/loader/drive"
	"mangolug.org/loader/tally"
	"mangolug.org/stage/local"
	"mangolug.org/stage/usage"
	"mangolug.org/stage/works"
)

// Routers is how many routers both users have today.
const Routers = 9

// today is the size of both users today.
var today = works.Size{Engines: 10, Desks: 3, EngineLimit: 8, DeskLimit: 16}

// Settings say what to run.
type Settings struct {
	Site     local.Site
	Size     works.Size // zero for today's
	Programs string     // folder that local.Build filled
	Policy   string     // of the routers; empty for their default
	Load     works.Load
}

// Result is what one trial showed.
type Result struct {
	User    string        `json:"user"`
	Case    string        `json:"case"`
	Policy  string        `json:"policy"`
	Seed    uint64        `json:"seed"`
	Flooder string        `json:"flooder,omitempty"` // team whose flood is no part of the others' waiting times
	Load    *tally.Result `json:"load"`
	Routers []Router      `json:"routers"`
	Servers []Server      `json:"servers"`
	// RunTwice counts idempotency keys that the plain service saw more than once.
	RunTwice int `json:"runTwice"`
}

// Router is what one router spent while the load ran.
type Router struct {
	Name         string  `json:"name"`
	ControlBytes float64 `json:"controlBytesPerSecond"`
	Processor    float64 `json:"processor"` // of one core, for requests and control
	Resident     int64   `json:"residentBytes"`
}

// Server is the most that one backend server had open.
type Server struct {
	Name  string `json:"name"`
	Limit int    `json:"limit"`
	Peak  int    `json:"peak"`
	Falls int    `json:"falls"` // times that an engine broke under load when cold
}

// Run starts a fleet, puts the load on it and stops it.
func Run(ctx context.Context, s Settings) (*Result, error) {
	size := s.Size
	if size == (works.Size{}) {
		size = today
	}
	fleet := local.Settings{
		Site: s.Site, Programs: s.Programs, Routers: Routers, Engines: size.Engines, Desks: size.Desks,
		EngineLimit: size.EngineLimit, DeskLimit: size.DeskLimit, EngineArgs: []string{"--token-time", "20ms"},
	}
	if s.Policy != "" {
		fleet.RouterArgs = []string{"--policy", s.Policy}
	}
	f, err := local.Start(fleet)
	if err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	defer f.Close()
	return observe(ctx, s, f)
}

func observe(ctx context.Context, s Settings, f *local.Fleet) (*Result, error) {
	steer, stop := context.WithCancel(ctx)
	defer stop()
	steered := make(chan error, 1)
	var load *tally.Result
	routers, err := Spend(f, func() error {
		go func() { steered <- operate(steer, s.Load, f) }()
		var err error
		load, err = drive.Run(ctx, s.Load.Plan(f))
		stop()
		if steerErr := <-steered; err == nil {
			err = steerErr
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	r := &Result{
		User: s.Site.Name, Case: s.Load.Case.String(), Policy: s.Policy, Seed: s.Load.Seed, Load: load, Routers: routers,
	}
	if s.Load.Case == works.Flooded {
		r.Flooder = works.Flooder(s.Site)
	}
	return r, r.readRecords(f)
}

// Spend gives what each router of a fleet spent while run ran.
func Spend(f *local.Fleet, run func() error) ([]Router, error) {
	before, err := spent(f)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	if err := run(); err != nil {
		return nil, err
	}
	took := time.Since(begin)
	after, err := spent(f)
	if err != nil {
		return nil, err
	}
	return difference(f, before, after, took), nil
}

// operate takes the first data centre out of service and brings it back.
func operate(ctx context.Context, l works.Load, f *local.Fleet) error {
	if l.Case != works.CentreOut {
		return nil
	}
	begin := time.Now()
	for _, step := range []publication{{l.Out(), f.Rules(f.Site.DataCentres[0])}, {l.Back(), f.Rules()}} {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(step.at - time.Since(begin)):
		}
		if _, err := f.Publish(step.text, ""); err != nil {
			return errors.Wrap(err, "publish rules")
		}
	}
	return nil
}

// publication is a rule file to publish at a time after the load's start.
type publication struct {
	at   time.Duration
	text string
}

// expense is what a router had spent at one time.
type expense struct {
	control int64
	use     usage.Use
}

func spent(f *local.Fleet) (map[string]expense, error) {
	uses, err := usage.Children()
	if err != nil {
		return nil, err
	}
	all := make(map[string]expense)
	for _, r := range f.Routers {
		status, err := r.Status()
		if err != nil {
			return nil, errors.Wrap(err, r.Name)
		}
		all[r.Name] = expense{control: status.ControlBytes, use: uses[r.Name]}
	}
	return all, nil
}

func difference(f *local.Fleet, before, after map[string]expense, took time.Duration) []Router {
	list := make([]Router, 0, len(f.Routers))
	for _, r := range f.Routers {
		b, a := before[r.Name], after[r.Name]
		list = append(list, Router{
			Name:         r.Name,
			ControlBytes: float64(a.control-b.control) / took.Seconds(),
			Processor:    (a.use.Processor - b.use.Processor).Seconds() / took.Seconds(),
			Resident:     a.use.Resident,
		})
	}
	return list
}

// readRecords takes in what the backend servers recorded.
func (r *Result) readRecords(f *local.Fleet) error {
	for _, s := range f.ServersOf(f.Site.Model) {
		record, err := s.EngineRecord()
		if err != nil {
			return errors.Wrap(err, s.Name)
		}
		r.Servers = append(r.Servers, Server{Name: s.Name, Limit: s.Limit, Peak: record.PeakOpen, Falls: record.Crashes})
	}
	runs := make(map[string]int)
	for _, s := range f.ServersOf(f.Site.Plain) {
		record, err := s.DeskRecord()
		if err != nil {
			return errors.Wrap(err, s.Name)
		}
		r.Servers = append(r.Servers, Server{Name: s.Name, Limit: s.Limit, Peak: record.PeakOpen})
		for _, run := range record.Runs {
			if run.Key != "" {
				runs[run.Key]++
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.RunTwice++
		}
	}
	return nil
}
