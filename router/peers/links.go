package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"mangolug.org/router/pauses"
	"mangolug.org/router/wire"
)

const (
	// outboxCapacity is the number of envelopes that may be queued for one peer; when the queue is full, the link is reopened.
	outboxCapacity = 512
	// flowWindow is the flow control window of a link, in bytes. A fixed window avoids the traffic of gRPC's bandwidth probes.
	flowWindow = 1 << 20
	// dialTimeout is the time limit of one connection attempt.
	dialTimeout = 700 * time.Millisecond
	// minReopenDelay and maxReopenDelay bound the exponential backoff, before jitter, between attempts to open a link.
	minReopenDelay = 50 * time.Millisecond
	maxReopenDelay = 400 * time.Millisecond
)

// Links holds the outgoing streams to all peers.
type Links struct {
	Trust         *Trust
	Source        net.IP                   // local address of outgoing connections; nil for any
	PeerConnected func(peer string)        // called when a stream to the peer was opened
	PeerRefused   func(peer string)        // called when the peer's VM refused a connection; may be nil
	Log           *log.Logger              // nil logs nothing
	Metrics       metrics.Registry         // nil uses the default registry
	mutex         sync.Mutex               // guards links
	links         map[string]*outgoingLink // by name of the peer
}

// outgoingLink is the outgoing stream to one peer.
type outgoingLink struct {
	peer, address string
	outbox        chan *wire.Envelope
	reopen        chan struct{}
	cancel        context.CancelFunc
	failure       string // why no stream is open, empty while one is; guarded by Links.mutex
}

// Set opens links to the given peers, a map from name to address, and closes all others.
// A peer whose address has changed gets a new link.
func (l *Links) Set(ctx context.Context, addresses map[string]string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.links == nil {
		l.links = map[string]*outgoingLink{}
	}
	for peer, o := range l.links {
		if addresses[peer] != o.address {
			o.cancel()
			delete(l.links, peer)
		}
	}
	for peer, address := range addresses {
		if l.links[peer] != nil {
			continue
		}
		linkContext, cancel := context.WithCancel(ctx)
		o := &outgoingLink{
			peer: peer, address: address, cancel: cancel,
			outbox: make(chan *wire.Envelope, outboxCapacity), reopen: make(chan struct{}, 1),
		}
		l.links[peer] = o
		go l.run(linkContext, o)
	}
}

// Send queues an envelope for a peer without blocking and reports whether it was queued.
// If the peer's queue is full, the link is reopened and all queued envelopes are lost.
func (l *Links) Send(peer string, e *wire.Envelope) bool {
	l.mutex.Lock()
	o := l.links[peer]
	l.mutex.Unlock()
	if o == nil {
		return false
	}
	select {
	case o.outbox <- e:
		return true
	default:
	}
	l.counter("peers.outboxFull").Inc(1)
	select {
	case o.reopen <- struct{}{}:
	default:
	}
	return false
}

// run keeps the stream to one peer open until the context is done.
func (l *Links) run(ctx context.Context, o *outgoingLink) {
	delay := minReopenDelay
	for ctx.Err() == nil {
		opened := time.Now()
		err := l.sendStream(ctx, o)
		if ctx.Err() != nil {
			return
		}
		l.recordLoss(o, err)
		if time.Since(opened) > maxReopenDelay {
			delay = minReopenDelay
		}
		pauses.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxReopenDelay)
	}
}

// sendStream opens a stream and sends queued envelopes on it until it fails.
func (l *Links) sendStream(ctx context.Context, o *outgoingLink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := l.dial(o)
	if err != nil {
		return err
	}
	defer connection.Close()
	stream, err := wire.NewLinkClient(connection).Send(ctx, grpc.WaitForReady(false))
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	discardQueued(o)
	l.setFailure(o, "")
	l.PeerConnected(o.peer)
	restores, ended := make(chan bool, 1), make(chan error, 1)
	go func() {
		header, _ := stream.Header() // RecvMsg returns the error as well
		restores <- len(header.Get(restoresHeader)) > 0
		var closed wire.Closed
		ended <- stream.RecvMsg(&closed)
	}()
	var sent wire.StreamState
	shorten := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return errors.Wrap(err, "closed by peer")
		case <-o.reopen:
			return errors.New("peer does not keep up")
		case shorten = <-restores:
		case e := <-o.outbox:
			if shorten {
				sent.Shorten(e)
			} else {
				sent.Record(e)
			}
			l.countSent(e)
			if err := stream.Send(e); err != nil {
				return errors.Wrap(err, "send")
			}
		}
	}
}

func (l *Links) dial(o *outgoingLink) (*grpc.ClientConn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if l.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.Source}
	}
	count := newByteCounters(l.Metrics)
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) && l.PeerRefused != nil {
			l.PeerRefused(o.peer)
		}
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, counters: count}, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+o.address,
		grpc.WithTransportCredentials(credentials.NewTLS(l.Trust.clientConfig(o.peer))),
		grpc.WithContextDialer(connect),
		grpc.WithInitialWindowSize(flowWindow), grpc.WithInitialConnWindowSize(flowWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: minReopenDelay, Multiplier: 2, MaxDelay: maxReopenDelay}, MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy())
	return connection, errors.Wrap(err, "create connection")
}

func (l *Links) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, l.Metrics)
}

// discardQueued empties the queue of an earlier stream, as the full state is sent again on a new one.
func discardQueued(o *outgoingLink) {
	for {
		select {
		case <-o.outbox:
		case <-o.reopen:
		default:
			return
		}
	}
}
