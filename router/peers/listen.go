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

// maxStreams is how many streams one connection may carry; a peer needs one.
const maxStreams = 4

// Listener takes the streams of peers.
type Listener struct {
	wire.UnimplementedLinkServer
	Trust   *Trust
	Receive func(from string, m *fleet.Message) // called for each message, in order for each stream
	Log     *log.Logger                         // nil logs nothing
	Metrics metrics.Registry                    // nil uses the default registry
}

// Serve accepts peers on an open socket until the context ends.
func (l *Listener) Serve(ctx context.Context, socket net.Listener) error {
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(l.Trust.server())),
		grpc.MaxRecvMsgSize(wire.MaxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window))
	wire.RegisterLinkServer(server, l)
	stopped := context.AfterFunc(ctx, server.Stop)
	defer stopped()
	count := newCounters(l.Metrics)
	err := server.Serve(&countedListener{Listener: socket, counters: count})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Send receives one peer's stream.
func (l *Listener) Send(stream grpc.ClientStreamingServer[wire.Envelope, wire.Closed]) error {
	from, err := nameOf(stream.Context())
	if err != nil {
		l.counter("peers.refusedStranger").Inc(1)
		return err
	}
	if err := stream.SendHeader(restoresMetadata()); err != nil {
		return err
	}
	var said wire.Said
	unknown := false
	for {
		e, err := stream.Recv()
		if err != nil {
			return err
		}
		m, err := decode(&said, e)
		var later *wire.UnknownBodyError
		switch {
		case err == nil:
			l.Receive(from, m)
		case errors.As(err, &later):
			l.skip(from, later, !unknown)
			unknown = true
		default:
			return l.refuse(from, err)
		}
	}
}

// decode gives the message of the next envelope of a stream.
func decode(said *wire.Said, e *wire.Envelope) (*fleet.Message, error) {
	if err := said.Restore(e); err != nil {
		return nil, err
	}
	return wire.Decode(e)
}

// skip counts a message that a later version sent, and logs it when it is the first of a stream.
func (l *Listener) skip(from string, later *wire.UnknownBodyError, first bool) {
	l.counter("peers.unknownMessage").Inc(1)
	if first && l.Log != nil {
		l.Log.Warn("peer message skipped", "peer", from, "error", later)
	}
}

// refuse counts a message that breaks a bound, and gives the status that ends the stream.
func (l *Listener) refuse(from string, err error) error {
	l.counter("peers.refusedMessage").Inc(1)
	if l.Log != nil {
		l.Log.Warn("peer message refused", "peer", from, "error", err)
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

func (l *Listener) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, l.Metrics)
}

// nameOf gives the name that the peer's certificate proves.
func nameOf(ctx context.Context) (string, error) {
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
