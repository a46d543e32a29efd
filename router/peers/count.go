package peers

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// counters of bytes on the links, both directions, below TLS.
type counters struct {
	sent, received metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		sent:     metrics.GetOrRegisterCounter("control.bytesSent", registry),
		received: metrics.GetOrRegisterCounter("control.bytesReceived", registry),
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counters counters
}

// Read counts what arrives.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Inc(int64(n))
	return n, err
}

// Write counts what leaves.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Inc(int64(n))
	return n, err
}

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	counters counters
}

// Accept gives the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counters: l.counters}, nil
}
