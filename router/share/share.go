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
	Fleet  *digest.Fleet
	Socket net.PacketConn
	Clock  func() time.Duration
	Own    func() digest.Sum                                     // this router's own use
	Take   func(others digest.Sum, known bool, routers []string) // what is known of the others, once a period
	Newer  func()                                                // another router told of a newer state of the platform
	Failed func(error)                                           // a datagram could not be sent or read

	mutex sync.Mutex // guards Fleet
}

// With calls a function while nothing else uses the fleet.
func (s *Share) With(f func(now time.Duration, fleet *digest.Fleet)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.Clock(), s.Fleet)
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
		before, announced := s.Fleet.Known(), s.Fleet.Revision
		out := s.Fleet.Receive(s.Clock(), m)
		newer := s.Fleet.Known() > before || s.Fleet.Revision > announced
		s.mutex.Unlock()
		if newer {
			s.Newer()
		}
		for i := range out {
			s.send(&out[i])
		}
	}
}
