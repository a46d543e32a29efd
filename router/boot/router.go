package boot

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
	"mangolug.org/core/report"
	"mangolug.org/core/trace"
	"mangolug.org/router/admin"
	"mangolug.org/router/back"
	"mangolug.org/router/door"
	"mangolug.org/router/front"
	"mangolug.org/router/guard"
	"mangolug.org/router/loop"
	"mangolug.org/router/peers"
	"mangolug.org/router/plat"
	"mangolug.org/router/wire"
)

// incarnationStep is the unit of incarnation numbers. A process takes longer than this to restart, so that each start gets a new number.
const incarnationStep = 10 * time.Millisecond

// Router is a router process with all its components.
type Router struct {
	settings *Settings
	log      *log.Logger
	registry metrics.Registry
	sockets  sockets
	trust    *peers.Trust
	history  *admin.RequestHistory
	loop     *loop.Loop
	links    *peers.Links
	client   *back.Client
	front    *front.Front
	entrance door.Entrance
	trace    *traceBuffer // nil unless a trace is recorded
}

// sockets are the listening sockets. They are opened before any component starts, so that an address in use is reported at once.
type sockets struct {
	callers, peers, admin net.Listener
}

// New opens the sockets of a router and assembles its components. The error names the setting at fault.
func New(s *Settings) (*Router, error) {
	began := time.Now()
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, &SettingError{"log-level", s.LogLevel, "debug, info, warn or error"}
	}
	r := &Router{
		settings: s,
		log: log.NewWithOptions(os.Stderr, log.Options{
			Level: level, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
		}).With("router", s.Name),
		registry: metrics.NewRegistry(),
		history:  &admin.RequestHistory{},
	}
	if r.trust, err = peers.NewTrust(s.Name, s.Secrets, began); err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.client = &back.Client{Settings: back.Settings{Source: net.ParseIP(s.Source)}}
	r.links = &peers.Links{Trust: r.trust, Source: net.ParseIP(s.Source), Log: r.log, Metrics: r.registry}
	r.loop = &loop.Loop{
		Start: node.Start{
			Self: s.Name, DataCentre: s.DataCentre, Incarnation: uint32(began.UnixNano() / int64(incarnationStep)),
			Policy: s.policy(), Standalone: s.Policy == "alone", Seed: uint64(began.UnixNano()),
			Anticipate: s.Anticipate, QueueLength: s.Callers.QueueLength, QueueBytes: s.Callers.QueueBytes,
		},
		Began:     began,
		Send:      func(peer string, m *fleet.Message) { r.links.Send(peer, wire.Encode(m)) },
		FetchLoad: r.client.Load, Log: r.log, Metrics: r.registry,
	}
	if s.TraceBytes > 0 {
		r.trace = newTraceBuffer(s.TraceBytes)
		r.loop.Trace = &trace.Writer{Out: r.trace}
	}
	r.links.PeerConnected, r.links.PeerRefused = r.loop.PeerConnected, r.loop.PeerRefused
	r.loop.Init()
	r.front = &front.Front{
		Self: s.Name, Rules: r.loop.InForce, Ready: r.loop.NotReadyReason, Admit: r.loop.Admit, Finish: r.loop.Finish,
		Progress: r.loop.Progress, OpenKey: r.loop.OpenKey, CloseKey: r.loop.CloseKey, Clock: r.loop.Now,
		Note: r.recordStep, Client: r.client, Log: r.log, Metrics: r.registry, Settings: s.Callers.front(),
	}
	return r, nil
}

func (r *Router) open() error {
	targets := []struct {
		setting, address string
		socket           *net.Listener
	}{
		{"listen", r.settings.Listen, &r.sockets.callers},
		{"peer-listen", r.settings.PeerListen, &r.sockets.peers},
		{"admin", r.settings.Admin, &r.sockets.admin},
	}
	for _, t := range targets {
		socket, err := net.Listen("tcp", t.address)
		if err != nil {
			return errors.Wrapf(err, "--%s %s can't be opened", t.setting, t.address)
		}
		*t.socket = socket
	}
	r.entrance.Door = door.New(r.sockets.callers.(*net.TCPListener))
	return nil
}

// recordStep records a step of a request, for the explanations that operators ask for.
func (r *Router) recordStep(request, team, product string, step report.Step) {
	r.history.Record(r.loop.Now(), request, team, product, step)
}

// Run serves until stop is done and then drains; it aborts running requests when force is done. A nil error means a clean
// stop: no critical component failed and no request was aborted.
func (r *Router) Run(stop, force context.Context) error {
	work, end := context.WithCancel(context.Background())
	defer end()
	r.loop.SetPeers = func(addresses map[string]string) { r.links.Set(work, addresses) }
	callers := r.callers()
	stopped := make(chan error, 1)
	go func() {
		select {
		case <-stop.Done():
			stopped <- r.stop(force, callers)
		case <-work.Done():
			stopped <- nil
		}
		end()
	}()
	r.log.Info("starting", "dataCentre", r.settings.DataCentre, "listen", r.settings.Listen, "policy", r.settings.Policy)
	err := r.tree(callers).Run(work)
	end()
	if stopErr := <-stopped; err == nil {
		err = stopErr
	}
	return err
}

// tree returns the supervisor tree: the control loop, the connections to peers and the platform, and the callers' and admin servers.
func (r *Router) tree(callers *http.Server) *guard.Tree {
	listener := &peers.Listener{Trust: r.trust, Receive: r.loop.Receive, Log: r.log, Metrics: r.registry}
	watcher := r.watcher()
	operators := door.NewSide(r.sockets.admin.(*net.TCPListener), r.operators())
	operators.OnFull = func() { metrics.GetOrRegisterCounter("clients.operatorsFull", r.registry).Inc(1) }
	outside := &guard.Tree{Name: "outside", Log: r.log, Metrics: r.registry, Children: []guard.Child{
		{Name: "peers", Critical: true, Run: func(ctx context.Context) error { return listener.Serve(ctx, r.sockets.peers) }},
		{Name: "platform", Run: watcher.Run},
	}}
	traffic := &guard.Tree{Name: "traffic", Log: r.log, Metrics: r.registry, Children: []guard.Child{
		{Name: "callers", Critical: true, Run: func(ctx context.Context) error { return door.Serve(ctx, callers, r.entrance.Door) }},
		{Name: "operators", Critical: true, Run: operators.Serve},
	}}
	return &guard.Tree{Name: "router", Log: r.log, Metrics: r.registry, Children: []guard.Child{
		{Name: "control", Critical: true, Run: r.loop.Run},
		{Name: "outside", Critical: true, Run: outside.Run},
		{Name: "traffic", Critical: true, Run: traffic.Run},
	}}
}

func (r *Router) watcher() *plat.Watcher {
	return &plat.Watcher{
		Client: r.platform(),
		Offer:  r.loop.OfferConfig, List: r.loop.SetVMList, ConfigPolled: r.loop.ConfigPolled, Newest: r.loop.NewestVersion,
		Reader: r.loop.ReadsPlatform, Urgent: r.loop.NeedsVMListNow, FleetSize: r.loop.FleetSize,
		Failed: func(err error) {
			metrics.GetOrRegisterCounter("platform.failed", r.registry).Inc(1)
			r.log.Warn("platform not read", "error", err)
		},
	}
}

func (r *Router) platform() *plat.Client {
	return &plat.Client{Base: r.settings.Platform, HTTP: httpClientFrom(net.ParseIP(r.settings.Source))}
}

func (r *Router) operators() http.Handler {
	server := &admin.Server{
		NotReadyReason: r.notReadyReason, Status: r.status, History: r.history, Registry: r.registry, Trace: r.trace.writeTo,
		Team: func(ctx context.Context, team string) (*report.TeamExplanation, error) {
			t, err := r.loop.ExplainTeam(ctx, team)
			if err == nil {
				t.Refusals = r.history.Refusals(team)
				t.Recent = r.history.Failures(team, maxRecentFailures)
			}
			return t, err
		},
	}
	return server.Handler()
}

// status returns the status of the control loop, with the failures of links to peers.
func (r *Router) status(ctx context.Context) (*report.Status, error) {
	s, err := r.loop.Status(ctx)
	if err != nil {
		return nil, err
	}
	failures := r.links.Failures()
	for i := range s.Peers {
		s.Peers[i].Link = failures[s.Peers[i].Name]
	}
	return s, nil
}

// maxRecentFailures is the number of a team's latest refused, retried or failed requests that are explained.
const maxRecentFailures = 20

// notReadyReason returns the reason that the load balancer should not send callers here; a draining router accepts no new callers.
func (r *Router) notReadyReason() fleet.Reason {
	if r.loop.Draining() {
		return fleet.ReasonDraining
	}
	return r.loop.NotReadyReason()
}
