package door

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Door is the callers' listener; once shut it still gives out the connections that wait to be accepted, and closes when
// none is left. A plain close would reset them.
type Door struct {
	*net.TCPListener
	shutting atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// New makes a door of a listener.
func New(l *net.TCPListener) *Door {
	return &Door{TCPListener: l, closed: make(chan struct{})}
}

// shut begins to close the door, which whoever accepts then finishes.
func (d *Door) shut() {
	d.shutting.Store(true)
	d.SetDeadline(time.Now()) // wakes Accept
}

// Accept gives the next connection, and net.ErrClosed once the door is shut and none waits.
func (d *Door) Accept() (net.Conn, error) {
	c, err := d.TCPListener.Accept()
	if err == nil || !d.shutting.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return c, err
	}
	if c, err = d.waiting(); err == nil {
		return c, nil
	}
	d.Close()
	return nil, net.ErrClosed
}

// Close closes the listener; a second call does nothing.
func (d *Door) Close() error {
	err := error(nil)
	d.once.Do(func() {
		err = d.TCPListener.Close()
		close(d.closed)
	})
	return err
}

// waiting gives a connection that waits to be accepted, without waiting for one.
func (d *Door) waiting() (net.Conn, error) {
	raw, err := d.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, failure := -1, error(nil)
	err = raw.Control(func(listener uintptr) { fd, _, failure = syscall.Accept(int(listener)) })
	if err != nil {
		return nil, err
	}
	if failure != nil {
		return nil, failure
	}
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	return net.FileConn(f)
}
