package door

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Listen opens an address (ip:port) at which no more than so many connections may wait to be accepted; 0 for the system's bound.
// Each of them may hold a request that counts as the process's memory, and a process that is short of the processor accepts late.
// Beyond the bound callers reach no connection, and try another router. Accepted connections are not probed: the bounds on
// idle connections and on requests end those whose caller is lost, and setting the probes up is a third of the system calls of an accept.
func Listen(address string, waiting int) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	opened, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := opened.(*net.TCPListener)
	if waiting == 0 {
		return l, nil
	}
	raw, err := l.SyscallConn()
	if err == nil {
		failure := error(nil)
		err = raw.Control(func(fd uintptr) { failure = syscall.Listen(int(fd), waiting) }) // a second call changes the bound
		if err == nil {
			err = failure
		}
	}
	if err != nil {
		_ = l.Close() // the first error tells more
		return nil, errors.Wrap(err, "bound the connections that wait")
	}
	return l, nil
}

// Door is the callers' listener; once shut it still gives out the connections that wait to be accepted, and closes when
// none is left. A plain close would reset them.
type Door struct {
	*net.TCPListener
	Full     func() bool // asked at each connection: it is one too many, and is closed unread; nil for never
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

// Accept gives the next connection that there is room for, and net.ErrClosed once the door is shut and none waits.
func (d *Door) Accept() (net.Conn, error) {
	c, err := d.TCPListener.Accept()
	for err == nil && d.Full != nil && d.Full() {
		_ = c.Close() // its caller tries another router: nothing was read
		c, err = d.TCPListener.Accept()
	}
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
