package back

import (
	"errors"
	"net"
	"sync"

	"mangolug.org/router/sock"
)

var (
	errSealed = errors.New("back: the attempt has ended")
	errLapsed = errors.New("back: the grant lapsed before the write")
	errStale  = errors.New("back: the kept connection is closed, has bytes that nobody asked for, or was unused for too long")
)

// gate stands before every connection of one attempt; it knows whether a byte may have left.
type gate struct {
	lapsed func() bool // nil for never
	once   bool        // only one connection may be written to

	mutex  sync.Mutex
	conn   *conn
	sealed bool
	begun  bool
	flowed bool // a write succeeded
	lapse  bool // a write was refused because the grant had lapsed
	kept   bool // it was given a connection that carried an attempt before
}

// pass permits a write on a connection, or says why not.
func (g *gate) pass(c *conn) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.sealed:
		return errSealed
	case g.lapse:
		return errLapsed
	case g.once && g.begun && g.conn != c:
		return errSealed
	case g.conn != c && c.stale():
		return errStale
	case g.conn != c && g.lapsed != nil && g.lapsed():
		g.lapse = true
		return errLapsed
	}
	g.begun, g.conn = true, c
	return nil
}

// wrote takes in how many bytes of a write on a connection the system took: none of the first leaves the attempt unsent.
func (g *gate) wrote(c *conn, n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn != c {
		return
	}
	if n > 0 {
		g.flowed = true
	} else if !g.flowed {
		g.begun, g.conn = false, nil
	}
}

// seal ends all writing and tells whether any was begun, and whether one was refused by a lapse.
func (g *gate) seal() (begun, lapsed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sealed = true
	return g.begun, g.lapse
}

func (g *gate) enter(reused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.kept = g.kept || reused
}

// unused reports that a kept connection was given, and that nothing was written, though not for a lapse; it then ends all
// writing.
func (g *gate) unused() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.kept || g.begun || g.lapse {
		return false
	}
	g.sealed = true
	return true
}

// used gives the connection that was written to; nil if none was.
func (g *gate) used() *conn {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.conn
}

// conn asks the gate of the attempt that uses it before each write.
type conn struct {
	net.Conn

	mutex  sync.Mutex
	gate   *gate
	reused bool // it carried an attempt before the present one
	old    bool // it was unused for too long to carry the present attempt
}

func (c *conn) enter(g *gate, reused, old bool) {
	g.enter(reused)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gate, c.reused, c.old = g, reused, old
}

// stale reports a kept connection that must not carry the present attempt: its server closed it, or sent something that
// would be taken for the answer.
func (c *conn) stale() bool {
	c.mutex.Lock()
	reused, old := c.reused, c.old
	c.mutex.Unlock()
	if !reused || old {
		return reused
	}
	gone, unread := sock.Peek(c.Conn)
	return gone || unread
}

// Write passes on only what the present attempt's gate permits.
func (c *conn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	g := c.gate
	c.mutex.Unlock()
	if g != nil {
		if err := g.pass(c); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	if g != nil {
		g.wrote(c, n)
	}
	return n, err
}
