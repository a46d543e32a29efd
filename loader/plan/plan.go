package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Plan is one run of load.
type Plan struct {
	Name           string   `json:"name"`
	Seed           uint64   `json:"seed"`
	DurationMillis int64    `json:"durationMillis"`
	CutAtEnd       bool     `json:"cutAtEnd"`     // hang up on what is open when the duration is over, rather than wait for it
	WarmupMillis   int64    `json:"warmupMillis"` // at the start, left out of the fairness gap and of utilisation
	WindowMillis   int64    `json:"windowMillis"` // length of a window of the fairness gap; 0 for 1000
	Targets        []Target `json:"targets"`
	Servers        []Server `json:"servers"` // asked for their load, to work out utilisation
	Loads          []Load   `json:"loads"`
}

// Target is a router that takes requests.
type Target struct {
	Name    string  `json:"name"`
	Address string  `json:"address"` // loopback ip:port
	Weight  float64 `json:"weight"`
	Direct  bool    `json:"direct"` // a backend server rather than a router
}

// Server is a backend server whose load report is sampled.
type Server struct {
	Name    string `json:"name"`
	Address string `json:"address"` // loopback ip:port
	Product string `json:"product"`
	Limit   int    `json:"limit"` // its ceiling in the rule file

	OutMillis  int64 `json:"outMillis"`  // when it goes out of service, 0 for never; its slots do not count meanwhile
	BackMillis int64 `json:"backMillis"` // when it is back
}

// InService says whether the server is in service so many milliseconds after the start.
func (s *Server) InService(millis int64) bool {
	return s.OutMillis == 0 || millis < s.OutMillis || millis >= s.BackMillis
}

// Range is a span of whole numbers, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Load is what one team asks of one product.
type Load struct {
	Team              string             `json:"team"`
	Key               string             `json:"key"`
	Share             int                `json:"share"`
	Product           string             `json:"product"`
	Plain             bool               `json:"plain"`             // a plain service in place of a model
	ArrivalsPerSecond float64            `json:"arrivalsPerSecond"` // open loop
	Concurrency       int                `json:"concurrency"`       // closed loop
	MaxOpen           int                `json:"maxOpen"`           // bound on open requests of an open loop; 0 for 1000
	StartMillis       int64              `json:"startMillis"`
	StopMillis        int64              `json:"stopMillis"` // 0 for the end of the run
	TimeoutMillis     int64              `json:"timeoutMillis"`
	Targets           map[string]float64 `json:"targets"` // weight by target; empty for the plan's weights

	Stream       bool  `json:"stream"`
	PromptTokens Range `json:"promptTokens"`
	AnswerTokens Range `json:"answerTokens"`
	Prefixes     int   `json:"prefixes"`   // distinct prompt beginnings; 0 for none in common
	HintFactor   int   `json:"hintFactor"` // max_tokens over the tokens that come; 0 for 1

	Method          string `json:"method"`
	Path            string `json:"path"` // below the product's name
	BodyBytes       int    `json:"bodyBytes"`
	IdempotencyKeys bool   `json:"idempotencyKeys"`

	IgnoreRetryAfter bool `json:"ignoreRetryAfter"` // ask again at once after a refusal
}

// FaultsError lists everything that is wrong with a plan.
type FaultsError struct {
	Faults []string
}

// Error gives the faults, one a line.
func (e *FaultsError) Error() string { return "plan refused:\n  " + strings.Join(e.Faults, "\n  ") }

// Read reads and checks a plan file.
func Read(name string) (*Plan, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	p := &Plan{}
	if err := d.Decode(p); err != nil {
		return nil, errors.Wrapf(err, "read plan %s", name)
	}
	return p, p.Check()
}

// Check gives a *FaultsError if the plan cannot be run.
func (p *Plan) Check() error {
	e := &FaultsError{}
	e.unless(p.DurationMillis > 0, "durationMillis is %d: give a positive number of milliseconds", p.DurationMillis)
	e.unless(len(p.Targets) > 0, "targets is empty: give at least one router")
	names := make(map[string]bool)
	for _, t := range p.Targets {
		e.unless(!names[t.Name], "target %q is named twice", t.Name)
		names[t.Name] = true
		e.loopback("target", t.Name, t.Address)
		e.unless(t.Weight >= 0, "target %q has weight %g: give 0 or more", t.Name, t.Weight)
	}
	for _, s := range p.Servers {
		e.loopback("server", s.Name, s.Address)
	}
	for _, l := range p.Loads {
		e.load(l, names)
	}
	if len(e.Faults) > 0 {
		return e
	}
	return nil
}

func (e *FaultsError) load(l Load, targets map[string]bool) {
	who := l.Team + " on " + l.Product
	e.unless(l.Team != "" && l.Product != "", "load %q lacks a team or a product", who)
	e.unless((l.ArrivalsPerSecond > 0) != (l.Concurrency > 0),
		"load %q: give either arrivalsPerSecond (open loop) or concurrency (closed loop)", who)
	e.unless(l.TimeoutMillis > 0, "load %q: timeoutMillis is %d: give a positive number of milliseconds", who, l.TimeoutMillis)
	e.unless(l.Share > 0, "load %q: share is %d: give the share of the rule file", who, l.Share)
	e.unless(l.PromptTokens.Min <= l.PromptTokens.Max && l.AnswerTokens.Min <= l.AnswerTokens.Max, "load %q: a range's min is above its max", who)
	e.unless(l.Plain || l.AnswerTokens.Min > 0, "load %q: answerTokens.min is %d: give at least 1", who, l.AnswerTokens.Min)
	e.unless(!l.Plain || strings.HasPrefix(l.Path, "/"), "load %q: path %q does not begin with /", who, l.Path)
	for name := range l.Targets {
		e.unless(targets[name], "load %q: target %q is not in targets", who, name)
	}
}

func (e *FaultsError) loopback(what, name, address string) {
	a, err := netip.ParseAddrPort(address)
	e.unless(err == nil && a.Addr().IsLoopback(), "%s %q: address %q is not a loopback ip:port", what, name, address)
}

func (e *FaultsError) unless(ok bool, format string, args ...any) {
	if !ok {
		e.Faults = append(e.Faults, fmt.Sprintf(format, args...))
	}
}
