package drive

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"mangolug.org/loader/plan"
	"mangolug.org/loader/tally"
)

// loadReport is a backend server's own account of its load.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
}

// sampler notes service and waiting of all loads, and the load of all servers, once a period.
type sampler struct {
	run    *run
	series []tally.Series // one a load
	busy   map[string]*tally.Busy
}

func newSampler(r *run) *sampler {
	s := &sampler{run: r, busy: make(map[string]*tally.Busy)}
	for _, c := range r.counts {
		s.series = append(s.series, tally.Series{Team: c.Team, Share: c.Share})
	}
	for _, v := range r.plan.Servers {
		s.busy[v.Product] = &tally.Busy{}
	}
	return s
}

func (s *sampler) collect(ctx context.Context) {
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sample(ctx)
		}
	}
}

// warm says that the warm-up is over, so that samples count.
func (s *sampler) warm() bool {
	return time.Since(s.run.start) >= time.Duration(s.run.plan.WarmupMillis)*time.Millisecond
}

func (s *sampler) sample(ctx context.Context) {
	if !s.warm() {
		return
	}
	waiting := make(map[string]int)
	for i, c := range s.run.counts {
		service, least := c.Sample()
		s.series[i].Points = append(s.series[i].Points, tally.Point{Service: service, Waiting: least})
		waiting[c.Product] += least
	}
	reports := s.ask(ctx)
	if reports == nil {
		return
	}
	room := make(map[string]int)
	at := time.Since(s.run.start).Milliseconds()
	for i, v := range s.run.plan.Servers {
		if v.InService(at) {
			room[v.Product] += v.Limit - reports[i].Running
		}
	}
	for i, v := range s.run.plan.Servers {
		s.count(v, reports[i], v.InService(at) && waiting[v.Product] > room[v.Product])
	}
}

// count takes in one server's report; saturated says that more waited than there was room for.
func (s *sampler) count(v plan.Server, r loadReport, saturated bool) {
	b := s.busy[v.Product]
	open := r.Running + r.Waiting
	b.Peak = max(b.Peak, open)
	if open > v.Limit {
		b.OverLimit++
	}
	if saturated {
		b.Running += int64(min(open, v.Limit))
		b.Slots += int64(v.Limit)
		b.Samples++
	}
}

// ask gives all servers' reports, or nil if one failed.
func (s *sampler) ask(ctx context.Context) []loadReport {
	reports := make([]loadReport, len(s.run.plan.Servers))
	failed := make([]bool, len(reports))
	var wait sync.WaitGroup
	for i, v := range s.run.plan.Servers {
		wait.Go(func() { failed[i] = !s.askOne(ctx, v.Address, &reports[i]) })
	}
	wait.Wait()
	for _, f := range failed {
		if f {
			return nil
		}
	}
	return reports
}

func (s *sampler) askOne(ctx context.Context, address string, into *loadReport) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return false
	}
	answer, err := s.run.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	return json.NewDecoder(answer.Body).Decode(into) == nil
}

func (s *sampler) product(name string, window int) tally.Product {
	p := tally.Product{Product: name}
	var series []tally.Series
	for i, c := range s.run.counts {
		if c.Product == name {
			s.series[i].InFlight = c.InFlight()
			series = append(series, s.series[i])
			p.Service += c.Report().Service
		}
	}
	p.Gap = tally.GapOf(series, window)
	if b := s.busy[name]; b != nil {
		p.Utilisation, p.Samples, p.PeakRunning, p.OverLimit = b.Utilisation(), b.Samples, b.Peak, b.OverLimit
	}
	return p
}
