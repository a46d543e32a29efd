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

// Headers between callers and routers.
const (
	headerRequest = "X-Request-Id"
	headerTimeout = "X-Request-Timeout"
	headerKey     = "Idempotency-Key"
	headerReplay  = "Idempotency-Replayed"
)

// Front answers callers; its function fields lead to the control goroutine and must be set, but for Note, Ready and Progress.
type Front struct {
	Self     string
	Rules    func() *conf.InForce                                                       // nil while no configuration is in force
	Ready    func() fleet.Reason                                                        // ReasonNone when callers may be served
	Admit    func(ctx context.Context, q entry.Request) entry.Verdict                   // waits for a grant or a refusal
	Finish   func(v entry.Verdict, d fleet.Done)                                        // ends a grant
	Progress func(v entry.Verdict, cost int64)                                          // cost so far of a grant
	OpenKey  func(ctx context.Context, team, key string, digest uint64) fleet.KeyAnswer // asks a key's home
	CloseKey func(c fleet.KeyClose)                                                     // tells a key's home
	Note     func(request, team, product string, s report.Step)                         // records a step for operators
	Clock    func() time.Duration                                                       // the clock of Verdict.Expires
	Client   *back.Client
	Log      *log.Logger
	Metrics  metrics.Registry
	Settings Settings

	once     sync.Once
	endpoint endpoint.Endpoint
	open     openCount
	budget   budget
	habits   habits
	stopping context.Context // ends with Stop
	stop     context.CancelFunc
}

func (f *Front) init() {
	f.Settings.fill()
	f.stopping, f.stop = context.WithCancel(context.Background())
	f.endpoint = endpoint.Chain(f.readiness, f.authentication, f.bound)(f.serve)
	if f.Client == nil {
		f.Client = &back.Client{}
	}
}

// Server gives an HTTP server for callers with the limits of the settings; the caller sets its address.
func (f *Front) Server() *http.Server {
	f.once.Do(f.init)
	return &http.Server{
		Handler:           f,
		MaxHeaderBytes:    f.Settings.HeaderBytes,
		ReadHeaderTimeout: f.Settings.ReadTimeout,
		IdleTimeout:       f.Settings.IdleTimeout,
	}
}

// Stop ends all requests that are still open, each with a true last answer.
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
	c.extend() // the deadline that an earlier request on this connection left may have passed
	if !f.open.enter(f.Settings.Open) {
		c.refuse(&Refusal{Reason: fleet.ReasonTooManyOpen, Shared: true, NotRun: !c.named(), Message: "this router has too many requests open"})
		return
	}
	defer f.open.leave()
	defer c.release()
	_, err := f.endpoint(r.Context(), c)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		c.refuse(refusal)
		if refusal.abort {
			panic(http.ErrAbortHandler)
		}
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
