package share

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/digest"
	"mangolug.org/core/resume"
)

// maxDatagramBytes is the size of the receive buffer: at least the maximum size of a UDP datagram.
const maxDatagramBytes = 64 << 10

// Exchanger runs a fleet's digest over a UDP socket. All exported fields must be set unless stated otherwise.
type Exchanger struct {
	Fleet   *digest.Fleet
	Socket  net.PacketConn
	Clock   func() time.Duration
	Summary func() digest.Sum                                     // returns this router's own summary
	OnPeers func(others digest.Sum, known bool, routers []string) // receives the peers' summary and the live routers, once per period
	News    func() ([]digest.Suspect, []digest.RateLimit)         // returns what to tell the peers of suspects and rate limits; may be nil
	OnNews  func([]digest.Suspect, []digest.RateLimit)            // receives what a peer tells of them; may be nil
	Streams *resume.Register                                      // receives what peers tell and ask of callers' streams; may be nil
	// OnStarted receives the routers that have started since the last period; may be nil.
	OnStarted func(routers []string)
	OnNewer   func()      // called when a peer announces a newer state of the platform
	OnError   func(error) // called when a datagram cannot be sent or decoded

	mutex sync.Mutex // guards Fleet
}

// WithFleet calls f with exclusive access to the fleet.
func (s *Exchanger) WithFleet(f func(now time.Duration, fleet *digest.Fleet)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.Clock(), s.Fleet)
}

// Run exchanges messages until ctx is cancelled or the socket fails, and returns the error.
func (s *Exchanger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Socket.SetDeadline(time.Now()) }) // unblocks the reader
	defer stop()
	done := make(chan error, 1)
	go func() { done <- s.read(ctx) }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
			timer.Reset(s.tick())
		}
	}
}

// tick sends the messages that are due, and returns the time until the next tick.
func (s *Exchanger) tick() time.Duration {
	own := s.Summary()
	s.mutex.Lock()
	now := s.Clock()
	out := s.Fleet.Tick(now, own)
	others, known := s.Fleet.Others(now)
	routers := s.Fleet.Live(now)
	period := s.Fleet.Period(now)
	started := s.Fleet.TakeStarted()
	s.mutex.Unlock()
	s.OnPeers(others, known, routers)
	if len(started) > 0 && s.OnStarted != nil {
		s.OnStarted(started)
	}
	if s.News != nil {
		suspects, limits := s.News()
		attachNews(out, suspects, limits)
	}
	for i := range out {
		s.send(&out[i])
	}
	return period
}

// attachNews adds news of suspects and rate limits to the messages that carry loads, which go to every router within a few periods.
func attachNews(out []digest.Outgoing, suspects []digest.Suspect, limits []digest.RateLimit) {
	for i := range out {
		if m := &out[i].Message; len(m.Members) == 0 {
			m.Suspects, m.Limits = suspects, limits
		}
	}
}

func (s *Exchanger) send(o *digest.Outgoing) {
	to, err := net.ResolveUDPAddr("udp", o.To)
	if err != nil {
		s.OnError(errors.Wrapf(err, "router %q", o.To))
		return
	}
	text, err := Encode(&o.Message)
	if err == nil {
		_, err = s.Socket.WriteTo(text, to)
	}
	if err != nil {
		s.OnError(errors.Wrapf(err, "datagram to %s", o.To))
	}
}

// read receives datagrams until ctx is cancelled or the socket fails.
func (s *Exchanger) read(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.Socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "datagrams")
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			s.OnError(errors.Wrap(err, "datagram"))
			continue
		}
		s.mutex.Lock()
		knownBefore, newestBefore := s.Fleet.Known(), s.Fleet.Position
		out := s.Fleet.Receive(s.Clock(), m)
		newer := knownBefore.Before(s.Fleet.Known()) || newestBefore.Before(s.Fleet.Position)
		s.mutex.Unlock()
		if newer {
			s.OnNewer()
		}
		if len(m.Suspects)+len(m.Limits) > 0 && s.OnNews != nil {
			s.OnNews(m.Suspects, m.Limits)
		}
		if m.Streams != nil && s.Streams != nil {
			s.Streams.Receive(m.From, *m.Streams)
		}
		for i := range out {
			s.send(&out[i])
		}
	}
}

// SendStreams sends a message on callers' streams to a router at once. It may be lost.
func (s *Exchanger) SendStreams(to string, m digest.Streams) {
	s.send(&digest.Outgoing{To: to, Message: digest.Message{From: s.Fleet.Address, Streams: &m}})
}
