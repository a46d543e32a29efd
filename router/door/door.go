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

// Listen listens on an address (ip:port) with a limited accept queue; a backlog of 0 selects the system's limit.
// Each queued connection may hold a request that counts as memory of the process, and a process short of CPU time accepts late.
// Beyond the limit, callers cannot connect and try another router. The limit is applied to IPv4 addresses only.
func Listen(address string, backlog int) (*net.TCPListener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil || backlog == 0 || !addrPort.Addr().Is4() { // package net has no option for the backlog
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
	defer file.Close() // the listener has its own duplicate of the descriptor
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Wrap(err, "set SO_REUSEADDR")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()}); err != nil {
		return nil, errors.Wrap(err, "bind")
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// Listener is the listener for callers. Once closing, it still accepts the connections in the accept queue, and closes
// when the queue is empty. Closing it at once would reset them.
type Listener struct {
	*net.TCPListener
	AtCapacity func() bool // reports whether a new connection is one too many, to be closed unread; nil for never
	Heads      *Heads      // counts the request heads of all connections; nil for no limits
	closing    atomic.Bool
	once       sync.Once
	closed     chan struct{}
}

// New returns a Listener that accepts from l.
func New(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, closed: make(chan struct{})}
}

// beginClose starts closing the listener. The goroutine that calls Accept completes it.
func (d *Listener) beginClose() {
	d.closing.Store(true)
	d.SetDeadline(time.Now()) // wakes Accept
}

// Accept returns the next connection that there is room for, or net.ErrClosed once the listener is closing and the accept queue is empty.
func (d *Listener) Accept() (net.Conn, error) {
	c, err := d.TCPListener.Accept()
	for err == nil && d.AtCapacity != nil && d.AtCapacity() {
		_ = c.Close() // nothing was read, so its caller can try another router
		c, err = d.TCPListener.Accept()
	}
	if err != nil && d.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if c, err = d.acceptPending(); err != nil {
			d.Close()
			return nil, net.ErrClosed
		}
	}
	if err != nil || d.Heads == nil {
		return c, err
	}
	return d.Heads.Wrap(c), nil
}

// Close closes the listener. Further calls do nothing.
func (d *Listener) Close() error {
	err := error(nil)
	d.once.Do(func() {
		err = d.TCPListener.Close()
		close(d.closed)
	})
	return err
}

// acceptPending returns a connection from the accept queue without blocking, or an error if the queue is empty.
func (d *Listener) acceptPending() (net.Conn, error) {
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
