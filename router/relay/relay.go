package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/core/resume"
	"mangolug.org/core/route"
	"mangolug.org/router/back"
)

// Relay is the HTTP handler for callers. Table, Gate, Client, Dialect and Clock must be set.
type Relay struct {
	Table              func() *route.Table // returns nil while no configuration is known
	Gate               *Gate
	Client             *back.Client
	HeaderCodec        HeaderCodec
	Clock              func() time.Duration
	DrainRemaining     func() (time.Duration, bool) // returns the time until requests are cut and whether the process is stopping; nil means that it never stops
	RefusesNew         func() bool                  // reports whether the process is stopping and callers had time to notice; nil means that it never stops
	TooManyConnections func() bool                  // reports whether callers have too many open connections and are asked to close theirs; nil means never
	Overloaded         func(l Load) bool            // reports whether a request must be shed at this load, as the router lacks memory or processor time; nil means never
	BodyLimit          func() int64                 // returns the limit on the bytes of all callers' bodies held; nil or 0 means no limit
	AnswersLimit       func() int64                 // returns the limit on the bytes of all servers' answers held until they are complete; nil or 0 means no limit
	RebalanceDelay     func() time.Duration         // returns the time until new connections of callers reach other routers; nil or 0 means that they already do
	ConfigOverdue      func() bool                  // reports whether changes are known to exist that have not arrived in time; nil means never
	CallerGone         func(r *http.Request) bool   // reports whether the caller has closed its connection; nil means never
	Streams            *resume.Register             // knows at which software versions callers' streams began; nil means that only a sole version is known
	Budgets            pool.RetryBudgets            // guarded by Gate
	Log                *log.Logger
	Metrics            metrics.Registry
	Stopping           context.Context // done when requests that still run must be cut; nil means never

	durations        routeDurations
	shedCounter      shedCounter
	overShareCounter shedCounter
	oddHeaders       logInterval
	refusedUnread    atomic.Int64
	served           atomic.Int64
	open             openCounter
	bodies           bodies
	answers          heldAnswers
}

// OpenRequests returns the number of requests being served.
func (s *Relay) OpenRequests() int { return s.open.count() }

// RefusedUnread returns the number of requests refused so far before their bodies were read.
func (s *Relay) RefusedUnread() int64 { return s.refusedUnread.Load() }

// Served returns the number of requests so far that were sent to a server and have ended.
func (s *Relay) Served() int64 { return s.served.Load() }

const (
	// bodyReadTimeout is how long a caller may take to send its body.
	bodyReadTimeout = 5 * time.Second
	// bodyPreallocLimit is the most memory in bytes allocated for a body in advance, as a caller may announce more than it sends.
	bodyPreallocLimit = 64 << 10
	// bodiesFullRetryAfter is the Retry-After while held bodies reach their limit: about the time in which requests end.
	bodiesFullRetryAfter = time.Second
	// defaultBodyLimit is the largest body in bytes if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
	// answerLimit is the largest answer in bytes of a plain service, which is buffered until it is complete.
	answerLimit = 4 << 20
	// defaultTimeout is the timeout of a request that specifies none.
	defaultTimeout = 30 * time.Second
	// defaultOutput is the expected number of output tokens of a request that specifies none.
	defaultOutput = 128
	// notReadyRetryAfter is the Retry-After while there is no configuration.
	notReadyRetryAfter = 300 * time.Millisecond
)

// ServeHTTP serves a caller's request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{relay: s, writer: w, request: r, arrived: s.Clock()}
	s.count("requests")
	defer c.release()
	if _, draining := s.draining(); draining || s.TooManyConnections != nil && s.TooManyConnections() {
		w.Header().Set("Connection", "close")
	}
	if e := c.prepare(); e != nil {
		c.refuse(e)
		return
	}
	if s.RefusesNew != nil && s.RefusesNew() {
		c.refuse(c.stopRefusal("this router stops"))
		return
	}
	ctx, cancel := c.context()
	defer cancel()
	if e := c.resumeStream(ctx); e != nil {
		c.refuse(e)
		return
	}
	if e := c.run(ctx); e != nil {
		c.refuse(e)
	}
}

// draining returns the time left for requests to end and whether the process is stopping.
func (s *Relay) draining() (time.Duration, bool) {
	if s.DrainRemaining == nil {
		return 0, false
	}
	return s.DrainRemaining()
}

func (s *Relay) count(name string) {
	if s.Metrics != nil {
		metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
	}
}

// observe adds a duration to a latency histogram in milliseconds.
func (s *Relay) observe(name string, d time.Duration) { s.observeValue(name, d.Milliseconds()) }

// observeValue adds a value to a histogram.
func (s *Relay) observeValue(name string, value int64) {
	if s.Metrics != nil {
		sample := func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		}
		metrics.GetOrRegister(name, sample).(metrics.Histogram).Update(value)
	}
}

// oddHeaderInterval is the least time between two log lines on odd headers: a server may send one with each response.
const oddHeaderInterval = time.Second

// logInterval limits log lines to one per oddHeaderInterval.
type logInterval struct {
	last atomic.Int64 // time of the last line in Unix nanoseconds; 0 for none
}

// due reports whether a line may be written now, and records it.
func (l *logInterval) due(now time.Time) bool {
	last := l.last.Load()
	return now.UnixNano()-last >= int64(oddHeaderInterval) && l.last.CompareAndSwap(last, now.UnixNano())
}

// sampleSize and sampleAlpha are the values that go-metrics recommends for a sample of the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// takeRetry takes one retry from the service's budget and reports whether there was one.
func (s *Relay) takeRetry(service string) bool {
	ok := false
	s.Gate.With(func(now time.Duration, p *pool.Pool) { ok = s.Budgets.AllowRetry(now, service, len(p.Peers)+1) })
	return ok
}

func (s *Relay) countFirstSend(service string) {
	s.Gate.With(func(now time.Duration, _ *pool.Pool) { s.Budgets.CountRequest(now, service) })
}

// refusalCounter returns the name of the counter for a refusal reason.
func refusalCounter(r fleet.Reason) string { return "refused." + r.String() }

// eventIDCounter returns the name of the counter for events whose ids are not in order.
func eventIDCounter(s IDStep) string { return "eventIds." + s.String() }
