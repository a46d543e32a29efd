package trial

import (
	"sort"
	"time"

	"mangolug.org/loader/tally"
	"mangolug.org/stage/works"
)

// Figures are the measures of one trial.
type Figures struct {
	Gap          float64 `json:"gap"`          // largest in a window of 1 s, cost units over share
	GapAny       float64 `json:"gapAny"`       // largest over any time, cost units over share
	OfBound      float64 `json:"ofBound"`      // largest part of its bound that a pair's gap over any time reached
	Relative     float64 `json:"relative"`     // Gap over the pair's mean service in that window
	Utilisation  float64 `json:"utilisation"`  // busy slots over slots while work waits
	Small        float64 `json:"small"`        // seconds to the first byte, worst p95 of the small teams
	Large        float64 `json:"large"`        // seconds to the first byte, worst p95 of the large teams
	ControlBytes float64 `json:"controlBytes"` // a second, mean of the routers
	ControlPeak  float64 `json:"controlPeak"`  // a second, of the router that sent most
	Processor    float64 `json:"processor"`    // of one core, mean of the routers, requests included
	OverLimit    int     `json:"overLimit"`    // servers that had more open than their limit
	NotWhole     int64   `json:"notWhole"`     // answers
	RunTwice     int     `json:"runTwice"`     // idempotency keys
	Lost         int64   `json:"lost"`         // requests that were neither answered nor cut off by the end of the load
}

// Figures gives the measures on the model's product.
func (r *Result) Figures(model string) Figures {
	f := Figures{NotWhole: r.Load.NotWhole, RunTwice: r.RunTwice}
	for _, p := range r.Load.Products {
		if p.Product == model {
			f.Gap, f.GapAny, f.OfBound = p.Gap.Window, p.Gap.Any, p.Gap.OfBound
			f.Relative, f.Utilisation = p.Gap.Relative, p.Utilisation
		}
	}
	for _, t := range r.Load.Teams {
		f.Lost += t.Requests - t.Ends[tally.OutcomeAnswered.String()] - t.Ends[tally.OutcomeCut.String()]
		if t.Product != model || t.Team == r.Flooder {
			continue
		}
		wait := (time.Duration(t.FirstByte.P95) * time.Microsecond).Seconds()
		if works.IsLarge(t.Share) {
			f.Large = max(f.Large, wait)
		} else {
			f.Small = max(f.Small, wait)
		}
	}
	for _, v := range r.Routers {
		f.ControlBytes += v.ControlBytes / float64(len(r.Routers))
		f.Processor += v.Processor / float64(len(r.Routers))
		f.ControlPeak = max(f.ControlPeak, v.ControlBytes)
	}
	for _, s := range r.Servers {
		if s.Peak > s.Limit {
			f.OverLimit++
		}
	}
	return f
}

// Spread is the least, the median and the most of several runs.
type Spread struct {
	Least  float64 `json:"least"`
	Median float64 `json:"median"`
	Most   float64 `json:"most"`
}

// SpreadOf gives the spread of one figure over runs.
func SpreadOf(runs []Figures, figure func(f Figures) float64) Spread {
	values := make([]float64, 0, len(runs))
	for _, f := range runs {
		values = append(values, figure(f))
	}
	if len(values) == 0 {
		return Spread{}
	}
	sort.Float64s(values)
	return Spread{Least: values[0], Median: values[len(values)/2], Most: values[len(values)-1]}
}
