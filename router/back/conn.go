package back

import (
	"errors"
	"net"
	"sync"
)

var (
	errSealed = errors.New("back: the attempt has ended")
	errLapsed = errors.New("back: the grant lapsed before the write")
)

// gate stands before every connection of one attempt; it knows whether a byte may have left.
type gate struct {
	lapsed func() bool // nil for never
	once   bool        // only one connection may be written to

	mutex  sync.Mutex
	conn   *conn
	sealed bool
	begun  bool
	lapse  bool // a write was refused because the grant had lapsed
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
	case g.conn != c && g.lapsed != nil && g.lapsed():
		g.lapse = true
		return errLapsed
	}
	g.begun, g.conn = true, c
	return nil
}

// seal ends all writing and tells whether any was begun, and whether one was refused by a lapse.
func (g *gate) seal() (begun, lapsed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sealed = true
	return g.begun, g.lapse
}

// conn asks the gate of the attempt that uses it before each write.
type conn struct {
	net.Conn

	mutex sync.Mutex
	gate  *gate
}

func (c *conn) enter(g *gate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gate = g
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
	return c.Conn.Write(b)
}
