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
	// outboxLength is how many envelopes may wait for one peer before its link is opened anew.
	outboxLength = 512
	// window is the flow control window of a link, in bytes; a fixed one saves probing traffic.
	window = 1 << 20
	// dialTimeout bounds one connection attempt.
	dialTimeout = 700 * time.Millisecond
	// reopenShortest and reopenLongest bound the wait before a link is opened anew.
	reopenShortest = 50 * time.Millisecond
	reopenLongest  = 400 * time.Millisecond
)

// Links holds the outgoing streams to all peers.
type Links struct {
	Trust   *Trust
	Source  net.IP              // address that outgoing connections are bound to; nil for any
	Linked  func(peer string)   // a stream to the peer was opened
	Refused func(peer string)   // the peer's VM refused a connection; nil for nobody to tell
	Log     *log.Logger         // nil logs nothing
	Metrics metrics.Registry    // nil uses the default registry
	mutex   sync.Mutex          // guards links
	links   map[string]*outlink // by peer
}

// outlink is the stream to one peer.
type outlink struct {
	peer, address string
	outbox        chan *wire.Envelope
	reopen        chan struct{}
	cancel        context.CancelFunc
	trouble       string // why no stream is open, empty while one is; guarded by the links' mutex
}

// Set opens links to the given peers (name to address) and closes all others.
func (l *Links) Set(ctx context.Context, addresses map[string]string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.links == nil {
		l.links = map[string]*outlink{}
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
		o := &outlink{
			peer: peer, address: address, cancel: cancel,
			outbox: make(chan *wire.Envelope, outboxLength), reopen: make(chan struct{}, 1),
		}
		l.links[peer] = o
		go l.run(linkContext, o)
	}
}

// Send queues an envelope for a peer without waiting; when the peer does not
// keep up, the link is opened anew and what waited is lost. It says whether the envelope was queued.
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

// run keeps the stream to one peer open until its context ends.
func (l *Links) run(ctx context.Context, o *outlink) {
	wait := reopenShortest
	for ctx.Err() == nil {
		began := time.Now()
		err := l.stream(ctx, o)
		if ctx.Err() != nil {
			return
		}
		l.lost(o, err)
		if time.Since(began) > reopenLongest {
			wait = reopenShortest
		}
		pauses.For(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, reopenLongest)
	}
}

// stream opens one stream and sends until it breaks.
func (l *Links) stream(ctx context.Context, o *outlink) error {
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
	drain(o)
	l.setTrouble(o, "")
	l.Linked(o.peer)
	restores, ended := make(chan bool, 1), make(chan error, 1)
	go func() {
		header, _ := stream.Header() // an error comes with the message too
		restores <- len(header.Get(restoresHeader)) > 0
		var closed wire.Closed
		ended <- stream.RecvMsg(&closed)
	}()
	var said wire.Said
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
				said.Shorten(e)
			} else {
				said.Learn(e)
			}
			l.count(e)
			if err := stream.Send(e); err != nil {
				return errors.Wrap(err, "send")
			}
		}
	}
}

func (l *Links) dial(o *outlink) (*grpc.ClientConn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if l.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.Source}
	}
	count := newCounters(l.Metrics)
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) && l.Refused != nil {
			l.Refused(o.peer)
		}
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, counters: count}, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+o.address,
		grpc.WithTransportCredentials(credentials.NewTLS(l.Trust.client(o.peer))),
		grpc.WithContextDialer(connect),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: reopenShortest, Multiplier: 2, MaxDelay: reopenLongest}, MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy())
	return connection, errors.Wrap(err, "create connection")
}

func (l *Links) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, l.Metrics)
}

// drain drops what waited for an earlier stream: the state it told of is told whole on the new one.
func drain(o *outlink) {
	for {
		select {
		case <-o.outbox:
		case <-o.reopen:
		default:
			return
		}
	}
}
