package proc

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
	"mangolug.org/router/admin"
	"mangolug.org/router/back"
	"mangolug.org/router/door"
	"mangolug.org/router/guard"
	"mangolug.org/router/relay"
	"mangolug.org/router/share"
)

const (
	// memoryShare is the part of the memory limit at which garbage collection works harder; the rest is for sockets' bytes.
	memoryShare = 0.7
	// silence is how long a backend server or the platform may acknowledge nothing before a connection is given up.
	silence = 2 * time.Second
	// connectTimeout is how long a connection to a backend server may take: some round trips and one lost packet.
	connectTimeout = 700 * time.Millisecond
	// headerTimeout bounds how long a caller may take over a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection may stay unused where the configuration gives no bound.
	idleTimeout = 60 * time.Second
	// serverIdle is how long an unused connection to a backend server is kept: each router sends to each of many servers rarely,
	// and a connection that is long unused may have been dropped at the other end.
	serverIdle = 4 * time.Second
	// serverOnceIdle is the same for a call that may not be repeated: the shorter, the less likely the other end dropped it.
	serverOnceIdle = 2 * time.Second
	// headerBytes bounds a request's header before a configuration is known.
	headerBytes = 64 << 10
)

// Process is a router process; New makes one and Run serves.
type Process struct {
	settings   atomic.Pointer[Settings]
	source     Source
	log        *log.Logger
	lines      *logWriter
	registry   metrics.Registry
	began      time.Time
	table      atomic.Pointer[route.Table]
	gate       *relay.Gate
	relay      *relay.Relay
	entrance   door.Entrance
	ready      net.Listener
	metrics    net.Listener     // nil if there is none
	peers      net.PacketConn   // nil if there is none
	share      *share.Exchanger // nil if there is none
	relayed    string           // the router that told the sum of the others' loads when that was logged last
	crowd      atomic.Bool      // requests take most of the room: the balancer is to send callers elsewhere
	lag        atomic.Int64     // how long goroutines wait for the processor, a moving mean in nanoseconds
	limit      limit            // of requests that are served at once
	misses     atomic.Int32     // times in a row that the balancer was told that this router is not ready
	leaving    atomic.Int64     // when the signal to stop came, on the clock of now; 0 while it did not
	sourceLost atomic.Bool
	news       chan struct{} // another router told of a newer state of the platform
	cut        context.CancelFunc
}

// New opens the listeners and wires a process; its error names the setting that can't be met.
func New(s Settings, d relay.HeaderCodec, source Source) (*Process, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	}
	p := &Process{source: source, registry: metrics.NewRegistry(), began: time.Now(), news: make(chan struct{}, 1)}
	p.settings.Store(&s)
	p.lines = newLogWriter(os.Stdout)
	metrics.NewRegisteredFunctionalGauge("logDropped", p.registry, p.lines.dropped.Load)
	p.log = log.NewWithOptions(p.lines, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	}).With("router", s.Name)
	if err := p.open(); err != nil {
		return nil, err
	}
	p.gate = &relay.Gate{
		Clock: p.now,
		Pool:  &pool.Pool{Self: s.Control, DataCentre: s.DataCentre, OnEvent: p.believe},
	}
	_, requests := s.room()
	p.limit.valve.InitialLimit = int(startShare * float64(requests))
	if p.peers != nil {
		p.share = p.newShare()
	}
	stopping, cut := context.WithCancel(context.Background())
	p.cut = cut
	p.relay = &relay.Relay{
		Table: p.table.Load, Gate: p.gate, Dialect: d, Clock: p.now, DrainRemaining: p.left, TooManyConnections: p.crowded, Overloaded: p.full, BodyLimit: p.bodyRoom, RebalanceDelay: p.moved, CallerGone: gone, Log: p.log, Metrics: p.registry,
		Client:   &back.Client{Settings: back.Settings{UnackedTimeout: silence, ConnectTimeout: connectTimeout, IdleTimeout: serverIdle, NonIdempotentIdle: serverOnceIdle}},
		Budgets:  pool.RetryBudgets{Ratio: s.Ratio, Slack: s.Slack},
		Stopping: stopping,
	}
	return p, nil
}

func (p *Process) open() error {
	s := p.settings.Load()
	front, err := door.Listen(s.Front, s.backlog())
	if err != nil {
		return errors.Wrapf(err, "front address %s can't be opened", s.Front)
	}
	p.entrance.Door = door.New(front)
	p.entrance.Door.Full = p.overfull
	if p.ready, err = net.Listen("tcp", s.Ready); err != nil {
		return errors.Wrapf(err, "readiness address %s can't be opened", s.Ready)
	}
	if s.Control != "" {
		if p.peers, err = net.ListenPacket("udp", s.Control); err != nil {
			return errors.Wrapf(err, "control address %s can't be opened", s.Control)
		}
	}
	if s.Metrics == "" {
		return nil
	}
	p.metrics, err = net.Listen("tcp", s.Metrics)
	return errors.Wrapf(err, "metrics address %s can't be opened", s.Metrics)
}

// now is the steady clock of all decisions.
func (p *Process) now() time.Duration { return time.Since(p.began) }

// believe logs a change of what is believed of a backend server.
func (p *Process) believe(e pool.Event) {
	p.count("servers." + e.Kind)
	p.log.Info("server", "server", e.Server, "service", e.Service, "is", e.Kind, "detail", e.Detail)
}

func (p *Process) count(name string) { metrics.GetOrRegisterCounter(name, p.registry).Inc(1) }

// serving reports whether callers can be served.
func (p *Process) serving() bool {
	if p.leaving.Load() != 0 || p.table.Load() == nil {
		return false
	}
	serving := false
	p.gate.With(func(_ time.Duration, q *pool.Pool) { serving = q.Serving() })
	return serving
}

func (p *Process) readiness(w http.ResponseWriter, _ *http.Request) {
	p.lookAtCrowd()
	if !p.serving() || p.crowd.Load() {
		p.misses.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.misses.Store(0)
	_, _ = io.WriteString(w, "ready\n") // the balancer reads only the status
}

// Run serves until stop ends and then stops gracefully; a nil error means that the stop was clean.
func (p *Process) Run(stop context.Context) error {
	s := p.settings.Load()
	p.log.Info("starting", "dataCentre", s.DataCentre, "front", s.Front, "seeds", len(s.Seeds))
	work, end := context.WithCancel(context.Background())
	defer end()
	callers := &http.Server{
		Handler: p.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ConnState: p.entrance.Conns.Note, ConnContext: door.WithConn, ErrorLog: p.log.StandardLog(),
	}
	failed := make(chan error, 1)
	go func() { failed <- p.tree(callers).Run(work) }()
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	return p.stop(callers)
}

func (p *Process) tree(callers *http.Server) *guard.Tree {
	ready := &http.Server{Handler: http.HandlerFunc(p.readiness), ReadHeaderTimeout: headerTimeout}
	children := []guard.Child{
		{Name: "callers", Critical: true, Run: func(ctx context.Context) error { return door.Serve(ctx, callers, p.entrance.Door) }},
		{Name: "readiness", Critical: true, Run: func(ctx context.Context) error { return door.Serve(ctx, ready, p.ready) }},
		{Name: "source", Run: func(ctx context.Context) error { return p.source(ctx, p.taker()) }},
		{Name: "usage", Run: p.tellUsage},
		{Name: "connections", Run: p.keepCallers},
		{Name: "lag", Run: p.measureLag},
	}
	if p.metrics != nil {
		scrapers := &http.Server{Handler: admin.Scrape(p.registry), ReadHeaderTimeout: headerTimeout}
		children = append(children, guard.Child{Name: "metrics", Run: func(ctx context.Context) error { return door.Serve(ctx, scrapers, p.metrics) }})
	}
	if p.peers != nil {
		children = append(children, guard.Child{Name: "peers", Run: p.share.Run})
	}
	return &guard.Tree{Name: "router", Log: p.log, Metrics: p.registry, Children: children}
}
