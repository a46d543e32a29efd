package back

import (
	"errors"
	"io"
	"net"
	"sync"

	"mangolug.org/core/head"
	"mangolug.org/router/sock"
)

var (
	errSealed  = errors.New("back: the attempt has ended")
	errExpired = errors.New("back: the grant lapsed before the write")
	errStale   = errors.New("back: the kept connection is closed, has bytes that nobody asked for, or was unused for too long")
	errEarly   = errors.New("back: the response was read before the request was written")
)

// gate controls the writes of one attempt on all its connections, and records whether a byte may have been sent.
type gate struct {
	expired func() bool // reports whether the grant has expired; nil for never
	once    bool        // only one connection may be written to
	length  int64       // of the request's body in bytes; negative if it is not known

	mutex     sync.Mutex
	conn      *conn
	sealed    bool
	started   bool
	delivered bool // a write succeeded
	rejected  bool // a write was rejected because the grant had expired
	reused    bool // the attempt got a connection that carried an earlier attempt
	early     bool // the response was read before the attempt was written
}

// allowWrite returns nil if a write on the connection is permitted, and otherwise the reason.
func (g *gate) allowWrite(c *conn) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.sealed:
		return errSealed
	case g.rejected:
		return errExpired
	case g.once && g.started && g.conn != c:
		return errSealed
	case g.conn != c && c.stale():
		return errStale
	case g.conn != c && g.expired != nil && g.expired():
		g.rejected = true
		return errExpired
	}
	if g.conn != c {
		c.upload.begin(g.length)
		c.expectAnswer()
	}
	g.started, g.conn = true, c
	return nil
}

// recordResponse records, when the first byte of the response is parsed, whether it was read before the attempt was written.
// Then it belongs to an earlier attempt: the transport buffers what follows a response.
func (g *gate) recordResponse() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.early = g.conn == nil || !g.conn.hasRead()
}

// sealIfEarly reports whether the response was read before the attempt was written, and whether a write was started. If the
// response was early, it rejects all further writes.
func (g *gate) sealIfEarly() (early, begun bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sealed = g.sealed || g.early
	return g.early, g.started
}

// recordWrite records how many bytes of a write the operating system accepted. If it accepted none of the first
// write, the attempt counts as unsent.
func (g *gate) recordWrite(c *conn, n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn != c {
		return
	}
	if n > 0 {
		g.delivered = true
	} else if !g.delivered {
		g.started, g.conn = false, nil
	}
}

// seal rejects all further writes. It returns whether a write was started, and whether one was rejected because
// the grant had expired.
func (g *gate) seal() (begun, expired bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sealed = true
	return g.started, g.rejected
}

// attach records that the attempt got a connection.
func (g *gate) attach(reused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reused = g.reused || reused
}

// sealIfUnused reports whether the attempt got a reused connection and wrote nothing, for a reason other than an
// expired grant. If so, it rejects all further writes.
func (g *gate) sealIfUnused() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.reused || g.started || g.rejected {
		return false
	}
	g.sealed = true
	return true
}

// writtenConn returns the connection that was written to, or nil.
func (g *gate) writtenConn() *conn {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.conn
}

// conn is a connection that asks the current attempt's gate before each write.
type conn struct {
	net.Conn

	mutex       sync.Mutex
	gate        *gate
	reused      bool // it carried an earlier attempt
	idleTooLong bool // it was idle for too long to carry the current attempt
	read        bool // bytes were read since the first write of the current attempt
	head        head.Scanner
	headErr     error // of the head of the answer to the current attempt
	upload      upload
}

// attach assigns the connection to the attempt of a gate.
func (c *conn) attach(g *gate, reused, old bool) {
	g.attach(reused)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gate, c.reused, c.idleTooLong = g, reused, old
}

// stale reports whether a reused connection must not carry the current attempt: it was idle for too long, its
// server closed it, or its server sent bytes that would be read as the response.
func (c *conn) stale() bool {
	c.mutex.Lock()
	reused, old := c.reused, c.idleTooLong
	c.mutex.Unlock()
	if !reused || old {
		return reused
	}
	closed, unread := sock.Peek(c.Conn)
	return closed || unread
}

// expectAnswer is called before the first write of an attempt.
func (c *conn) expectAnswer() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.read, c.head, c.headErr = false, head.Scanner{}, nil
}

// answerHead returns an error if the head of the answer is malformed, also where net/http passes over that. A nil connection has no answer.
func (c *conn) answerHead() error {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.headErr
}

// hasRead reports whether bytes were read since the first write of the current attempt.
func (c *conn) hasRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.read
}

// Read reads from the connection. An end in order before the request is written is an *UnfinishedError.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if unfinished := c.upload.check(); unfinished != nil {
			err = unfinished
		}
	}
	if n > 0 {
		c.mutex.Lock()
		c.read = true
		if c.headErr == nil {
			c.headErr = c.head.Scan(b[:n])
		}
		c.mutex.Unlock()
	}
	return n, err
}

// Write writes to the connection if the current attempt's gate permits it.
func (c *conn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	g := c.gate
	c.mutex.Unlock()
	if g != nil {
		if err := g.allowWrite(c); err != nil {
			return 0, err
		}
	}
	c.upload.writes()
	n, err := c.Conn.Write(b)
	c.upload.wrote(b[:n], err)
	if g != nil {
		g.recordWrite(c, n)
	}
	return n, err
}
