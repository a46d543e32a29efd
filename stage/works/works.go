package works

import (
	"time"

	"mangolug.org/loader/plan"
	"mangolug.org/stage/local"
)

//go:generate stringer -type=Case -linecomment -output=case_string.go

// Case is how the teams spread their requests.
type Case int

// Cases.
const (
	Balanced  Case = iota // balanced
	Skewed                // skewed
	Flooded               // flooded
	CentreOut             // centreOut
)

// Cases gives all cases.
func Cases() []Case { return []Case{Balanced, Skewed, Flooded, CentreOut} }

// Sizes of the loads.
const (
	requestTimeout = 20 * time.Second
	largeShare     = 10 // least share of a large team
	largeOpen      = 40 // open requests of a large team
	smallOpen      = 8  // open requests of a small team
	floodOpen      = 400
	wrongHint      = 10 // factor by which one team's hints are wrong
	plainRate      = 10 // plain calls a second
	window         = time.Second
)

// Load says what is to be put on a fleet.
type Load struct {
	Case   Case
	Seed   uint64
	Length time.Duration
	Warmup time.Duration
	Cut    bool // hang up at the end rather than wait for what is open
}

// Plan gives the plan for a fleet: every team backlogged on the model, and calls to the plain service beside it.
func (l Load) Plan(f *local.Fleet) *plan.Plan {
	p := &plan.Plan{
		Name: f.Site.Name + " " + l.Case.String(), Seed: l.Seed,
		CutAtEnd: l.Cut, DurationMillis: l.Length.Milliseconds(), WarmupMillis: l.Warmup.Milliseconds(), WindowMillis: window.Milliseconds(),
	}
	for _, r := range f.Routers {
		p.Targets = append(p.Targets, plan.Target{Name: r.Name, Address: r.Listen, Weight: 1})
	}
	for _, s := range f.Servers {
		server := plan.Server{Name: s.Name, Address: s.Listen, Product: s.Product, Limit: s.Limit}
		if l.Case == CentreOut && s.DataCentre == f.Site.DataCentres[0] {
			server.OutMillis, server.BackMillis = l.Out().Milliseconds(), l.Back().Milliseconds()
		}
		p.Servers = append(p.Servers, server)
	}
	for n, t := range f.Site.Teams {
		p.Loads = append(p.Loads, l.model(f, n, t))
	}
	for _, t := range f.Site.Teams[:2] {
		p.Loads = append(p.Loads, l.plain(f, t, "POST", f.Site.Once), l.plain(f, t, "GET", f.Site.Harmless+"1"))
	}
	return p
}

// Out says when the first data centre is taken out of service, from the load's start.
func (l Load) Out() time.Duration { return l.Warmup }

// Back says when it is brought back.
func (l Load) Back() time.Duration { return l.Warmup + (l.Length-l.Warmup)/2 }

// model gives one team's load on the model.
func (l Load) model(f *local.Fleet, n int, t local.Team) plan.Load {
	m := plan.Load{
		Team: t.Name, Key: t.Key(), Share: t.Share, Product: f.Site.Model, Concurrency: smallOpen,
		TimeoutMillis: requestTimeout.Milliseconds(), Stream: true,
		PromptTokens: plan.Range{Min: 50, Max: 200}, AnswerTokens: plan.Range{Min: 20, Max: 60},
	}
	if t.Share >= largeShare {
		m.Concurrency = largeOpen
	}
	if n == 1 {
		m.HintFactor = wrongHint
	}
	if l.Case == Skewed {
		m.Targets = map[string]float64{f.Routers[n%len(f.Routers)].Name: 1}
	}
	if l.Case == Flooded && t.Name == Flooder(f.Site) {
		m.Concurrency, m.IgnoreRetryAfter = floodOpen, true
	}
	return m
}

// plain gives one team's calls of the plain service, from the end of the warm-up on.
func (l Load) plain(f *local.Fleet, t local.Team, method, path string) plan.Load {
	return plan.Load{
		Team: t.Name, Key: t.Key(), Share: t.Share, Product: f.Site.Plain, Plain: true, Method: method, Path: path,
		ArrivalsPerSecond: plainRate, TimeoutMillis: requestTimeout.Milliseconds(), BodyBytes: 200,
		StartMillis: l.Warmup.Milliseconds(), IdempotencyKeys: method == "POST",
	}
}

// Flooder names the team that floods the fleet in the case Flooded.
func Flooder(s local.Site) string { return s.Teams[len(s.Teams)-1].Name }

// IsLarge says whether a team counts as large.
func IsLarge(share int) bool { return share >= largeShare }
