package door

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Listen opens an address (ip:port) at which no more than so many connections may wait to be accepted; 0 for the system's bound.
// Each of them may hold a request that counts as the process's memory, and a process that is short of the processor accepts late.
// Beyond the bound callers reach no connection, and try another router.
func Listen(address string, waiting int) (*net.TCPListener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || waiting == 0 || !at.Addr().Is4() { // net gives no way to bound them
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return l.(*net.TCPListener), nil
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close() // the listener has a descriptor of its own
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Wrap(err, "set SO_REUSEADDR")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, errors.Wrap(err, "bind")
	}
	if err := syscall.Listen(fd, waiting); err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
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
