package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/endpoint"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
	"mangolug.org/router/back"
)

// Headers exchanged with callers.
const (
	headerRequest = "X-Request-Id"
	headerTimeout = "X-Request-Timeout"
	headerKey     = "Idempotency-Key"
	headerReplay  = "Idempotency-Replayed"
)

// Front serves callers. Its function fields connect it to the control goroutine and must be set, except Note, Ready and Progress.
type Front struct {
	Self     string
	Rules    func() *conf.InForce                                                       // the configuration in force, or nil
	Ready    func() fleet.Reason                                                        // ReasonNone while the router accepts requests
	Admit    func(ctx context.Context, q entry.Request) entry.Verdict                   // blocks until the request is granted or refused
	Finish   func(v entry.Verdict, d fleet.Done)                                        // ends a grant
	Progress func(v entry.Verdict, cost int64)                                          // reports the cost of a grant so far
	OpenKey  func(ctx context.Context, team, key string, digest uint64) fleet.KeyAnswer // asks the key's home for permission to run
	CloseKey func(c fleet.KeyClose)                                                     // reports the outcome to the key's home
	Note     func(request, team, product string, s report.Step)                         // records a step for operators
	Clock    func() time.Duration                                                       // the clock of Verdict.Expires
	Client   *back.Client
	Log      *log.Logger
	Metrics  metrics.Registry
	Settings Settings

	once      sync.Once
	endpoint  endpoint.Endpoint
	open      openRequests
	budget    retryBudget
	estimates costEstimates
	stopping  context.Context // cancelled by Stop
	stop      context.CancelFunc
}

func (f *Front) init() {
	f.Settings.fill()
	f.stopping, f.stop = context.WithCancel(context.Background())
	f.endpoint = endpoint.Chain(f.readiness, f.authentication, f.teamLimit)(f.serve)
	if f.Client == nil {
		f.Client = &back.Client{}
	}
}

// Server returns an HTTP server for callers, configured from the settings. The address is left to set.
func (f *Front) Server() *http.Server {
	f.once.Do(f.init)
	return &http.Server{
		Handler:           f,
		MaxHeaderBytes:    f.Settings.HeaderBytes,
		ReadHeaderTimeout: f.Settings.ReadTimeout,
		IdleTimeout:       f.Settings.IdleTimeout,
	}
}

// Stop ends all open requests. Each caller gets a final answer that is correct about the outcome.
func (f *Front) Stop() {
	f.once.Do(f.init)
	f.stop()
}

// ServeHTTP serves one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.once.Do(f.init)
	c := &call{front: f, writer: w, request: r, control: http.NewResponseController(w), id: newID(), arrived: f.Clock()}
	w.Header().Set(headerRequest, c.id)
	f.count("requests")
	c.extendWriteDeadline() // the deadline set by an earlier request on this connection may have passed
	if !f.open.acquire(f.Settings.MaxOpen) {
		c.refuse(&Refusal{Reason: fleet.ReasonTooManyOpen, Shared: true, NotRun: !c.hasKey(), Message: "this router has too many requests open"})
		return
	}
	defer f.open.release()
	defer c.releaseBody()
	_, err := f.endpoint(r.Context(), c)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		c.refuse(refusal)
	}
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func (f *Front) count(name string) {
	if f.Metrics != nil {
		metrics.GetOrRegisterCounter(name, f.Metrics).Inc(1)
	}
}
