package door

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/router/sock"
)

const (
	// headSlack is what a head may exceed its limit by, in bytes, before it is rejected unparsed: the limit leaves out the protocol's version, the
	// header's last line and optional spaces.
	headSlack = 4 << 10
	// headByteCost and headLineCost are the approximate memory in bytes of a byte and of a line of a head that is being read: buffers grow by
	// doubling, and 2.4 million lines of 5 bytes took 270 MB.
	headByteCost, headLineCost = 2, 128
	// headAllowance is the memory of a head in bytes that counts as that of its connection: an ordinary head comes with a part of its body in the first
	// 4 KB that are read and has some 20 lines. At routers without processor time a thousand of them are in progress at once.
	headAllowance = 16 << 10
	// rejectTime and rejectBytes bound what is still read from a client whose head was rejected: a connection that is closed with unread bytes
	// is reset, and the client may lose the answer.
	rejectTime  = 500 * time.Millisecond
	rejectBytes = 256 << 10
	// writeBuffer is the size in bytes of a connection's send buffer. The system wakes a blocked writer when a third of it is free: buffers that grew to 4 MB
	// blocked a write for 3.8 s while the peer read 400 KB per second.
	writeBuffer = 64 << 10
	// writeBlock is how many bytes of an answer the peer has to accept within a write timeout.
	writeBlock = 16 << 10
)

//go:generate stringer -type=Closing -linecomment -output=enums_string.go

// Closing is a reason for which the router closes a client's connection.
type Closing int

// Reasons for closing a connection.
const (
	ClosingHeadTooLarge Closing = iota // headTooLarge
	ClosingHeadsFull                   // headsFull
	ClosingUnread                      // answerUnread
)

// Heads bounds the memory of all request heads that are being read, and the size of each; the zero value has no bounds. It is safe for concurrent use.
type Heads struct {
	Size         func() int64  // largest head in bytes; nil or 0 means no limit
	Memory       func() int64  // memory of all heads in progress in bytes; nil or 0 means no limit
	WriteTimeout time.Duration // longest time for the peer to accept writeBlock bytes of an answer; 0 means no limit
	OnClose      func(Closing) // called when a connection is closed; nil for nothing

	mutex      sync.Mutex // guards the fields below, and those of connections that say so
	memory     int64      // of all heads in progress, beyond their allowances
	inProgress list.List  // of *Conn with a head beyond its allowance, those that exceeded it first in front
}

// Conn is a client's connection whose request heads are counted.
type Conn struct {
	net.Conn
	heads   *Heads
	reading atomic.Bool  // the server waits for a head or reads one
	writing atomic.Int64 // when the write in progress began to wait for the peer, in nanoseconds since 1970; 0 if there is none

	size    int64         // of the head so far in bytes; guarded by heads.mutex
	cost    int64         // its approximate memory; guarded by heads.mutex
	began   time.Time     // when its first byte was read, zero if there is none; guarded by heads.mutex
	element *list.Element // in heads.inProgress, nil if not in it; guarded by heads.mutex
}

// headError is the error of reading a head that was rejected.
type headError struct{}

func (*headError) Error() string { return "the request's head is too large" }

// Wrap returns a connection whose heads are counted. The connection is taken as new.
func (h *Heads) Wrap(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok && h.WriteTimeout > 0 {
		_ = tcp.SetWriteBuffer(writeBuffer) // best effort: with a larger one a slow reader looks as if it read nothing
	}
	w := &Conn{Conn: c, heads: h}
	w.reading.Store(true)
	return w
}

// InProgress returns the number of heads in progress and their approximate memory in bytes.
func (h *Heads) InProgress() (count int, memory int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.inProgress.Len(), h.memory
}

// SyscallConn gives access to the socket, for sock.Peek and sock.Reset.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is not a socket")
	}
	return socket.SyscallConn()
}

// Read reads at most what is left of the limit on heads while a head is read.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.reading.Load() {
		return c.Conn.Read(b)
	}
	room := c.heads.room(c)
	if room <= 0 && len(b) > 0 {
		c.reject(b)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: &headError{}} // the server answers nothing itself after a net.OpError
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), room)])
	if n > 0 {
		c.heads.add(c, b[:n])
	}
	return n, err
}

// Write fails if the peer takes too long to accept a part of what is written.
func (c *Conn) Write(b []byte) (written int, err error) {
	if c.heads.WriteTimeout <= 0 {
		return c.Conn.Write(b)
	}
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.heads.WriteTimeout)); err != nil {
			return written, err
		}
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBlock)])
		c.writing.Store(0)
		written += n
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			c.heads.closing(ClosingUnread)
			_ = sock.Reset(c) // what is unsent would stay in the system's memory
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// CloseWrite ends the sending direction, so that the server can wait for a client that has not read a refusal.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("the connection is not a TCP connection")
	}
	return tcp.CloseWrite()
}

// blockedFor reports whether the peer has not accepted a part of an answer for the given time.
func (c *Conn) blockedFor(length time.Duration) bool {
	since := c.writing.Load()
	return since != 0 && time.Since(time.Unix(0, since)) >= length
}

// Close closes the connection; its head is no longer counted.
func (c *Conn) Close() error {
	c.heads.end(c)
	return c.Conn.Close()
}

// track follows the server's state of the connection.
func (c *Conn) track(state http.ConnState) {
	c.heads.end(c)
	c.reading.Store(state == http.StateNew || state == http.StateIdle)
}

// reject answers that the head is too large, and reads on for a moment into b.
func (c *Conn) reject(b []byte) {
	c.heads.closing(ClosingHeadTooLarge)
	const text = "431 Request Header Fields Too Large"
	_ = c.Conn.SetDeadline(time.Now().Add(rejectTime))
	if _, err := io.WriteString(c.Conn, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text); err != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	for left := rejectBytes; left > 0; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
}

// room returns how many bytes of a connection's head may still be read.
func (h *Heads) room(c *Conn) int64 {
	limit := int64(0)
	if h.Size != nil {
		limit = h.Size()
	}
	if limit <= 0 {
		return 1 << 62
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return limit + headSlack - c.size
}

// add counts bytes of a connection's head, and closes the connections whose head has been in progress longest while all heads exceed their memory.
func (h *Heads) add(c *Conn, b []byte) {
	cost := headByteCost*int64(len(b)) + headLineCost*int64(bytes.Count(b, []byte{'\n'}))
	limit := int64(0)
	if h.Memory != nil {
		limit = h.Memory()
	}
	h.mutex.Lock()
	if c.began.IsZero() {
		c.began = time.Now()
	}
	h.memory -= c.counted()
	c.size, c.cost = c.size+int64(len(b)), c.cost+cost
	h.memory += c.counted()
	if c.element == nil && c.counted() > 0 {
		c.element = h.inProgress.PushBack(c)
	}
	var excess []*Conn
	for limit > 0 && h.memory > limit && h.inProgress.Len() > 1 {
		oldest := h.inProgress.Front().Value.(*Conn)
		h.remove(oldest)
		excess = append(excess, oldest)
	}
	h.mutex.Unlock()
	for _, e := range excess {
		h.closing(ClosingHeadsFull)
		_ = e.Conn.Close() // its reader gets an error
	}
}

// end ends the count of a connection's head.
func (h *Heads) end(c *Conn) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.remove(c)
}

// remove is end for a caller that holds the mutex.
func (h *Heads) remove(c *Conn) {
	if c.element != nil {
		h.inProgress.Remove(c.element)
	}
	h.memory -= c.counted()
	c.size, c.cost, c.began, c.element = 0, 0, time.Time{}, nil
}

// counted returns the memory of a connection's head beyond its allowance.
func (c *Conn) counted() int64 { return max(0, c.cost-headAllowance) }

// headAge returns how long a connection's head has been in progress; 0 if there is none.
func (c *Conn) headAge() time.Duration {
	c.heads.mutex.Lock()
	defer c.heads.mutex.Unlock()
	if c.began.IsZero() {
		return 0
	}
	return time.Since(c.began)
}

func (h *Heads) closing(reason Closing) {
	if h.OnClose != nil {
		h.OnClose(reason)
	}
}
