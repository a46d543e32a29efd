package plan

import (
	"testing"

	"github.com/pkg/errors"
)

func good() *Plan {
	return &Plan{
		DurationMillis: 1000,
		Targets:        []Target{{Name: "r1", Address: "127.0.0.1:8001", Weight: 1}},
		Loads: []Load{{
			Team: "carpenters", Share: 1, Product: "stain-llm", Concurrency: 1, TimeoutMillis: 1000, AnswerTokens: Range{Min: 1, Max: 2},
		}},
	}
}

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(p *Plan)
		faults int
	}{
		"good":               {change: func(*Plan) {}},
		"no duration":        {change: func(p *Plan) { p.DurationMillis = 0 }, faults: 1},
		"no targets":         {change: func(p *Plan) { p.Targets = nil }, faults: 1},
		"address elsewhere":  {change: func(p *Plan) { p.Targets[0].Address = "10.0.0.1:80" }, faults: 1},
		"both loops":         {change: func(p *Plan) { p.Loads[0].ArrivalsPerSecond = 1 }, faults: 1},
		"unknown target":     {change: func(p *Plan) { p.Loads[0].Targets = map[string]float64{"r9": 1} }, faults: 1},
		"plain without path": {change: func(p *Plan) { p.Loads[0].Plain = true }, faults: 1},
		"two faults":         {change: func(p *Plan) { p.DurationMillis = 0; p.Loads[0].Share = 0 }, faults: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := good()
			c.change(p)
			err := p.Check()
			var e *FaultsError
			if c.faults == 0 {
				if err != nil {
					t.Fatalf("refused: %v", err)
				}
				return
			}
			if !errors.As(err, &e) || len(e.Faults) != c.faults {
				t.Fatalf("got %v, want %d faults", err, c.faults)
			}
		})
	}
}
