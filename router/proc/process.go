package proc

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/ready"
	"mangolug.org/core/resume"
	"mangolug.org/core/route"
	"mangolug.org/router/admin"
	"mangolug.org/router/back"
	"mangolug.org/router/door"
	"mangolug.org/router/guard"
	"mangolug.org/router/relay"
	"mangolug.org/router/share"
)

const (
	// memoryShare is the fraction of the memory limit that is set as the soft limit of the garbage collector; the rest is for
	// socket buffers.
	memoryShare = 0.7
	// programBytes is the memory of the program itself (16 MB) and of what the garbage collector does not count. It bounds the soft limit on machines
	// of less than 80 MB.
	programBytes = 24 << 20
	// ackTimeout is how long a backend server or the platform may leave data unacknowledged before the connection is closed.
	ackTimeout = 2 * time.Second
	// connectTimeout bounds connecting to a backend server: some round trips and one lost packet.
	connectTimeout = 700 * time.Millisecond
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection may stay idle if the configuration sets no limit.
	idleTimeout = 60 * time.Second
	// serverIdleTimeout is how long an idle connection to a backend server is kept: each router sends to each of many servers
	// rarely, and a connection that has been idle for long may have been dropped at the other end.
	serverIdleTimeout = 4 * time.Second
	// nonIdempotentIdleTimeout is the same for a call that must not be retried: the shorter it is, the less likely the other end has
	// dropped the connection.
	nonIdempotentIdleTimeout = 2 * time.Second
	// maxHeaderBytes bounds a request's header until there is a configuration with a limit.
	maxHeaderBytes = 64 << 10
)

// Process is a router process; create it with New and start it with Run.
type Process struct {
	settings        atomic.Pointer[Settings]
	source          Source
	log             *log.Logger
	lines           *logWriter
	registry        metrics.Registry
	began           time.Time
	table           atomic.Pointer[route.Table]
	gate            *relay.Gate
	relay           *relay.Relay
	entrance        door.Entrance
	ready           *door.Side
	metrics         *door.Side       // nil if there is none
	largeHeads      atomic.Int64     // approximate memory in bytes of the large heads of requests in progress
	blockedClosedAt atomic.Int64     // when answers that are not read were last searched for, on the clock of now
	closedClients   atomic.Int64     // clients that were closed or refused since they were last logged
	peers           net.PacketConn   // nil if there is none
	exchanger       *share.Exchanger // nil if there is none
	learned         atomic.Bool      // the servers were asked for their runs
	streams         *resume.Register // software versions at which callers' streams began
	lastRelay       string           // the router that sent the sum of the others' loads when it was last logged
	overloaded      atomic.Bool      // reported to the balancer as not ready, so that it sends callers elsewhere
	overloadMutex   sync.Mutex       // guards the decider
	decider         ready.Decider    // of when the router is ready again
	away            atomic.Bool      // reported to the balancer as not ready although it isn't overloaded
	lag             atomic.Int64     // how long goroutines wait for the processor, a moving average in nanoseconds
	limit           limiter          // of concurrent requests
	failedProbes    atomic.Int32     // consecutive readiness probes that were answered as not ready
	stoppingAt      atomic.Int64     // time of the signal to stop, on the clock of now; 0 before it
	cutsAt          atomic.Int64     // when a stopping process cuts the requests that still run, on the clock of now; 0 before the signal
	sourceLost      atomic.Bool
	overdue         atomic.Bool                     // another router announced changes that have not arrived in time
	newerState      chan struct{}                   // signals the source that another router has a newer state of the platform, or that a read is wanted
	applied         atomic.Pointer[digest.Position] // up to which all changes of the platform's state are applied; nil before the first
	reads           reads
	outages         digest.Outages // of the platform, if there are no other routers; for the goroutine of the source
	cancelRequests  context.CancelFunc
	balance         balanceLog // for the goroutine of the connections
}

// New opens the listeners and returns a Process that is ready to run; its error names the setting that can't be used.
func New(s Settings, d relay.HeaderCodec, source Source) (*Process, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Memory > 0 {
		limit := int64(memoryShare * float64(s.Memory))
		debug.SetMemoryLimit(max(min(limit, s.Memory-programBytes), limit/2))
	}
	p := &Process{source: source, registry: metrics.NewRegistry(), began: time.Now(), newerState: make(chan struct{}, 1)}
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
		Pool:  &pool.Pool{Self: s.Control, DataCentre: s.DataCentre, OnEvent: p.logEvent, OnVersion: p.severalVersions, OnEvacuation: p.logEvacuation},
	}
	_, requests := s.room()
	p.limit.valve.InitialLimit = int(initialShare * float64(requests))
	p.streams = &resume.Register{Clock: p.now, Versions: p.serviceVersions}
	if p.peers != nil {
		p.exchanger = p.newExchanger()
		p.streams.Recent = p.startedRouters
		p.streams.Self, p.streams.Known = s.Control, p.knownRouters
		p.streams.Routers, p.streams.Send, p.streams.Refresh = p.liveRouters, p.exchanger.SendStreams, p.refresh
	}
	stopping, cut := context.WithCancel(context.Background())
	p.cancelRequests = cut
	p.relay = &relay.Relay{
		Table: p.table.Load, Gate: p.gate, HeaderCodec: d, Clock: p.now, DrainRemaining: p.drainRemaining, RefusesNew: p.refusesNew, TooManyConnections: p.connsOverLimit, Overloaded: p.rejects, BodyLimit: p.bodyLimit, AnswersLimit: p.answersLimit, RebalanceDelay: p.untilRedirected, ConfigOverdue: p.overdue.Load, CallerGone: callerGone, Log: p.log, Metrics: p.registry,
		Client:   &back.Client{Settings: back.Settings{UnackedTimeout: ackTimeout, ConnectTimeout: connectTimeout, IdleTimeout: serverIdleTimeout, NonIdempotentIdle: nonIdempotentIdleTimeout}},
		Streams:  p.streams,
		Budgets:  pool.RetryBudgets{Ratio: s.RetryRatio, Slack: s.RetrySlack},
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
	p.entrance.Door.AtCapacity = p.refuseConn
	p.entrance.Door.Heads = p.newHeads()
	if p.ready, err = p.openSide("readiness", s.Readiness, http.HandlerFunc(p.readiness)); err != nil {
		return err
	}
	if s.Control != "" {
		if p.peers, err = net.ListenPacket("udp", s.Control); err != nil {
			return errors.Wrapf(err, "control address %s can't be opened", s.Control)
		}
	}
	if s.Metrics == "" {
		return nil
	}
	p.metrics, err = p.openSide("metrics", s.Metrics, admin.Scrape(p.registry))
	return err
}

// now returns the monotonic time since the process began, on which all decisions are based.
func (p *Process) now() time.Duration { return time.Since(p.began) }

// logEvent logs and counts a change of the estimated state of a backend server, or of a prompt part or request that may crash servers.
func (p *Process) logEvent(e pool.Event) {
	if e.Subject != "" {
		kind := e.SubjectKind.String()
		p.count(kind + "s." + e.Kind)
		p.log.Warn(kind, kind, e.Subject, "service", e.Service, "is", e.Kind, "detail", e.Detail)
		return
	}
	p.count("servers." + e.Kind)
	p.log.Info("server", "server", e.Server, "service", e.Service, "is", e.Kind, "detail", e.Detail)
}

func (p *Process) count(name string) { metrics.GetOrRegisterCounter(name, p.registry).Inc(1) }

// serving reports whether the process has a configuration and a usable server, and is not stopping.
func (p *Process) serving() bool {
	if p.stoppingAt.Load() != 0 || p.table.Load() == nil {
		return false
	}
	serving := false
	p.gate.With(func(_ time.Duration, q *pool.Pool) { serving = q.Serving() })
	return serving
}

func (p *Process) readiness(w http.ResponseWriter, _ *http.Request) {
	p.updateOverload()
	serving, overloaded, away := p.serving(), p.overloaded.Load(), p.away.Load()
	if !serving || overloaded || away {
		switch {
		case overloaded:
			p.count("unready.overloaded")
		case away:
			p.count("unready.away")
		}
		p.failedProbes.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.failedProbes.Store(0)
	_, _ = io.WriteString(w, "ready\n") // the balancer reads only the status
}

// Run serves until stop is done and then stops gracefully; it returns nil if no request was cut.
func (p *Process) Run(stop context.Context) error {
	s := p.settings.Load()
	p.log.Info("starting", "dataCentre", s.DataCentre, "front", s.Front, "seeds", len(s.Seeds))
	work, end := context.WithCancel(context.Background())
	defer end()
	callers := &http.Server{
		Handler: http.HandlerFunc(p.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: -1, MaxHeaderBytes: headBytesLimit, // the limit in force is p.headBytes; maintainConns closes idle connections
		ConnState: p.entrance.Conns.TrackState, ConnContext: door.WithConn, ErrorLog: p.log.StandardLog(),
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
	children := []guard.Child{
		{Name: "callers", Critical: true, Run: func(ctx context.Context) error { return door.Serve(ctx, callers, p.entrance.Door) }},
		{Name: "readiness", Critical: true, Run: p.ready.Serve},
		{Name: "source", Run: func(ctx context.Context) error { return p.source(ctx, p.newSink()) }},
		{Name: "usage", Run: p.logUsage},
		{Name: "connections", Run: p.maintainConns},
		{Name: "lag", Run: p.measureLag},
	}
	if p.metrics != nil {
		children = append(children, guard.Child{Name: "metrics", Run: p.metrics.Serve})
	}
	if p.peers != nil {
		children = append(children, guard.Child{Name: "peers", Run: p.exchanger.Run})
	}
	return &guard.Tree{Name: "router", Log: p.log, Metrics: p.registry, Children: children}
}
