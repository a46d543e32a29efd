package share

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/digest"
)

// datagramBytes bounds a datagram: the most that UDP carries.
const datagramBytes = 64 << 10

// Share runs a fleet's digest over a UDP socket; all fields must be set.
type Share struct {
	Fleet    *digest.Fleet
	Socket   net.PacketConn
	Clock    func() time.Duration
	Own      func() digest.Sum                                     // this router's own use
	Take     func(others digest.Sum, known bool, routers []string) // what is known of the others, once a period
	Revision func() int64                                          // of the platform's state, as this router read it
	Newer    func(revision int64)                                  // a newer one was told by another router
	Failed   func(error)                                           // a datagram could not be sent or read

	mutex sync.Mutex // guards Fleet
}

// SetSeeds replaces the addresses that may know the fleet.
func (s *Share) SetSeeds(seeds []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Fleet.Seeds = seeds
}

// Reader reports whether this router reads the platform for others too.
func (s *Share) Reader() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Fleet.Reader(s.Clock())
}

// Run exchanges messages until the context ends.
func (s *Share) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Socket.SetDeadline(time.Now()) }) // wakes the reader
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

// tick sends what is due and gives the time until the next tick.
func (s *Share) tick() time.Duration {
	own := s.Own()
	s.mutex.Lock()
	now := s.Clock()
	s.Fleet.Revision = max(s.Fleet.Revision, s.Revision())
	out := s.Fleet.Tick(now, own)
	others, known := s.Fleet.Others(now)
	routers := s.Fleet.Live(now)
	period := s.Fleet.Period(now)
	s.mutex.Unlock()
	s.Take(others, known, routers)
	for i := range out {
		s.send(&out[i])
	}
	return period
}

func (s *Share) send(o *digest.Out) {
	to, err := net.ResolveUDPAddr("udp", o.To)
	if err != nil {
		s.Failed(errors.Wrapf(err, "router %q", o.To))
		return
	}
	text, err := Encode(&o.Message)
	if err == nil {
		_, err = s.Socket.WriteTo(text, to)
	}
	if err != nil {
		s.Failed(errors.Wrapf(err, "datagram to %s", o.To))
	}
}

// read takes datagrams in until the context ends.
func (s *Share) read(ctx context.Context) error {
	buffer := make([]byte, datagramBytes)
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
			s.Failed(errors.Wrap(err, "datagram"))
			continue
		}
		s.mutex.Lock()
		before := s.Fleet.Revision
		out := s.Fleet.Receive(s.Clock(), m)
		newest := s.Fleet.Revision
		s.mutex.Unlock()
		if newest > before {
			s.Newer(newest)
		}
		for i := range out {
			s.send(&out[i])
		}
	}
}
