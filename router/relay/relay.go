package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
	"mangolug.org/router/back"
)

// Relay serves callers; Table, Gate, Client, Dialect and Clock must be set.
type Relay struct {
	Table    func() *route.Table // nil while no configuration is known
	Gate     *Gate
	Client   *back.Client
	Dialect  Dialect
	Clock    func() time.Duration
	Leaving  func() (time.Duration, bool) // the time until requests are cut, once the process stops; nil for never
	Crowded  func() bool                  // callers have too many connections open, and are asked to close theirs; nil for never
	Full     func(l Load) bool            // a request is to be turned away, with so many others open: the router lacks room or processor; nil for never
	BodyRoom func() int64                 // bytes that callers' bodies may take in all; nil or 0 for no bound
	Moved    func() time.Duration         // how long until new connections of callers reach other routers, 0 if they do now; nil for now
	Gone     func(r *http.Request) bool   // its caller has closed its connection; nil for never
	Budgets  pool.Budgets                 // guarded by the gate
	Log      *log.Logger
	Metrics  metrics.Registry
	Stopping context.Context // ends when requests that still run have to be cut; nil for never

	lengths lengths
	away    away
	open    open
	bodies  bodies
}

// Open gives how many requests are served now.
func (s *Relay) Open() int { return s.open.count() }

const (
	// bodyTime bounds how long a caller may take over its body.
	bodyTime = 5 * time.Second
	// bodyAhead bounds what is set aside for a body before it comes, in bytes: a caller may announce more than it sends.
	bodyAhead = 64 << 10
	// bodyRoomAfter is the advice to come back while bodies take all their room: about the time in which requests end.
	bodyRoomAfter = time.Second
	// defaultBody bounds a body while the configuration gives no limit, in bytes.
	defaultBody = 4 << 20
	// answerBytes bounds an answer of a plain service that is held until it is whole.
	answerBytes = 4 << 20
	// defaultLeft is the deadline of a request that names none.
	defaultLeft = 30 * time.Second
	// defaultOutput is how many tokens are expected of a request that says nothing.
	defaultOutput = 128
	// notReadyAfter is the advice to come back while there is no configuration.
	notReadyAfter = 300 * time.Millisecond
)

// ServeHTTP serves one request of a caller.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{relay: s, writer: w, request: r, arrived: s.Clock()}
	s.count("requests")
	defer c.leave()
	left, leaving := s.leaving()
	if leaving || s.Crowded != nil && s.Crowded() {
		w.Header().Set("Connection", "close")
	}
	if e := c.prepare(); e != nil {
		c.refuse(e)
		return
	}
	if leaving && (left <= 0 || s.lengths.mean(c.route.Name) > left) {
		c.refuse(&refusal{reason: fleet.ReasonDraining, status: http.StatusServiceUnavailable, after: stoppedAfter, detail: "this router stops"})
		return
	}
	ctx, cancel := c.context()
	defer cancel()
	if e := c.run(ctx); e != nil {
		c.refuse(e)
	}
}

// leaving gives the time in which a request can still end, once the process stops.
func (s *Relay) leaving() (time.Duration, bool) {
	if s.Leaving == nil {
		return 0, false
	}
	return s.Leaving()
}

func (s *Relay) count(name string) {
	if s.Metrics != nil {
		metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
	}
}

// observe adds to a latency histogram, in milliseconds.
func (s *Relay) observe(name string, d time.Duration) {
	if s.Metrics != nil {
		sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(samples, sampleAlpha)) }
		metrics.GetOrRegister(name, sample).(metrics.Histogram).Update(d.Milliseconds())
	}
}

// samples and sampleAlpha are go-metrics' own advice for a sample of the last five minutes.
const (
	samples     = 1028
	sampleAlpha = 0.015
)

// again draws one more sending of a request from the budget.
func (s *Relay) again(service string) bool {
	ok := false
	s.Gate.With(func(now time.Duration, p *pool.Pool) { ok = s.Budgets.Take(now, service, len(p.Routers)+1) })
	return ok
}

func (s *Relay) first(service string) {
	s.Gate.With(func(now time.Duration, _ *pool.Pool) { s.Budgets.First(now, service) })
}

// reasonCounter is the counter of a refusal.
func reasonCounter(r fleet.Reason) string { return "refused." + r.String() }
