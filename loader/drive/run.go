package drive

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"mangolug.org/loader/plan"
	"mangolug.org/loader/tally"
)

const (
	defaultMaxOpen = 1000
	defaultWindow  = time.Second
	samplePeriod   = 50 * time.Millisecond
	refusedPause   = 20 * time.Millisecond // least pause of a closed loop after a refusal
)

// run is one plan under way.
type run struct {
	plan   *plan.Plan
	client *http.Client
	start  time.Time
	counts []*tally.Load // one a load of the plan
}

// Run runs a plan until its duration is over and every open request has ended.
func Run(ctx context.Context, p *plan.Plan) (*tally.Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	r := &run{plan: p, client: newClient(), start: time.Now()}
	defer r.client.CloseIdleConnections()
	for _, l := range p.Loads {
		r.counts = append(r.counts, &tally.Load{Team: l.Team, Product: l.Product, Share: l.Share})
	}
	sampling, stop := context.WithTimeout(ctx, r.duration())
	defer stop()
	s := newSampler(r)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		s.collect(sampling)
	}()
	sending := ctx
	if p.CutAtEnd {
		sending = sampling
	}
	r.loads(sending)
	<-sampled
	return r.result(s), nil
}

func (r *run) duration() time.Duration {
	return time.Duration(r.plan.DurationMillis) * time.Millisecond
}

// loads starts all loads and waits for the last request's end.
func (r *run) loads(ctx context.Context) {
	var wait sync.WaitGroup
	for i := range r.plan.Loads {
		l := &r.plan.Loads[i]
		for worker := range l.Concurrency {
			wait.Go(func() { r.closed(ctx, i, worker) })
		}
		if l.ArrivalsPerSecond > 0 {
			wait.Go(func() { r.open(ctx, i) })
		}
	}
	wait.Wait()
}

// span gives the times between which a load sends.
func (r *run) span(l *plan.Load) (from, to time.Time) {
	stop := r.duration()
	if l.StopMillis > 0 {
		stop = min(stop, time.Duration(l.StopMillis)*time.Millisecond)
	}
	return r.start.Add(time.Duration(l.StartMillis) * time.Millisecond), r.start.Add(stop)
}

// closed sends one request after another.
func (r *run) closed(ctx context.Context, number, worker int) {
	l := &r.plan.Loads[number]
	m := newMaker(r.plan, l, number, worker)
	from, to := r.span(l)
	for pause(ctx, time.Until(from)) && time.Now().Before(to) {
		c := r.call(m, number, time.Now())
		if c == nil {
			return
		}
		c.do(ctx)
		rest := min(c.retry, time.Until(to))
		if c.retry > 0 && l.IgnoreRetryAfter {
			rest = refusedPause
		}
		if !pause(ctx, rest) {
			return
		}
	}
}

// open sends requests at seeded random times, whether earlier ones have ended or not.
func (r *run) open(ctx context.Context, number int) {
	l := &r.plan.Loads[number]
	m := newMaker(r.plan, l, number, 0)
	at, to := r.span(l)
	limit := l.MaxOpen
	if limit == 0 {
		limit = defaultMaxOpen
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		at = at.Add(time.Duration(m.random.ExpFloat64() / l.ArrivalsPerSecond * float64(time.Second)))
		if !at.Before(to) || !pause(ctx, time.Until(at)) {
			return
		}
		c := r.call(m, number, at)
		if c == nil {
			return
		}
		if r.counts[number].Open() >= limit {
			r.counts[number].Begin()
			r.counts[number].End(tally.End{Outcome: tally.OutcomeFailed, Reason: "loaderFull"}, false)
			continue
		}
		wait.Go(func() { c.do(ctx) })
	}
}

func (r *run) call(m *maker, number int, planned time.Time) *call {
	q, err := m.next()
	if err != nil {
		return nil
	}
	return &call{load: m.load, count: r.counts[number], client: r.client, request: q, planned: planned}
}

func (r *run) result(s *sampler) *tally.Result {
	result := &tally.Result{Plan: r.plan.Name, Seed: r.plan.Seed, DurationMillis: time.Since(r.start).Milliseconds()}
	window := defaultWindow
	if r.plan.WindowMillis > 0 {
		window = time.Duration(r.plan.WindowMillis) * time.Millisecond
	}
	for i, c := range r.counts {
		t := c.Report()
		t.Steady = s.series[i].Served()
		result.Teams = append(result.Teams, t)
	}
	for _, name := range r.products() {
		result.Products = append(result.Products, s.product(name, int(window/samplePeriod)))
	}
	result.Sum()
	return result
}

func (r *run) products() []string {
	seen := make(map[string]bool)
	var names []string
	for _, l := range r.plan.Loads {
		if !seen[l.Product] {
			seen[l.Product] = true
			names = append(names, l.Product)
		}
	}
	sort.Strings(names)
	return names
}

// pause waits, and gives false if the run was stopped meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
