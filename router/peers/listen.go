package peers

import (
	"context"
	"net"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mangolug.org/core/fleet"
	"mangolug.org/router/wire"
)

// maxStreams is the largest number of concurrent streams of one connection; a peer needs one.
const maxStreams = 4

// Listener is the gRPC server that receives the streams of peers.
type Listener struct {
	wire.UnimplementedLinkServer
	Trust   *Trust
	Receive func(from string, m *fleet.Message) // called for each message, in the order of its stream
	Log     *log.Logger                         // nil logs nothing
	Metrics metrics.Registry                    // nil uses the default registry
}

// Serve accepts connections from peers on an open socket until the context is done.
func (l *Listener) Serve(ctx context.Context, socket net.Listener) error {
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(l.Trust.serverConfig())),
		grpc.MaxRecvMsgSize(wire.MaxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(flowWindow), grpc.InitialConnWindowSize(flowWindow))
	wire.RegisterLinkServer(server, l)
	stopped := context.AfterFunc(ctx, server.Stop)
	defer stopped()
	count := newByteCounters(l.Metrics)
	err := server.Serve(&countingListener{Listener: socket, counters: count})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Send handles the stream of one peer; it implements wire.LinkServer.
func (l *Listener) Send(stream grpc.ClientStreamingServer[wire.Envelope, wire.Closed]) error {
	from, err := peerName(stream.Context())
	if err != nil {
		l.counter("peers.refusedStranger").Inc(1)
		return err
	}
	if err := stream.SendHeader(restoresMetadata()); err != nil {
		return err
	}
	var received wire.StreamState
	skipped := false
	for {
		e, err := stream.Recv()
		if err != nil {
			return err
		}
		m, err := decode(&received, e)
		var unknown *wire.UnknownBodyError
		switch {
		case err == nil:
			l.Receive(from, m)
		case errors.As(err, &unknown):
			l.skipUnknown(from, unknown, !skipped)
			skipped = true
		default:
			return l.reject(from, err)
		}
	}
}

// decode restores the omitted fields of a stream's next envelope and returns its message.
func decode(received *wire.StreamState, e *wire.Envelope) (*fleet.Message, error) {
	if err := received.Restore(e); err != nil {
		return nil, err
	}
	return wire.Decode(e)
}

// skipUnknown counts a message whose body only a later version knows, and logs it if it is the first of a stream.
func (l *Listener) skipUnknown(from string, unknown *wire.UnknownBodyError, first bool) {
	l.counter("peers.unknownMessage").Inc(1)
	if first && l.Log != nil {
		l.Log.Warn("peer message skipped", "peer", from, "error", unknown)
	}
}

// reject counts and logs an invalid message, and returns the status that ends its stream.
func (l *Listener) reject(from string, err error) error {
	l.counter("peers.refusedMessage").Inc(1)
	if l.Log != nil {
		l.Log.Warn("peer message refused", "peer", from, "error", err)
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

func (l *Listener) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, l.Metrics)
}

// peerName returns the name in the peer's verified certificate. The error is a gRPC status.
func peerName(ctx context.Context) (string, error) {
	p, found := peer.FromContext(ctx)
	if !found {
		return "", status.Error(codes.Unauthenticated, "no peer")
	}
	info, isTLS := p.AuthInfo.(credentials.TLSInfo)
	if !isTLS || len(info.State.PeerCertificates) == 0 || len(info.State.PeerCertificates[0].DNSNames) != 1 {
		return "", status.Error(codes.Unauthenticated, "no certificate with one name")
	}
	return info.State.PeerCertificates[0].DNSNames[0], nil
}
